//! Errors that end the relay of an answer early.

use super::active_calls::Interruption;
use super::sse::SseError;
use super::worker_event::WorkerEventError;

/// Why a relay ended before its answer was complete.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The client disconnected, or stopped reading.
    #[error("the client disconnected")]
    ClientDisconnected,
    /// The client cancelled its request.
    #[error("the client cancelled the request")]
    Cancelled,
    /// The client resumed its request, and a newer call relays the rest of the answer.
    #[error("the client resumed the request in a newer call")]
    Superseded,
    /// The answer exceeds the size limit of a batch response.
    #[error("the answer is too long for a batch")]
    AnswerTooLong,
    /// The decode worker's stream broke.
    #[error("the decode worker's stream broke")]
    StreamBroken,
    /// The stream ended in the middle of a tool call.
    #[error("the decode worker's stream ended before its tool call was answered")]
    EndedDuringToolCall,
    /// The result of a tool call was not accepted by the worker.
    #[error("the decode worker did not accept a tool result")]
    ToolResultNotAccepted,
    /// The stream can't be decoded as server-sent events.
    #[error("decoding the decode worker's event stream: {0}")]
    EventStream(#[from] SseError),
    /// An event is malformed or unknown to the router.
    #[error("decoding an event of the decode worker: {0}")]
    Event(#[from] WorkerEventError),
}

impl From<Interruption> for RelayError {
    fn from(interruption: Interruption) -> Self {
        match interruption {
            Interruption::Cancelled => RelayError::Cancelled,
            Interruption::Superseded => RelayError::Superseded,
        }
    }
}
