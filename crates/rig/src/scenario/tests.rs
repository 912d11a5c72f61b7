//! Unit tests of reading and validating scenarios.

use super::*;

pub const SMALL: &str = r#"
name = "small"
seconds = 5.0
gateways = 4
zones = ["a", "b"]
[settings]
classes = [{ name = "read", credit = 1, onTime = 1.5, deadline = 3.0, idempotency = "free" }]
tariffs = [{ name = "team", perSecond = 100.0, depth = 100.0 }]
[load]
rate = 5.0
customers = 8
width = 2
plan = "team"
methods = [{ name = "read", share = 1.0 }]
[[servers]]
count = 4
cores = 4
queue = 16
service_ms = 5.0
[[faults]]
kind = "link"
at = 1.0
seconds = 1.0
from = "zone:a"
to = "servers:0-1"
wire = { cut_back = true }
"#;

#[test]
fn valid_scenario_is_read_and_errors_name_the_field() {
    let scenario = Scenario::from_toml(SMALL).unwrap();
    assert_eq!((scenario.deadline("read"), scenario.idempotency("read")), (3.0, "free".to_string()));
    assert_eq!(Place::parse("servers:0-1"), Ok(Place::Servers(0..2)));
    for (valid, invalid, message) in [
        ("plan = \"team\"", "plan = \"none\"", "no tariff named 'none'"),
        ("name = \"read\", share", "name = \"none\", share", "no class named 'none'"),
        ("gateways = 4", "gateways = 4\nwhat = 1", "what"),
        ("at = 1.0", "at = 9.0", "faults[0]"),
        ("to = \"servers:0-1\"", "to = \"front\"", "a link leads"),
        ("width = 2", "width = 9", "load.width"),
    ] {
        let error = Scenario::from_toml(&SMALL.replace(valid, invalid)).unwrap_err();
        assert!(error.contains(message), "{error}");
    }
}
