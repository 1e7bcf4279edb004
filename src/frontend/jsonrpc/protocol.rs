//! The wire format of JSON-RPC 2.0 messages.

use super::error::{ErrorObject, RpcError};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// The JSON-RPC version, which every message states.
const VERSION: &str = "2.0";

/// Deserializes a nullable field so that `null` is `Some`, and thus distinct from an absent field.
pub fn deserialize_nullable<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(deserializer).map(Some)
}

/// A JSON-RPC request or notification, from a client or from a decode worker.
#[derive(Debug, Deserialize)]
pub struct RpcRequest {
    /// The JSON-RPC version; [`RpcRequest::is_valid`] checks it.
    pub jsonrpc: String,
    /// The sender's id for the request; a notification has none.
    #[serde(default, deserialize_with = "deserialize_nullable")]
    pub id: Option<Box<RawValue>>,
    pub method: String,
    /// The parameters, not decoded yet.
    #[serde(default, deserialize_with = "deserialize_nullable")]
    pub params: Option<Box<RawValue>>,
}

/// A message that is not a valid JSON-RPC request.
#[derive(Debug, thiserror::Error)]
#[error("the message is not a valid JSON-RPC 2.0 request")]
pub struct InvalidRequest {
    /// The message's id for the error response, if it has a valid one.
    pub id: Option<Box<RawValue>>,
}

impl RpcRequest {
    /// Decodes and validates one message.
    ///
    /// # Errors
    /// The message is not a valid request.
    pub fn decode(raw: &RawValue) -> Result<RpcRequest, InvalidRequest> {
        match serde_json::from_str::<RpcRequest>(raw.get()) {
            Ok(request) if request.is_valid() => Ok(request),
            _ => Err(InvalidRequest { id: find_valid_id(raw) }),
        }
    }

    /// Whether it meets the requirements of the specification beyond the fields' types.
    pub fn is_valid(&self) -> bool {
        let id_is_valid = self.id.as_ref().is_none_or(|id| is_valid_id(id));
        let params_are_valid = self.params.as_ref().is_none_or(|p| p.get().starts_with(['{', '[']));
        self.jsonrpc == VERSION && id_is_valid && params_are_valid
    }

    /// Whether it is a notification, to which no response may be sent.
    pub fn is_notification(&self) -> bool {
        self.id.is_none()
    }
}

/// Whether an id is a string, a number or null, as the specification requires.
fn is_valid_id(id: &RawValue) -> bool {
    !id.get().starts_with(['{', '[', 't', 'f'])
}

/// Finds the id of a message that is otherwise invalid.
fn find_valid_id(raw: &RawValue) -> Option<Box<RawValue>> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: Option<Box<RawValue>>,
    }
    let message = serde_json::from_str::<IdOnly>(raw.get()).ok()?;
    message.id.filter(|id| is_valid_id(id))
}

/// A response from the router to a client or a decode worker.
#[derive(Serialize)]
struct Response<'a, R: Serialize, E: Serialize> {
    jsonrpc: &'static str,
    id: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<R>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<E>,
}

/// Encodes a response with a result. As the specification requires, an unknown id is written as null.
pub fn encode_result(id: Option<&RawValue>, result: impl Serialize) -> Vec<u8> {
    let id = id.unwrap_or(RawValue::NULL);
    encode(&Response { jsonrpc: VERSION, id, result: Some(result), error: None::<()> })
}

/// Encodes a response with an error. An unknown id is written as null.
pub fn encode_error(id: Option<&RawValue>, error: impl Serialize) -> Vec<u8> {
    let id = id.unwrap_or(RawValue::NULL);
    encode(&Response { jsonrpc: VERSION, id, result: None::<()>, error: Some(error) })
}

/// Encodes a response to a client with one of the router's errors.
pub fn encode_rpc_error(id: Option<&RawValue>, error: &RpcError) -> Vec<u8> {
    encode_error(id, ErrorObject::from(error))
}

/// A notification to a client while its answer streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification<'a> {
    /// More of the answer's text.
    Delta {
        /// The text since the last delta.
        text: &'a str,
    },
    /// A change of a tool call's state.
    Tool {
        /// The number of tool calls before this one in the answer.
        ordinal: u32,
        /// The call's new state.
        state: ToolCallState,
    },
}

/// The state of a tool call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ToolCallState {
    /// The call is being executed.
    Calling,
    /// The tool returned a result.
    Done,
    /// The tool or the router returned an error.
    Error,
}

impl Notification<'_> {
    /// Encodes the notification; `request` is the client's name for its request.
    pub fn encode(&self, request: &str) -> Vec<u8> {
        let (method, text, ordinal, state) = match *self {
            Notification::Delta { text } => ("delta", Some(text), None, None),
            Notification::Tool { ordinal, state } => ("tool", None, Some(ordinal), Some(state)),
        };
        let params = NotificationParams { request, text, ordinal, state };
        encode(&NotificationMessage { jsonrpc: VERSION, method, params })
    }
}

#[derive(Serialize)]
struct NotificationMessage<'a> {
    jsonrpc: &'static str,
    method: &'static str,
    params: NotificationParams<'a>,
}

#[derive(Serialize)]
struct NotificationParams<'a> {
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ordinal: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<ToolCallState>,
}

/// The result of a client's request, once its answer is complete.
#[derive(Serialize)]
pub struct AnswerResult<'a> {
    /// The client's name for its request.
    pub request: &'a str,
    /// The worker's finish reason.
    #[serde(rename = "finish")]
    pub finish_reason: &'a str,
    /// The number of tool calls in the answer.
    #[serde(rename = "calls")]
    pub tool_calls: u32,
    /// The whole text, if it was not streamed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// The worker's token counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<&'a RawValue>,
}

/// A tool call for the tool server.
#[derive(Serialize)]
pub struct ToolRequest<'a> {
    jsonrpc: &'static str,
    id: &'a str,
    method: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<&'a RawValue>,
}

impl<'a> ToolRequest<'a> {
    /// Creates a call with an id that the router chose.
    pub fn new(id: &'a str, method: &'a str, params: Option<&'a RawValue>) -> Self {
        ToolRequest { jsonrpc: VERSION, id, method, params }
    }
}

/// The tool server's response.
#[derive(Deserialize)]
pub struct ToolResponse {
    jsonrpc: String,
    id: String,
    /// The result, which may be null.
    #[serde(default, deserialize_with = "deserialize_nullable")]
    pub result: Option<Box<RawValue>>,
    /// The tool's error object.
    pub error: Option<Box<RawValue>>,
}

impl ToolResponse {
    /// Whether it is the response to the call with this id.
    pub fn is_response_to(&self, id: &str) -> bool {
        self.jsonrpc == VERSION && self.id == id
    }
}

/// Encodes a message that the router sends.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serialization succeeds for every message type: the keys of all maps are strings, and all numbers are
    // finite.
    serde_json::to_vec(message).unwrap_or_default()
}
