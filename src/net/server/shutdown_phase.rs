//! The phases of a graceful shutdown, as seen by client connections.

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown is in progress: connections are accepted and requests are served.
    Serving,
    /// Idle connections are closed, all other connections close after the response in progress, and new
    /// requests are rejected.
    Closing,
}
