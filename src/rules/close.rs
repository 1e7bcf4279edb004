//! When a client's connection is closed, and why.
//!
//! Two rules have their place elsewhere. A connection with a stream in flight is never due here:
//! `net::upstream::stream` cuts a stream whose client takes nothing of it. Which connections are evicted when
//! slots run short is chosen by `net::server::connections`; here it is only decided when an evicted one closes.

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
/// A client that takes nothing of its answer for this long is gone. It holds at each place where an answer may
/// wait for its client: the socket, the relay of a worker's stream, and the JSON-RPC frontend's lines.
pub const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing of a next request was received since then.
    Idle(Instant),
    /// A request began to arrive then, and is not complete.
    ReceivingRequest(Instant),
    /// A request was received completely and waits for its answer.
    AwaitingResponse,
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
    Graceful,
    /// It is, at once.
    Immediate,
}

/// A connection at the moment in which its close is decided on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSnapshot {
    /// What it is doing.
    pub phase: ConnectionPhase,
    /// When it was accepted.
    pub accepted_at: Instant,
    /// Whether a request was ever answered on it.
    pub has_answered: bool,
    /// Whether there are bytes to write that the client does not read.
    pub is_write_blocked: bool,
    /// Whether its slot is needed for others.
    pub eviction: Eviction,
    /// Whether a graceful shutdown is in its closing phase.
    pub is_closing_phase: bool,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// HTTP ends it: its last answer was given, or its client closed between two requests.
    Completed,
    /// The body of an answer failed: the stream of its worker broke. Handled as [`CloseReason::Completed`].
    StreamBroken,
    /// The socket failed, or the client closed in the middle of a request. Handled as
    /// [`CloseReason::Completed`].
    ConnectionError,
    /// What was received is no valid HTTP.
    MalformedRequest,
    /// Nothing was received since its accept.
    Silent,
    /// Nothing was received for too long after its last answer.
    Idle,
    /// Its slot is needed for others.
    Evicted,
    /// The process is about to end.
    Shutdown,
    /// A request was not complete in time.
    RequestTimeout,
    /// Its client reads nothing of its answer.
    WriteTimeout,
    /// Its client disconnected in the middle of a stream.
    ClientDisconnected,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Completed => "completed",
            CloseReason::StreamBroken => "stream broken",
            CloseReason::ConnectionError => "connection error",
            CloseReason::MalformedRequest => "malformed request",
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::RequestTimeout => "request timeout",
            CloseReason::WriteTimeout => "write timeout",
            CloseReason::ClientDisconnected => "client disconnected",
        })
    }
}

/// When a connection is to be closed if nothing changes, and why; `None` while a request is in flight on it,
/// and while it is being closed already.
pub fn close_deadline(connection: &ConnectionSnapshot) -> Option<(Instant, CloseReason)> {
    let ConnectionSnapshot { accepted_at, has_answered, is_closing_phase, .. } = *connection;
    let is_evicted = connection.eviction > Eviction::None;
    let overdue =
        if connection.is_write_blocked { CloseReason::WriteTimeout } else { CloseReason::RequestTimeout };
    match connection.phase {
        ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming | ConnectionPhase::Closing(_) => None,
        ConnectionPhase::Idle(since) if connection.is_write_blocked => {
            Some((since + CLIENT_WRITE_TIMEOUT, CloseReason::WriteTimeout))
        }
        ConnectionPhase::Idle(_) if is_evicted => Some((accepted_at, CloseReason::Evicted)),
        ConnectionPhase::Idle(since) if is_closing_phase && has_answered => {
            Some((since, CloseReason::Shutdown))
        }
        ConnectionPhase::Idle(since) if has_answered => Some((since + IDLE_TIMEOUT, CloseReason::Idle)),
        ConnectionPhase::Idle(_) if is_closing_phase => {
            Some((accepted_at + SILENT_TIMEOUT_AT_SHUTDOWN, CloseReason::Shutdown))
        }
        ConnectionPhase::Idle(since) => Some((since + SILENT_TIMEOUT, CloseReason::Silent)),
        ConnectionPhase::ReceivingRequest(_) if is_evicted => Some((accepted_at, overdue)),
        ConnectionPhase::ReceivingRequest(_) if !has_answered => {
            Some((accepted_at + REQUEST_TIMEOUT, overdue))
        }
        ConnectionPhase::ReceivingRequest(since) => Some((since + REQUEST_TIMEOUT, overdue)),
    }
}

/// Whether a connection is between two requests with its last answer written out. The closing phase of a
/// graceful shutdown closes it at once: a request that arrived while a timer runs out would have to be
/// accepted.
pub fn is_idle_between_requests(connection: &ConnectionSnapshot) -> bool {
    matches!(connection.phase, ConnectionPhase::Idle(_))
        && connection.has_answered
        && !connection.is_write_blocked
}

/// Whether a connection that is due may be closed at this moment: not while a request is in flight on it, nor
/// while there are unread bytes, which would be a request.
pub fn may_close(phase: ConnectionPhase, has_unread: bool) -> bool {
    match phase {
        ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming | ConnectionPhase::Closing(_) => false,
        ConnectionPhase::Idle(_) => !has_unread,
        ConnectionPhase::ReceivingRequest(_) => true,
    }
}
