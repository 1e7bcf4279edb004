//! Errors of requests that are not submitted to the driver, and the responses to them.

use crate::frontend::chat_completions::{self, InvalidHeader};
use crate::frontend::request_ids::IdConflict;
use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::interface::Micros;
use crate::net::memory_budget::BudgetExhausted;
use crate::runtime::counters::Counters;
use bytes::Bytes;
use hyper::{Response, StatusCode};

/// The `Retry-After` of rejections for lack of capacity or because of a shutdown.
pub const RETRY_AFTER: Micros = 500_000;

/// Why a request is not submitted to the driver.
///
/// The `Display` texts are for the log, whose lines already name the connection and the request. Response
/// bodies have their own texts, except that clients receive the text of an [`InvalidHeader`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The end of the body is ambiguous, which allows request smuggling.
    #[error("ambiguous framing")]
    AmbiguousFraming,
    /// The path is not served.
    #[error("no such path")]
    UnknownPath,
    /// The path is served, but not with this method.
    #[error("wrong method")]
    MethodNotAllowed,
    /// A required header is missing, or a header is malformed.
    #[error(transparent)]
    InvalidHeader(#[from] InvalidHeader),
    /// The request class is not configured.
    #[error("unknown class")]
    UnknownClass,
    /// The body exceeds the size limit.
    #[error("body too long")]
    BodyTooLong,
    /// Reading the body failed.
    #[error("reading the body failed")]
    BodyReadFailed,
    /// The body is followed by bytes that can't begin another request.
    #[error("more bytes than the length says")]
    ExcessBytes,
    /// The id can't be used.
    #[error(transparent)]
    DuplicateId(#[from] IdConflict),
    /// The heads and bodies of active requests use up their memory budget.
    #[error(transparent)]
    MemoryBudgetExhausted(#[from] BudgetExhausted),
    /// The client had disconnected before the request was submitted.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The client has sent so much behind the request that its disconnect could not be detected.
    #[error("too many bytes behind the request")]
    TooManyPipelinedBytes,
    /// The request arrived in the closing phase of a graceful shutdown.
    #[error("the request arrived in the closing phase of a shutdown")]
    ShuttingDown,
}

impl RequestError {
    /// Counts the error and builds the response to the client.
    ///
    /// The response bodies are part of the protocol, where "in hand" means active or abandoned and
    /// "refused" means rejected.
    pub fn into_response(self, counters: &Counters) -> Response<ResponseBody> {
        let malformed = |status, text: Bytes| {
            counters.requests_malformed.increment();
            plain_text(status, text)
        };
        match self {
            RequestError::InvalidHeader(error) => {
                malformed(StatusCode::BAD_REQUEST, error.to_string().into())
            }
            RequestError::AmbiguousFraming => {
                malformed(StatusCode::BAD_REQUEST, "ambiguous framing\n".into())
            }
            RequestError::UnknownPath => malformed(StatusCode::NOT_FOUND, "no such path\n".into()),
            RequestError::MethodNotAllowed => {
                malformed(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n".into())
            }
            RequestError::UnknownClass => malformed(StatusCode::BAD_REQUEST, "unknown class\n".into()),
            RequestError::BodyTooLong => malformed(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n".into()),
            RequestError::BodyReadFailed => malformed(StatusCode::BAD_REQUEST, "body broken\n".into()),
            RequestError::ExcessBytes => {
                malformed(StatusCode::BAD_REQUEST, "more bytes than the length says\n".into())
            }
            RequestError::DuplicateId(_) => {
                malformed(StatusCode::CONFLICT, "a request with this id is in hand\n".into())
            }
            RequestError::MemoryBudgetExhausted(_) | RequestError::TooManyPipelinedBytes => {
                counters.requests_shed.increment();
                chat_completions::rejection(Some(RETRY_AFTER))
            }
            RequestError::ClientDisconnected => {
                counters.client_disconnects.increment();
                chat_completions::rejection(None)
            }
            RequestError::ShuttingDown => {
                counters.rejected_at_shutdown.increment();
                chat_completions::rejection(Some(RETRY_AFTER))
            }
        }
    }
}
