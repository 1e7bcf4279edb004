//! The phases of a graceful shutdown, as client connections see them.

/// How far a graceful shutdown has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Connections are accepted and requests are served.
    Serving,
    /// Idle connections are closed, every other connection closes after the response in progress, and requests that
    /// still arrive are rejected.
    Closing,
}
