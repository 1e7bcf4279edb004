//! Why a request is answered without being submitted to the driver.

use crate::frontend::platform::{self, InvalidHeader};
use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::interface::Micros;
use crate::runtime::counters::Counters;
use bytes::Bytes;
use hyper::{Response, StatusCode};

/// When clients are advised to retry that were rejected for lack of capacity, or by a shutdown.
pub const RETRY_AFTER: Micros = 500_000;

/// Why a request is not submitted to the driver.
///
/// The `Display` texts are for the log, whose lines name the connection and the request themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The end of its body can be read in several ways (request smuggling).
    #[error("ambiguous framing")]
    AmbiguousFraming,
    /// Nothing is served at its path.
    #[error("no such path")]
    UnknownPath,
    /// Its path is served with another method.
    #[error("wrong method")]
    MethodNotAllowed,
    /// A header of the platform's protocol is missing or malformed.
    #[error(transparent)]
    InvalidHeader(#[from] InvalidHeader),
    /// The settings name no such class.
    #[error("unknown class")]
    UnknownClass,
    /// Its body is longer than any that is accepted.
    #[error("body too long")]
    BodyTooLong,
    /// Its body could not be read.
    #[error("body broken")]
    BodyBroken,
    /// Bytes follow its body that cannot begin another request.
    #[error("more bytes than the length says")]
    ExcessBytes,
    /// Another active request has the same id.
    #[error("a request with this id is active")]
    DuplicateId,
    /// The bodies of active requests take all the memory that they may.
    #[error("no memory left for request bodies")]
    MemoryBudgetExhausted,
    /// The client had disconnected before the request was submitted.
    #[error("its client has disconnected")]
    ClientDisconnected,
    /// The request arrived in the closing phase of a graceful shutdown.
    #[error("it arrived in the closing phase of a shutdown")]
    ShuttingDown,
}

impl RequestError {
    /// The response to the client. Counts the error.
    ///
    /// The texts of the bodies are fixed by the protocol with clients: there a request that is "in hand" is an active
    /// one, and a "refused" one has been rejected.
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
            RequestError::BodyBroken => malformed(StatusCode::BAD_REQUEST, "body broken\n".into()),
            RequestError::ExcessBytes => {
                malformed(StatusCode::BAD_REQUEST, "more bytes than the length says\n".into())
            }
            RequestError::DuplicateId => {
                malformed(StatusCode::CONFLICT, "a request with this id is in hand\n".into())
            }
            RequestError::MemoryBudgetExhausted => {
                counters.requests_shed.increment();
                platform::rejection(Some(RETRY_AFTER))
            }
            RequestError::ClientDisconnected => {
                counters.client_disconnects.increment();
                platform::rejection(None)
            }
            RequestError::ShuttingDown => {
                counters.rejected_at_shutdown.increment();
                platform::rejection(Some(RETRY_AFTER))
            }
        }
    }
}
