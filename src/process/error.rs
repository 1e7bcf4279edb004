//! The error of a router that cannot start.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;

/// The reason why a router cannot start. Its text is shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment variable with the path of the configuration file is not set.
    #[error("configuration: NODE_CONFIG is not set")]
    ConfigNotNamed,
    /// A file could not be read.
    #[error("reading {file}: {source}")]
    ReadFile {
        /// The path of the file.
        file: String,
        /// Why the file could not be read.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configured limit leaves too few sockets for connections to workers.
    #[error("configuration: limits.sockets: {sockets} sockets are too few")]
    TooFewSockets {
        /// The configured number of sockets.
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
        /// The listen address from the configuration or the environment.
        address: SocketAddr,
        /// Why the socket could not be opened.
        source: io::Error,
    },
}
