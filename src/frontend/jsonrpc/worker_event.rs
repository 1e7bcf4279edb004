//! What one event of a decode worker's stream means: a piece of the answer, or a tool call.

use super::protocol::{RpcRequest, nullable};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The data of the event that ends a worker's stream.
const END_MARKER: &str = "[DONE]";

/// An event of a decode worker's stream.
pub enum WorkerEvent {
    /// A piece of the answer.
    Chunk(AnswerChunk),
    /// A JSON-RPC request or notification for the tool server.
    ToolCall(RpcRequest),
    /// Nothing to relay: no data, or the marker of the stream's end.
    Empty,
}

/// A piece of an answer.
pub struct AnswerChunk {
    /// The alternatives; workers give one.
    pub choices: Vec<Choice>,
    /// Token counts, in the last piece as a rule.
    pub usage: Option<Box<RawValue>>,
}

/// What a piece adds to an answer.
#[derive(Deserialize)]
pub struct Choice {
    #[serde(default)]
    delta: Delta,
    /// Why the worker ended the answer, in its last piece.
    pub finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Choice {
    /// The text that it adds, if any.
    pub fn text(&self) -> Option<&str> {
        self.delta.content.as_deref().filter(|text| !text.is_empty())
    }
}

/// Why an event can't be relayed.
#[derive(Debug, thiserror::Error)]
pub enum WorkerEventError {
    /// The data is no event that the router knows.
    #[error("an event's data is no chunk of an answer and no JSON-RPC request: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The data names a method but breaks JSON-RPC's rules.
    #[error("a tool call of method {method:?} is no valid JSON-RPC request")]
    InvalidToolCall {
        /// The method that it names.
        method: String,
    },
}

/// All fields that an event may have; the method tells a tool call from a piece of the answer.
#[derive(Deserialize)]
struct EventFields {
    jsonrpc: Option<String>,
    #[serde(default, deserialize_with = "nullable")]
    id: Option<Box<RawValue>>,
    method: Option<String>,
    #[serde(default, deserialize_with = "nullable")]
    params: Option<Box<RawValue>>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Box<RawValue>>,
}

impl WorkerEvent {
    /// Decodes the data of one event.
    ///
    /// # Errors
    /// The data is neither a piece of an answer nor a valid tool call.
    pub fn decode(data: &str) -> Result<WorkerEvent, WorkerEventError> {
        if data.is_empty() || data == END_MARKER {
            return Ok(WorkerEvent::Empty);
        }
        let fields: EventFields = serde_json::from_str(data)?;
        let Some(method) = fields.method else {
            return Ok(WorkerEvent::Chunk(AnswerChunk { choices: fields.choices, usage: fields.usage }));
        };
        let jsonrpc = fields.jsonrpc.unwrap_or_default();
        let request = RpcRequest { jsonrpc, id: fields.id, method, params: fields.params };
        if !request.is_valid() {
            return Err(WorkerEventError::InvalidToolCall { method: request.method });
        }
        Ok(WorkerEvent::ToolCall(request))
    }
}

#[cfg(test)]
mod tests;
