//! Unit tests of scenario parsing and validation.

use super::*;

#[test]
fn example_parses_and_errors_name_the_invalid_input() {
    let scenario = Scenario::from_toml(EXAMPLE).unwrap();
    assert_eq!(scenario.flat_settings()["balancers"], "2");
    let bad = EXAMPLE.replace("plan = \"team\"", "plan = \"none\"");
    assert!(Scenario::from_toml(&bad).unwrap_err().contains("no tariff named 'none'"));
    let bad = EXAMPLE.replace("gateways = 2", "gateways = 2\nwhat = 1");
    assert!(Scenario::from_toml(&bad).unwrap_err().contains("what"));
    let overridden = Scenario::from_toml_with_override(EXAMPLE, "servers.count", "9").unwrap();
    assert_eq!(overridden.servers.count, 9);
}
