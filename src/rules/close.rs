//! When a client's connection is closed, and why.

use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// A request has this long to be received completely, from its first byte and, where it is the first of its
/// connection, from the accept. Progress doesn't restart it: an incomplete head, an incomplete body and one
/// byte at a time all occupy a slot.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A connection on which nothing was received since its accept is closed after this.
const SILENT_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The same in the closing phase of a graceful shutdown: time for the request of a client that has just
/// connected.
const SILENT_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(500);
/// A client that has had an answer may send the next request of its session, and this router knows which
/// worker has the session's text cached. Its connection is closed after this, or as soon as its slot is
/// needed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that reads nothing of its answer for this long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing of a next request was received since then.
    Idle(Instant),
    /// A request began to arrive then, and is not complete.
    Arriving(Instant),
    /// A request was received completely and waits for its answer.
    InHand,
    /// A stream is being passed on.
    Streaming,
    /// The router shut down its sending side then, and the client has not closed yet.
    Closing(Instant),
}

/// Whether a connection's slot is needed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// It is not.
    None,
    /// It is, and there is time for the client to close first.
    Soon,
    /// It is, at once.
    AtOnce,
}

/// A connection at the moment in which its close is decided on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionFacts {
    /// What it is doing.
    pub phase: Phase,
    /// When it was accepted.
    pub accepted: Instant,
    /// Whether a request was ever answered on it.
    pub has_answered: bool,
    /// Whether there are bytes to write that the client does not read.
    pub is_write_blocked: bool,
    /// Whether its slot is needed for others.
    pub eviction: Eviction,
    /// Whether a graceful shutdown is in its closing phase.
    pub is_closing_stage: bool,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// HTTP ends it: its last answer was given, or its client closed first.
    ByHttp,
    /// What was received is no valid HTTP.
    Unreadable,
    /// Nothing was received for too long.
    Idle,
    /// Its slot is needed for others.
    Evicted,
    /// The process is about to end.
    Shutdown,
    /// A request was not complete in time.
    RequestOverdue,
    /// Its client reads nothing of its answer.
    WriteBlocked,
    /// Its client disconnected in the middle of a stream.
    ClientLeft,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ByHttp => "by http",
            CloseReason::Unreadable => "unreadable",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::RequestOverdue => "request overdue",
            CloseReason::WriteBlocked => "write blocked",
            CloseReason::ClientLeft => "client left",
        })
    }
}

/// When a connection is to be closed if nothing changes, and why; `None` while a request is in flight on it,
/// and while it is being closed already.
pub fn close_due(connection: &ConnectionFacts) -> Option<(Instant, CloseReason)> {
    let ConnectionFacts { accepted, has_answered, is_closing_stage, .. } = *connection;
    let is_evicted = connection.eviction > Eviction::None;
    let overdue =
        if connection.is_write_blocked { CloseReason::WriteBlocked } else { CloseReason::RequestOverdue };
    match connection.phase {
        Phase::InHand | Phase::Streaming | Phase::Closing(_) => None,
        Phase::Idle(since) if connection.is_write_blocked => {
            Some((since + WRITE_TIMEOUT, CloseReason::WriteBlocked))
        }
        Phase::Idle(_) if is_evicted => Some((accepted, CloseReason::Evicted)),
        Phase::Idle(since) if is_closing_stage && has_answered => Some((since, CloseReason::Shutdown)),
        Phase::Idle(since) if has_answered => Some((since + IDLE_TIMEOUT, CloseReason::Idle)),
        Phase::Idle(_) if is_closing_stage => {
            Some((accepted + SILENT_TIMEOUT_AT_SHUTDOWN, CloseReason::Shutdown))
        }
        Phase::Idle(since) => Some((since + SILENT_TIMEOUT, CloseReason::Idle)),
        Phase::Arriving(_) if is_evicted => Some((accepted, overdue)),
        Phase::Arriving(_) if !has_answered => Some((accepted + REQUEST_TIMEOUT, overdue)),
        Phase::Arriving(since) => Some((since + REQUEST_TIMEOUT, overdue)),
    }
}

/// Whether a connection is between two requests with its last answer written out. The closing phase of a
/// graceful shutdown closes it at once: a request that arrived while a timer runs out would have to be
/// accepted.
pub fn is_at_rest(connection: &ConnectionFacts) -> bool {
    matches!(connection.phase, Phase::Idle(_)) && connection.has_answered && !connection.is_write_blocked
}

/// Whether a connection that is due may be closed at this moment: not while a request is in flight on it, nor
/// while there are unread bytes, which would be a request.
pub fn may_close(phase: Phase, has_unread: bool) -> bool {
    match phase {
        Phase::InHand | Phase::Streaming | Phase::Closing(_) => false,
        Phase::Idle(_) => !has_unread,
        Phase::Arriving(_) => true,
    }
}
