//! The errors that clients and decode workers receive as JSON-RPC error objects.

use crate::interface::Micros;
use hyper::StatusCode;
use serde::Serialize;

/// Error objects give times in seconds, the driver in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// Why the router answers a client's request with an error.
///
/// The `Display` text is the message of the error object, so it is fixed by the protocol with clients: there a request
/// that is "in hand" is an active one, and a "refused" one has been rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RpcError {
    /// The body is no JSON.
    #[error("parse error")]
    Parse,
    /// The message is no JSON-RPC request, or the batch is empty or too long.
    #[error("invalid request")]
    InvalidRequest,
    /// The method is no request class.
    #[error("method not found")]
    MethodNotFound,
    /// The parameters are missing, malformed or out of bounds.
    #[error("invalid params")]
    InvalidParams,
    /// The body for the workers would be too long.
    #[error("prompt too long")]
    PromptTooLong,
    /// A call of this name is in progress and can't be taken over.
    #[error("a request of this name is in hand")]
    DuplicateRequest,
    /// The request was rejected before it had any effect.
    #[error("refused; trying again is harmless")]
    Rejected {
        /// When to come back, in seconds.
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
    /// A rejection, with the driver's advice when to retry.
    pub fn rejected(retry_after: Option<Micros>) -> Self {
        RpcError::Rejected { retry_after: retry_after.map(|micros| micros as f64 / MICROS_PER_SECOND) }
    }

    /// The advice when to retry, as the error object gives it.
    pub fn retry_after(&self) -> Option<Micros> {
        match self {
            RpcError::Rejected { retry_after } => {
                retry_after.map(|seconds| (seconds * MICROS_PER_SECOND) as Micros)
            }
            _ => None,
        }
    }

    /// The HTTP status that tells intermediaries the same.
    pub fn status(&self) -> StatusCode {
        match self {
            RpcError::Parse | RpcError::InvalidRequest | RpcError::InvalidParams => StatusCode::BAD_REQUEST,
            RpcError::MethodNotFound => StatusCode::NOT_FOUND,
            RpcError::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RpcError::DuplicateRequest => StatusCode::CONFLICT,
            RpcError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            RpcError::Failed | RpcError::StreamBroken => StatusCode::BAD_GATEWAY,
            // The client has got what it asked for.
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

    /// The further data of the error object; only a rejection has any.
    fn data(&self) -> Option<ErrorData> {
        match self {
            RpcError::Rejected { retry_after } => retry_after.map(|retry_after| ErrorData { retry_after }),
            _ => None,
        }
    }
}

/// Why the router answers a decode worker's tool call with an error of its own.
///
/// The `Display` text is the message of the error object, so it is a part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ToolCallError {
    /// The tool server was never reached: the call did not run, and a repeat may try again.
    #[error("tool not reached; it did not run")]
    NotReached,
    /// The call was sent and no usable answer came: it may have run and is not sent again.
    #[error("outcome unknown; the call may have run")]
    OutcomeUnknown,
    /// The key belongs to a call with other arguments.
    #[error("call repeated with other arguments")]
    KeyReused,
    /// The arguments exceed their limit.
    #[error("arguments too long; the tool did not run")]
    ArgumentsTooLong,
    /// The result exceeds its limit.
    #[error("result too long; the tool has run")]
    ResultTooLong,
    /// There is no capacity for another call.
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

/// An error object of the router's own.
#[derive(Debug, Serialize)]
pub struct ErrorObject {
    code: i32,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<ErrorData>,
}

#[derive(Debug, Serialize)]
struct ErrorData {
    /// In seconds.
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
