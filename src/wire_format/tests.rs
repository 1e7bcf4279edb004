//! Tests of what the configuration and the simulator's wire share.

use super::*;

#[test]
fn nested_settings_flatten_to_the_wire_s_paths() {
    let value = serde_json::json!({"a": {"b": [1.5, 2], "c": null, "name": "x y"},
        "classes": [{"n": "p"}, {"n": "q"}], "none": [], "on": true});
    let text: Vec<String> =
        flatten_settings(&value).into_iter().map(|(key, value)| format!("{key}={value}")).collect();
    let wanted =
        ["a.b=1.5,2", "a.name=x_y", "classes.count=2", "classes.0.n=p", "classes.1.n=q", "none=", "on=true"];
    assert_eq!(text, wanted);
}
