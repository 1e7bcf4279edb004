//! When a client's connection ends, and why.

use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// A request has this long to come whole, from its first byte and, the first on a connection, from the accept on.
/// Progress doesn't renew it: half a head, half a body and a drip without end all hold a place.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A client that has said nothing since it connected is let go after this.
const SILENT_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The same during a graceful shutdown: time for the request of a client that has just connected.
const SILENT_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(500);
/// One that was answered before may come again: a session's next turn, and this router knows where its text is kept. It
/// is let go after this, or as soon as its place is wanted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that takes nothing of its answer for this long is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing of a next request has come since.
    Idle(Instant),
    /// A request began to arrive then, and has not come whole.
    Arriving(Instant),
    /// A request has come whole and waits for its answer.
    InHand,
    /// A stream is passed on.
    Streaming,
    /// Its sending side was shut down then, and the client has not closed yet.
    Closing(Instant),
}

/// Whether a connection's place is wanted for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// It may stay.
    None,
    /// It ends in order.
    Soon,
    /// There is no time for its client to close first.
    AtOnce,
}

/// A connection at the moment in which its end is decided on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionFacts {
    /// What it is doing.
    pub phase: Phase,
    /// When it was accepted.
    pub accepted: Instant,
    /// Whether anything was ever answered on it.
    pub has_answered: bool,
    /// Whether bytes wait that the client does not take.
    pub is_write_blocked: bool,
    /// Whether its place is wanted for others.
    pub eviction: Eviction,
    /// Whether a graceful shutdown has come to its closing stage.
    pub is_closing_stage: bool,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// HTTP says so: its last answer was given, or its client closed first.
    ByHttp,
    /// What came can't be read.
    Unreadable,
    /// Nothing came for too long.
    Idle,
    /// Its place is wanted for others.
    Evicted,
    /// The process is about to end.
    Shutdown,
    /// A request did not come whole in time.
    RequestOverdue,
    /// Its client takes nothing of its answer.
    WriteBlocked,
    /// Its client has left in the middle of a stream.
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

/// When a connection ends as it stands, and why; `None` while a request is in hand, or is being answered.
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

/// Whether a connection is between two requests with its last answer written out: a closing stage ends it at once, since a
/// request that comes while a timer runs out would have to be taken.
pub fn is_at_rest(connection: &ConnectionFacts) -> bool {
    matches!(connection.phase, Phase::Idle(_)) && connection.has_answered && !connection.is_write_blocked
}

/// Whether a connection may be closed whose time has come: not while a request is in hand, nor over bytes that have not
/// been read, which would be a request.
pub fn may_close(phase: Phase, has_unread: bool) -> bool {
    match phase {
        Phase::InHand | Phase::Streaming | Phase::Closing(_) => false,
        Phase::Idle(_) => !has_unread,
        Phase::Arriving(_) => true,
    }
}
