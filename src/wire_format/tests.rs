//! Tests of the formats of settings and load reports.

use super::*;
use crate::interface::LoadReport;

#[test]
fn nested_settings_are_flattened_to_dotted_keys() {
    let value = serde_json::json!({"a": {"b": [1.5, 2], "c": null, "name": "x y"},
        "classes": [{"n": "p"}, {"n": "q"}], "none": [], "on": true});
    let pairs: Vec<String> =
        flatten_settings(&value).into_iter().map(|(key, value)| format!("{key}={value}")).collect();
    let expected =
        ["a.b=1.5,2", "a.name=x_y", "classes.count=2", "classes.0.n=p", "classes.1.n=q", "none=", "on=true"];
    assert_eq!(pairs, expected);
}

#[test]
fn load_reports_accept_both_separators_and_skip_unknown_names() {
    let report = parse_load_report("busy_reqs:3, pending=2,novelty:x,x0:0.5,x1:1.5").unwrap();
    let expected = LoadReport {
        active_requests: Some(3.0),
        queued_requests: Some(2.0),
        kv_cache_utilization: Some(0.5),
        queued_tokens: Some(1500.0),
    };
    assert_eq!(report, expected);
}

#[test]
fn an_error_of_a_load_report_names_its_first_malformed_item() {
    let missing = parse_load_report("busy_reqs:3,pending").unwrap_err();
    assert_eq!(missing, LoadReportError::MissingValue { item: "pending".into() });
    let invalid = parse_load_report("x0:much,pending").unwrap_err();
    assert_eq!(invalid, LoadReportError::InvalidValue { item: "x0:much".into() });
}
