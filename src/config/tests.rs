//! Tests of parsing and validating configurations, and of the error texts for operators.

use super::*;
use rstest::rstest;
use serde_json::{Value, json};

/// A configuration with the required fields only.
fn minimal_config() -> Value {
    json!({
        "name": "edge",
        "listen": "127.0.0.1:1",
        "seed": "ff",
        "settings": {
            "my_zone": "here", "registry_mode": "pushed", "replicas_of_me": 1,
            "classes": [{"name": "chat", "effect": "read_like", "objective_us": 1, "give_up_us": 2}],
            "permissions": {"max_attempts": 1},
            "rules": {"drain_grace_us": 1, "cold_from": 0.5, "cold_us": 1, "fall_multiple": 2, "fall_us": 1},
        },
    })
}

fn from_json(value: &Value) -> Result<Config, ConfigError> {
    Config::from_json(&value.to_string(), |_| None)
}

#[test]
fn absent_fields_have_their_defaults() {
    let config = from_json(&minimal_config()).unwrap();
    assert_eq!(config.seed, 255);
    assert_eq!(config.limits, Limits { memory_mb: 192, sockets: 1024 });
    assert_eq!(config.idle_connection_timeout, Duration::from_secs(30));
    assert!(config.discovery.is_none() && config.tools.is_none());
}

#[test]
fn absent_fields_are_taken_from_the_environment() {
    let mut value = minimal_config();
    (value["listen"], value["name"]) = (Value::Null, json!(""));
    let env = |variable: &str| match variable {
        "NODE_LISTEN" => Some("127.0.0.1:2".to_owned()),
        "NODE_DISCOVERY" => Some("127.0.0.1:3".to_owned()),
        "NODE_NAME" => Some("edge-2".to_owned()),
        _ => None,
    };
    let config = Config::from_json(&value.to_string(), env).unwrap();
    assert_eq!(config.listen, "127.0.0.1:2".parse().unwrap());
    assert_eq!(config.discovery, Some("127.0.0.1:3".parse().unwrap()));
    assert_eq!(config.name, "edge-2");
}

#[rstest]
#[case::listen("/listen", Value::Null, "listen is missing")]
#[case::seed("/seed", json!("xy"), r#"seed: not a hexadecimal number: "xy""#)]
#[case::missing("/settings/my_zone", Value::Null, "INIT: setting my_zone is missing")]
#[case::number(
    "/settings/permissions/max_attempts",
    json!("many"),
    r#"INIT: field permissions.max_attempts has the value "many""#
)]
#[case::enumeration(
    "/settings/classes/0/effect",
    json!("none"),
    r#"INIT: field classes.0.effect has the value "none""#
)]
fn an_error_names_the_key_and_its_invalid_value(
    #[case] pointer: &str,
    #[case] invalid: Value,
    #[case] text: &str,
) {
    let mut value = minimal_config();
    *value.pointer_mut(pointer).unwrap() = invalid;
    let error = from_json(&value).unwrap_err();
    assert_eq!(error.to_string(), format!("configuration: {text}"));
}

#[test]
fn too_little_memory_is_an_error() {
    let mut value = minimal_config();
    value["limits"] = json!({"memory_mb": 31});
    let error = from_json(&value).unwrap_err();
    assert_eq!(error.to_string(), "configuration: limits.memory_mb: at least 32 are needed");
}

#[test]
fn an_invalid_address_in_a_variable_is_reported_with_its_name() {
    let error = Config::from_json(&minimal_config().to_string(), |_| Some("nowhere".into())).unwrap_err();
    assert_eq!(error.to_string(), r#"configuration: NODE_DISCOVERY: not an address: "nowhere""#);
}

#[test]
fn a_toml_error_is_one_line_with_its_line_number() {
    let error = Config::from_toml("name = \"a\"\nlisten = \n").unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with("configuration: line 2: ") && !text.contains('\n'), "{text}");
}

#[test]
fn changes_that_require_a_restart_are_listed_by_field() {
    let config = from_json(&minimal_config()).unwrap();
    let mut value = minimal_config();
    value["discovery"] = json!("127.0.0.1:4");
    assert!(config.changes_requiring_restart(&from_json(&value).unwrap()).is_empty());
    value["settings"]["permissions"]["idle_close_us"] = json!(1_000_000);
    value["name"] = json!("other");
    assert_eq!(config.changes_requiring_restart(&from_json(&value).unwrap()), ["name", "settings"]);
}
