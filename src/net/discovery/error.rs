//! Errors of calls to discovery and of watches.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The reason why a call failed or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Connecting to the agent failed.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// The agent's address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The HTTP handshake on the connection failed.
    #[error("HTTP handshake with {address}: {source}")]
    Handshake {
        /// The agent's address.
        address: SocketAddr,
        /// Why the handshake failed.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[error("building the request GET {target}: {source}")]
    BuildRequest {
        /// The path and query of the request.
        target: String,
        /// The reason why the request is invalid.
        source: hyper::http::Error,
    },
    /// The request could not be sent, or the connection failed before the response head.
    #[error("GET {target} at {address}: {source}")]
    Request {
        /// The agent's address.
        address: SocketAddr,
        /// The path and query of the request.
        target: String,
        /// Why sending failed, or how the connection ended.
        source: hyper::Error,
    },
    /// The response status is not 200.
    #[error("GET {target} at {address}: unexpected status {status}")]
    Status {
        /// The agent's address.
        address: SocketAddr,
        /// The path and query of the request.
        target: String,
        /// The status of the agent's response.
        status: hyper::StatusCode,
    },
    /// The agent did not respond within the timeout of the call.
    #[error("GET {target} at {address}: no response within {timeout:?}")]
    CallTimedOut {
        /// The agent's address.
        address: SocketAddr,
        /// The path and query of the request.
        target: String,
        /// How long the router waited for the response.
        timeout: Duration,
    },
    /// Reading a response body failed.
    #[error("reading the response body: {0}")]
    Body(#[source] hyper::Error),
    /// The response to a poll is malformed.
    #[error("parsing the polled endpoint list: {0}")]
    Parse(#[source] serde_json::Error),
    /// A message exceeds the size limit.
    #[error("message exceeds {limit} bytes")]
    MessageTooLong {
        /// The maximum size of a message.
        limit: usize,
    },
    /// The snapshot of a new agent has no workers: the agent has just started and does not know them yet.
    #[error("the polled endpoint list is empty")]
    EmptySnapshot,
    /// An incomplete message received no more data.
    #[error("a message is incomplete and received no data for {timeout:?} after {received_bytes} bytes")]
    MessageIdle {
        /// The number of bytes of the message that were received.
        received_bytes: usize,
        /// The time without data.
        timeout: Duration,
    },
    /// A message is incomplete, or has been lost, for too long, although data arrived.
    #[error("a message is incomplete {timeout:?} after its start, with {received_bytes} bytes")]
    MessageOverdue {
        /// The number of bytes of the message that were received.
        received_bytes: usize,
        /// The time that the message was allowed to take.
        timeout: Duration,
    },
    /// No line of a watch ended within the idle timeout.
    #[error("the watch made no progress for {timeout:?}")]
    WatchIdle {
        /// The idle timeout of a watch.
        timeout: Duration,
    },
    /// The agent closed the watch.
    #[error("the watch ended")]
    WatchEnded,
}

impl DiscoveryError {
    /// The time spent waiting without a response before the failure was detected. Discovery may have
    /// recovered soon after this wait began.
    pub fn unresponsive_for(&self) -> Duration {
        match self {
            DiscoveryError::CallTimedOut { timeout, .. }
            | DiscoveryError::MessageIdle { timeout, .. }
            | DiscoveryError::WatchIdle { timeout } => *timeout,
            _ => Duration::ZERO,
        }
    }
}
