//! Unit tests of `scenario`.

use super::*;

#[test]
fn the_example_reads_and_bad_input_is_named() {
    let scenario = Scenario::from_toml(EXAMPLE).unwrap();
    assert_eq!(scenario.flat_settings()["balancers"], "2");
    let bad = EXAMPLE.replace("plan = \"team\"", "plan = \"none\"");
    assert!(Scenario::from_toml(&bad).unwrap_err().contains("no tariff named 'none'"));
    let bad = EXAMPLE.replace("gateways = 2", "gateways = 2\nwhat = 1");
    assert!(Scenario::from_toml(&bad).unwrap_err().contains("what"));
    let swept = Scenario::from_toml_with_override(EXAMPLE, "servers.count", "9").unwrap();
    assert_eq!(swept.servers.count, 9);
}
