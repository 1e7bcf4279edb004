//! Tells what an event of a decode worker's stream contributes to the answer.

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use std::borrow::Cow;

/// The data of the last event of a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// What a block of lines of an event stream contributes to the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    /// A block without data, such as a comment, which servers send to keep a connection open.
    Empty,
    /// An event that is not of the format of an answer.
    Unknown,
    /// An event of an answer that adds nothing to it.
    NoOutput,
    /// An event with a part of the answer, its token counts or a call of a tool.
    Output,
    /// The end of the answer.
    EndMarker,
}

/// The fields of an event that belong to an answer.
#[derive(Deserialize)]
struct AnswerEvent {
    choices: Option<Vec<Choice>>,
    /// The token counts.
    usage: Option<IgnoredAny>,
    /// The method of a call of a tool.
    method: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Value,
    finish_reason: Option<IgnoredAny>,
}

impl EventKind {
    /// The kind of a block of lines. The last line may lack its line end.
    pub fn of_block(block: &[u8]) -> EventKind {
        let Some(data) = block_data(block) else { return EventKind::Empty };
        let data = data.trim_ascii();
        if data.is_empty() {
            return EventKind::Empty;
        }
        if data == END_MARKER {
            return EventKind::EndMarker;
        }
        match serde_json::from_slice::<AnswerEvent>(data) {
            Ok(event) if event.has_output() => EventKind::Output,
            Ok(AnswerEvent { choices: Some(_), .. }) => EventKind::NoOutput,
            _ => EventKind::Unknown,
        }
    }
}

impl AnswerEvent {
    fn has_output(&self) -> bool {
        self.usage.is_some() || self.method.is_some() || self.choices.iter().flatten().any(Choice::has_output)
    }
}

impl Choice {
    fn has_output(&self) -> bool {
        self.finish_reason.is_some() || has_content(&self.delta)
    }
}

/// Whether a JSON value contains a number, a boolean or a string that is not empty.
fn has_content(value: &Value) -> bool {
    match value {
        Value::Null => false,
        Value::Bool(_) | Value::Number(_) => true,
        Value::String(text) => !text.is_empty(),
        Value::Array(values) => values.iter().any(has_content),
        Value::Object(fields) => fields.values().any(has_content),
    }
}

/// The data of a block: the values of its data fields, separated by line ends; `None` without such a field.
fn block_data(block: &[u8]) -> Option<Cow<'_, [u8]>> {
    let mut values = block.split(|byte| *byte == b'\n').filter_map(data_field_value);
    let first = values.next()?;
    let mut data = Cow::Borrowed(first);
    for value in values {
        let data = data.to_mut();
        data.push(b'\n');
        data.extend_from_slice(value);
    }
    Some(data)
}

/// The value of a line that is a data field.
fn data_field_value(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    match line.strip_prefix(b"data")? {
        [] => Some(b""),
        [b':', value @ ..] => Some(value),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
