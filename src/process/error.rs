//! Why a router could not be started.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;

/// Why a router could not be started. Operators read its text.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment does not name the configuration.
    #[error("configuration: NODE_CONFIG is not set")]
    ConfigNotNamed,
    /// A file could not be read.
    #[error("reading {file}: {source}")]
    ReadFile {
        /// The file.
        file: String,
        /// Why.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration leaves too few sockets for connections to workers.
    #[error("configuration: limits.sockets: {sockets} are too few")]
    TooFewSockets {
        /// The configured limit.
        sockets: usize,
    },
    /// The async runtime could not be started.
    #[error("starting the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be registered.
    #[error("registering signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listening socket could not be opened.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}
