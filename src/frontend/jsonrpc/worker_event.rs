//! Decodes the events of a decode worker's stream: chunks of the answer, and tool calls.

use super::protocol::{RpcRequest, deserialize_nullable};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The data of the last event of a worker's stream.
const END_MARKER: &str = "[DONE]";

/// An event of a decode worker's stream.
pub enum WorkerEvent {
    /// A chunk of the answer.
    Chunk(AnswerChunk),
    /// A JSON-RPC request or notification for the tool server.
    ToolCall(RpcRequest),
    /// Nothing to relay: an event without data, or the end marker.
    Empty,
}

/// A chunk of an answer.
pub struct AnswerChunk {
    /// The alternative answers; workers send one.
    pub choices: Vec<Choice>,
    /// Token counts, usually in the last chunk.
    pub usage: Option<Box<RawValue>>,
}

/// A chunk's addition to one of the alternative answers.
#[derive(Deserialize)]
pub struct Choice {
    #[serde(default)]
    delta: Delta,
    /// Why the worker ended the answer, in the last chunk.
    pub finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Choice {
    /// The added text, if any.
    pub fn text(&self) -> Option<&str> {
        self.delta.content.as_deref().filter(|text| !text.is_empty())
    }
}

/// Why an event can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum WorkerEventError {
    /// The data is neither a chunk of an answer nor a JSON-RPC request.
    #[error("an event is neither a chunk of an answer nor a JSON-RPC request: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The data has a method but violates the JSON-RPC specification.
    #[error("a tool call with method {method:?} is not a valid JSON-RPC request")]
    InvalidToolCall {
        /// The tool call's method.
        method: String,
    },
}

/// The fields of both kinds of events; only a tool call has a method.
#[derive(Deserialize)]
struct EventFields {
    jsonrpc: Option<String>,
    #[serde(default, deserialize_with = "deserialize_nullable")]
    id: Option<Box<RawValue>>,
    method: Option<String>,
    #[serde(default, deserialize_with = "deserialize_nullable")]
    params: Option<Box<RawValue>>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Box<RawValue>>,
}

impl WorkerEvent {
    /// Decodes the data of one event.
    ///
    /// # Errors
    /// The data is neither a chunk of an answer nor a valid tool call.
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
