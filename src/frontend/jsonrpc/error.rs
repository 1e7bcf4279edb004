//! The errors sent to clients and decode workers as JSON-RPC error objects.

use crate::interface::Micros;
use hyper::StatusCode;
use serde::Serialize;

/// Converts the driver's microseconds to the seconds of error objects.
const MICROS_PER_SECOND: f64 = 1e6;

/// Why the router responds to a client's request with an error.
///
/// The `Display` text is the error object's message and part of the protocol, where "in hand" means active
/// and "refused" means rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RpcError {
    /// The body is not JSON.
    #[error("parse error")]
    Parse,
    /// The message is not a JSON-RPC request, or the batch is empty or has too many requests.
    #[error("invalid request")]
    InvalidRequest,
    /// The method is not a configured request class.
    #[error("method not found")]
    MethodNotFound,
    /// The parameters are missing, malformed or out of range.
    #[error("invalid params")]
    InvalidParams,
    /// The request body for workers would exceed its size limit.
    #[error("prompt too long")]
    PromptTooLong,
    /// A call of this name is in progress and can't be superseded.
    #[error("a request of this name is in hand")]
    DuplicateRequest,
    /// The request was rejected before it had any effect.
    #[error("refused; trying again is harmless")]
    Rejected {
        /// When the client should retry, in seconds from now.
        retry_after: Option<f64>,
    },
    /// The request failed, and may have had an effect.
    #[error("failed; it may have run")]
    Failed,
    /// The client cancelled its request.
    #[error("cancelled")]
    Cancelled,
    /// The answer's stream broke; the client may resume it.
    #[error("the stream broke; ask for the rest")]
    StreamBroken,
}

impl RpcError {
    /// Creates a rejection with the driver's `Retry-After`.
    pub fn rejected(retry_after: Option<Micros>) -> Self {
        RpcError::Rejected { retry_after: retry_after.map(|micros| micros as f64 / MICROS_PER_SECOND) }
    }

    /// The time after which the client should retry, if the error states one.
    pub fn retry_after(&self) -> Option<Micros> {
        match self {
            RpcError::Rejected { retry_after } => {
                retry_after.map(|seconds| (seconds * MICROS_PER_SECOND) as Micros)
            }
            _ => None,
        }
    }

    /// The HTTP status of a response with this error, for intermediaries.
    pub fn status(&self) -> StatusCode {
        match self {
            RpcError::Parse | RpcError::InvalidRequest | RpcError::InvalidParams => StatusCode::BAD_REQUEST,
            RpcError::MethodNotFound => StatusCode::NOT_FOUND,
            RpcError::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RpcError::DuplicateRequest => StatusCode::CONFLICT,
            RpcError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            RpcError::Failed | RpcError::StreamBroken => StatusCode::BAD_GATEWAY,
            // The request ended as the client asked.
            RpcError::Cancelled => StatusCode::OK,
        }
    }

    /// The code of the error object.
    fn code(&self) -> i32 {
        match self {
            RpcError::Parse => -32700,
            RpcError::InvalidRequest => -32600,
            RpcError::MethodNotFound => -32601,
            RpcError::InvalidParams | RpcError::PromptTooLong => -32602,
            RpcError::Rejected { .. } => -32000,
            RpcError::Failed => -32001,
            RpcError::Cancelled => -32002,
            RpcError::DuplicateRequest => -32003,
            RpcError::StreamBroken => -32004,
        }
    }

    /// The `data` of the error object; only a rejection has any.
    fn data(&self) -> Option<ErrorData> {
        match self {
            RpcError::Rejected { retry_after } => retry_after.map(|retry_after| ErrorData { retry_after }),
            _ => None,
        }
    }
}

/// Why the router, rather than the tool, responds to a decode worker's tool call with an error.
///
/// The `Display` text is the error object's message and part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ToolCallError {
    /// The call did not reach the tool server in full: it did not run, and may be repeated.
    #[error("tool not reached; it did not run")]
    NotReached,
    /// The call was sent, but no usable response was received: it may have run and is not sent again.
    #[error("outcome unknown; the call may have run")]
    OutcomeUnknown,
    /// Another call with the same key had different arguments.
    #[error("call repeated with other arguments")]
    KeyReused,
    /// The arguments exceed their size limit.
    #[error("arguments too long; the tool did not run")]
    ArgumentsTooLong,
    /// The result exceeds its size limit.
    #[error("result too long; the tool has run")]
    ResultTooLong,
    /// The replay buffer is full, or the request has made too many calls.
    #[error("too many calls; the tool did not run")]
    NoCapacity,
    /// The client cancelled its request while the tool was running.
    #[error("cancelled; the call may have run")]
    Cancelled,
}

impl ToolCallError {
    /// The code of the error object.
    fn code(self) -> i32 {
        match self {
            ToolCallError::NotReached => -32010,
            ToolCallError::OutcomeUnknown => -32011,
            ToolCallError::KeyReused => -32012,
            ToolCallError::ArgumentsTooLong => -32013,
            ToolCallError::ResultTooLong => -32014,
            ToolCallError::NoCapacity => -32015,
            ToolCallError::Cancelled => -32016,
        }
    }
}

/// An error object that the router created.
#[derive(Debug, Serialize)]
pub struct ErrorObject {
    code: i32,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<ErrorData>,
}

#[derive(Debug, Serialize)]
struct ErrorData {
    /// In seconds from now.
    retry_after: f64,
}

impl From<&RpcError> for ErrorObject {
    fn from(error: &RpcError) -> Self {
        ErrorObject { code: error.code(), message: error.to_string(), data: error.data() }
    }
}

impl From<ToolCallError> for ErrorObject {
    fn from(error: ToolCallError) -> Self {
        ErrorObject { code: error.code(), message: error.to_string(), data: None }
    }
}
