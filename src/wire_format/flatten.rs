//! Flattens nested settings into the key and value pairs of the simulator's wire.

use serde_json::Value;

/// Flattens nested JSON into the dotted keys and scalar values that [`parse_settings`](super::parse_settings)
/// parses.
///
/// An array with objects becomes a `.count` key and one group of keys per index; an array of scalars becomes
/// one comma-separated value. Nulls are skipped. Spaces and commas within a string are replaced by
/// underscores, since both are separators on the wire.
pub fn flatten_settings(settings: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    pairs
}

/// Adds the pairs of the value at a dotted path.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten(&join_path(path, key), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((join_path(path, "count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(&join_path(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push((path.to_owned(), values.join(",")));
        }
        scalar => pairs.push((path.to_owned(), scalar_text(scalar))),
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
