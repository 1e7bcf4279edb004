//! When and why a client connection is closed.
//!
//! Two decisions are made elsewhere. A connection with a stream in flight has no deadline here:
//! `net::upstream::stream` ends a stream that its client does not read. `net::server::connections` selects
//! the connections to evict when slots run short; this module decides when an evicted connection closes.

use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The time limit for receiving a complete request, from its first byte or, for the first request of a
/// connection, from the accept. Progress does not extend it: a client that sends one byte at a time occupies
/// a slot as much as one that stops in the middle of a head or a body.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The time limit for receiving the first byte of a connection, from its accept.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The same in the closing phase of a graceful shutdown. It leaves a client that has just connected time to
/// send its request.
const SHUTDOWN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a keep-alive connection may be idle, unless its slot is needed earlier. It is kept because its
/// client may send the next request of its session, and this router knows which worker has the session's text
/// cached.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that reads nothing of its response for this long is considered gone. Applies wherever a response
/// may wait for its client: at the socket, in the relay of a worker's stream and in the JSON-RPC frontend's
/// output.
pub const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of the next request has been received; the time is the start of the phase.
    Idle(Instant),
    /// A request has been received in part; the time is that of its first byte.
    ReceivingRequest(Instant),
    /// A request has been received completely and awaits its response.
    AwaitingResponse,
    /// A response is being streamed.
    Streaming,
    /// The router shut down its sending side at this time, and the client has not closed yet.
    Closing(Instant),
}

/// Whether a connection is evicted because other connections need its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// The connection is not evicted.
    None,
    /// The connection is evicted, with time for the client to close first.
    Graceful,
    /// The connection is evicted at once.
    Immediate,
}

/// The state of a connection when its close is decided.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSnapshot {
    /// The phase of the connection.
    pub phase: ConnectionPhase,
    /// When the connection was accepted.
    pub accepted_at: Instant,
    /// Whether at least one response has been completed on it.
    pub has_responded: bool,
    /// Whether output is pending because the client does not read it.
    pub is_write_blocked: bool,
    /// Whether the connection is evicted.
    pub eviction: Eviction,
    /// Whether a graceful shutdown is in its closing phase.
    pub is_closing_phase: bool,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection ended as HTTP provides: after its last response, or by the client between two requests.
    Completed,
    /// The body of a response failed because the worker's stream broke. Handled like
    /// [`CloseReason::Completed`].
    StreamBroken,
    /// The socket failed, or the client closed in the middle of a request. Handled like
    /// [`CloseReason::Completed`].
    ConnectionError,
    /// The received bytes are not valid HTTP.
    MalformedRequest,
    /// No byte was received in time after the accept.
    Silent,
    /// The idle timeout after the connection's last response has passed.
    Idle,
    /// The connection's slot was needed for another connection.
    Evicted,
    /// The router is shutting down.
    Shutdown,
    /// A request was not received completely in time.
    RequestTimeout,
    /// The client does not read its response.
    WriteTimeout,
    /// The client disconnected during a stream.
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

/// When and why a connection is to be closed if its state does not change; `None` while a request is in
/// flight on it or the router has already shut down its sending side.
pub fn close_deadline(connection: &ConnectionSnapshot) -> Option<(Instant, CloseReason)> {
    let ConnectionSnapshot { accepted_at, has_responded, is_closing_phase, .. } = *connection;
    let is_evicted = connection.eviction > Eviction::None;
    let overdue_reason =
        if connection.is_write_blocked { CloseReason::WriteTimeout } else { CloseReason::RequestTimeout };
    match connection.phase {
        ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming | ConnectionPhase::Closing(_) => None,
        ConnectionPhase::Idle(since) if connection.is_write_blocked => {
            Some((since + CLIENT_WRITE_TIMEOUT, CloseReason::WriteTimeout))
        }
        ConnectionPhase::Idle(_) if is_evicted => Some((accepted_at, CloseReason::Evicted)),
        ConnectionPhase::Idle(since) if is_closing_phase && has_responded => {
            Some((since, CloseReason::Shutdown))
        }
        ConnectionPhase::Idle(since) if has_responded => Some((since + IDLE_TIMEOUT, CloseReason::Idle)),
        ConnectionPhase::Idle(_) if is_closing_phase => {
            Some((accepted_at + SHUTDOWN_FIRST_BYTE_TIMEOUT, CloseReason::Shutdown))
        }
        ConnectionPhase::Idle(since) => Some((since + FIRST_BYTE_TIMEOUT, CloseReason::Silent)),
        ConnectionPhase::ReceivingRequest(_) if is_evicted => Some((accepted_at, overdue_reason)),
        ConnectionPhase::ReceivingRequest(_) if !has_responded => {
            Some((accepted_at + REQUEST_TIMEOUT, overdue_reason))
        }
        ConnectionPhase::ReceivingRequest(since) => Some((since + REQUEST_TIMEOUT, overdue_reason)),
    }
}

/// Whether a connection is between two requests, with its last response written out. The closing phase of a
/// graceful shutdown closes it at once: a request that arrived before a timer expired would have to be
/// accepted.
pub fn is_idle_between_requests(connection: &ConnectionSnapshot) -> bool {
    matches!(connection.phase, ConnectionPhase::Idle(_))
        && connection.has_responded
        && !connection.is_write_blocked
}

/// Whether a connection whose deadline has passed may be closed now: not while a request is in flight on it,
/// nor while it is idle with unread bytes, which are the start of a request.
pub fn may_close(phase: ConnectionPhase, has_unread_bytes: bool) -> bool {
    match phase {
        ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming | ConnectionPhase::Closing(_) => false,
        ConnectionPhase::Idle(_) => !has_unread_bytes,
        ConnectionPhase::ReceivingRequest(_) => true,
    }
}
