//! Why the relay of an answer ends early.

use super::active_calls::Interruption;
use super::sse::SseError;
use super::worker_event::WorkerEventError;

/// Why a relay ended before its answer was complete.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The client is gone, or takes nothing.
    #[error("the client disconnected")]
    ClientDisconnected,
    /// The client cancelled its request.
    #[error("the client cancelled the request")]
    Cancelled,
    /// The client resumed its request, and a newer call relays the rest.
    #[error("the client resumed the request in a newer call")]
    Superseded,
    /// The answer is too long to be collected for a batch.
    #[error("the answer is too long for a batch")]
    AnswerTooLong,
    /// The stream broke.
    #[error("the decode worker's stream broke")]
    StreamBroken,
    /// The stream ended in the middle of a tool call.
    #[error("the decode worker's stream ended before its tool call was answered")]
    EndedDuringToolCall,
    /// The result of a tool call did not reach the worker.
    #[error("the decode worker did not accept a tool result")]
    ToolResultNotAccepted,
    /// The stream is no stream of events.
    #[error("reading the decode worker's stream: {0}")]
    EventStream(#[from] SseError),
    /// An event means nothing to the router.
    #[error("reading an event of the decode worker: {0}")]
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
