//! Nested settings as the flat key and value pairs of the simulator's wire.

use serde_json::Value;

/// Flattens nested JSON into the dotted keys and plain values that [`read_settings`](super::read_settings) takes.
///
/// A list of objects becomes a `.count` and numbered keys; a list of plain values becomes one value, joined by commas.
/// Nulls are left out. Spaces and commas within a string become underscores, since both separate values on the wire.
pub fn flatten_settings(settings: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    pairs
}

/// Adds the pairs of a value that stands at this dotted path.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten(&join(path, key), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((join(path, "count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(&join(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(plain_value).collect();
            pairs.push((path.to_owned(), values.join(",")));
        }
        plain => pairs.push((path.to_owned(), plain_value(plain))),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn plain_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
