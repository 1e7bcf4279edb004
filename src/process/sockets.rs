//! How a process divides its descriptors.

use super::StartError;
use crate::config::Config;

/// Descriptors for everything that is neither a client's connection nor one to a worker: the listener,
/// discovery, the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// The connections to workers get this share of the rest, in twentieths. Each request in flight may hold a
/// socket of either side; clients without a request hold some more of theirs, so their share is the larger
/// one.
const UPSTREAM_TWENTIETHS: usize = 9;
/// A router with fewer connections to workers does not start.
const MIN_UPSTREAM_SOCKETS: usize = 64;

/// The sockets of each side.
#[derive(Clone, Copy, Debug)]
pub(super) struct SocketBudget {
    /// Connections to workers.
    pub upstream: usize,
    /// Connections of clients, those included that are only told that there is no capacity.
    pub clients: usize,
}

impl SocketBudget {
    /// Divides the configured number of descriptors.
    ///
    /// # Errors
    /// There are too few.
    pub fn divide(config: &Config) -> Result<Self, StartError> {
        let tool_calls = config.tools.as_ref().map_or(0, |tools| tools.max_concurrent_calls);
        let sockets = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS + tool_calls);
        let upstream = sockets * UPSTREAM_TWENTIETHS / 20;
        if upstream < MIN_UPSTREAM_SOCKETS {
            return Err(StartError::TooFewSockets { sockets: config.limits.sockets });
        }
        Ok(SocketBudget { upstream, clients: sockets - upstream })
    }
}
