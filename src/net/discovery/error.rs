//! What can go wrong with a call to discovery or with a watch.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a poll failed or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection could not be made.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// Where discovery should be.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connection could not be set up for HTTP.
    #[error("setting up HTTP on the connection to {address}: {source}")]
    Handshake {
        /// Where discovery is.
        address: SocketAddr,
        /// What hyper said.
        source: hyper::Error,
    },
    /// The request is no valid HTTP.
    #[error("building the request GET {target}: {source}")]
    BuildRequest {
        /// Path and query of the request.
        target: String,
        /// What is not valid.
        source: hyper::http::Error,
    },
    /// The request could not be sent, or its response did not come.
    #[error("GET {target} at {address}: {source}")]
    Request {
        /// Where discovery is.
        address: SocketAddr,
        /// Path and query of the request.
        target: String,
        /// What hyper said.
        source: hyper::Error,
    },
    /// The request was answered with an error.
    #[error("GET {target} at {address}: answered with status {status}")]
    Status {
        /// Where discovery is.
        address: SocketAddr,
        /// Path and query of the request.
        target: String,
        /// The status that is not 200.
        status: hyper::StatusCode,
    },
    /// The call took too long.
    #[error("GET {target} at {address}: no response within {timeout:?}")]
    CallTimedOut {
        /// Where discovery is.
        address: SocketAddr,
        /// Path and query of the request.
        target: String,
        /// How long the call could take.
        timeout: Duration,
    },
    /// A response's body broke off.
    #[error("reading a response's body: {0}")]
    Body(#[source] hyper::Error),
    /// A polled list could not be parsed.
    #[error("parsing the polled endpoint list: {0}")]
    Parse(#[source] serde_json::Error),
    /// A message grew longer than any endpoint list.
    #[error("a message is longer than {limit} bytes")]
    MessageTooLong {
        /// The longest message that is read.
        limit: usize,
    },
    /// A new agent's list has no workers: it has just started and does not know them yet.
    #[error("the polled endpoint list is empty")]
    EmptySnapshot,
    /// Nothing that shows life came on the watch.
    #[error("the watch made no progress for {timeout:?}")]
    WatchIdle {
        /// How long a watch may be idle.
        timeout: Duration,
    },
    /// The agent ended the watch.
    #[error("the watch ended")]
    WatchEnded,
}

impl DiscoveryError {
    /// How long this router waited in vain before it noticed: discovery may have been back for as long as that.
    pub fn silent_for(&self) -> Duration {
        match self {
            DiscoveryError::CallTimedOut { timeout, .. } | DiscoveryError::WatchIdle { timeout } => *timeout,
            _ => Duration::ZERO,
        }
    }
}
