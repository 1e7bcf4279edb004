//! JSON-RPC 2.0 messages as they stand on the wire.

use super::error::{ErrorObject, RpcError};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// The protocol version that every message names.
const VERSION: &str = "2.0";

/// Deserializes a field that may be `null`, so that `null` and an absent field stay apart.
pub fn nullable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(deserializer).map(Some)
}

/// A JSON-RPC request or notification, from a client or from a decode worker.
#[derive(Debug, Deserialize)]
pub struct RpcRequest {
    /// The protocol version; [`RpcRequest::is_valid`] checks it.
    pub jsonrpc: String,
    /// The sender's id for the request; a notification has none.
    #[serde(default, deserialize_with = "nullable")]
    pub id: Option<Box<RawValue>>,
    /// The method.
    pub method: String,
    /// The parameters as they came.
    #[serde(default, deserialize_with = "nullable")]
    pub params: Option<Box<RawValue>>,
}

/// A message that is no JSON-RPC request, with its id if it has a usable one.
#[derive(Debug, thiserror::Error)]
#[error("the message is no JSON-RPC 2.0 request")]
pub struct InvalidRequest {
    /// The id for the error response.
    pub id: Option<Box<RawValue>>,
}

impl RpcRequest {
    /// Decodes and checks one message.
    ///
    /// # Errors
    /// The message is no valid request.
    pub fn decode(raw: &RawValue) -> Result<RpcRequest, InvalidRequest> {
        match serde_json::from_str::<RpcRequest>(raw.get()) {
            Ok(request) if request.is_valid() => Ok(request),
            _ => Err(InvalidRequest { id: usable_id(raw) }),
        }
    }

    /// Whether it meets what the specification asks beyond the types of the fields.
    pub fn is_valid(&self) -> bool {
        let id_is_valid = self.id.as_ref().is_none_or(|id| is_valid_id(id));
        let params_are_valid = self.params.as_ref().is_none_or(|p| p.get().starts_with(['{', '[']));
        self.jsonrpc == VERSION && id_is_valid && params_are_valid
    }

    /// Whether nothing may answer it.
    pub fn is_notification(&self) -> bool {
        self.id.is_none()
    }
}

/// Whether an id is a string, a number or null.
fn is_valid_id(id: &RawValue) -> bool {
    !id.get().starts_with(['{', '[', 't', 'f'])
}

/// The id of a message that is otherwise invalid.
fn usable_id(raw: &RawValue) -> Option<Box<RawValue>> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: Option<Box<RawValue>>,
    }
    let message = serde_json::from_str::<IdOnly>(raw.get()).ok()?;
    message.id.filter(|id| is_valid_id(id))
}

/// A response, from the router to a client or a decode worker, or from the tool server to the router.
#[derive(Serialize)]
struct Response<'a, R: Serialize, E: Serialize> {
    jsonrpc: &'static str,
    id: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<R>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<E>,
}

/// A response with a result. The specification wants an id in every response: null where none could be read.
pub fn encode_result(id: Option<&RawValue>, result: impl Serialize) -> Vec<u8> {
    let id = id.unwrap_or(RawValue::NULL);
    encode(&Response { jsonrpc: VERSION, id, result: Some(result), error: None::<()> })
}

/// A response with an error, with the same rule for the id.
pub fn encode_error(id: Option<&RawValue>, error: impl Serialize) -> Vec<u8> {
    let id = id.unwrap_or(RawValue::NULL);
    encode(&Response { jsonrpc: VERSION, id, result: None::<()>, error: Some(error) })
}

/// A response to a client with one of the router's errors.
pub fn encode_rpc_error(id: Option<&RawValue>, error: &RpcError) -> Vec<u8> {
    encode_error(id, ErrorObject::from(error))
}

/// What a client is told while its answer streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification<'a> {
    /// More of the answer's text.
    Delta {
        /// The text since the last delta.
        text: &'a str,
    },
    /// A step of a tool call.
    Tool {
        /// The number of tool calls before this one in the answer.
        ordinal: u32,
        /// How far it has come.
        state: ToolState,
    },
}

/// How far a tool call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ToolState {
    /// The call goes to the tool server.
    Calling,
    /// The tool gave a result.
    Done,
    /// The tool or the router gave an error.
    Error,
}

impl Notification<'_> {
    /// The message about the answer to the client's request of this name.
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
    state: Option<ToolState>,
}

/// The result of a client's request, once its answer is complete.
#[derive(Serialize)]
pub struct AnswerResult<'a> {
    /// The name of the client's request.
    pub request: &'a str,
    /// Why the worker ended the answer.
    pub finish: &'a str,
    /// The number of tool calls in the answer.
    pub calls: u32,
    /// The whole text, where it was not streamed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// The worker's token counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<&'a RawValue>,
}

/// A tool call as the tool server receives it.
#[derive(Serialize)]
pub struct ToolRequest<'a> {
    jsonrpc: &'static str,
    id: &'a str,
    method: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<&'a RawValue>,
}

impl<'a> ToolRequest<'a> {
    /// A call under an id of the router's own.
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
    #[serde(default, deserialize_with = "nullable")]
    pub result: Option<Box<RawValue>>,
    /// The tool's error.
    pub error: Option<Box<RawValue>>,
}

impl ToolResponse {
    /// Whether it responds to the call of this id.
    pub fn answers(&self, id: &str) -> bool {
        self.jsonrpc == VERSION && self.id == id
    }
}

/// Encodes a message of the router's own.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // None of these types can fail to serialize: no maps with keys other than strings, no numbers that JSON lacks.
    serde_json::to_vec(message).unwrap_or_default()
}
