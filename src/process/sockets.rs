//! Division of the process's file descriptors.

use super::StartError;
use crate::config::Config;

/// File descriptors that are reserved for other uses than connections to clients and workers: the listener,
/// discovery, the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// The share of the remaining descriptors for connections to workers, in twentieths. A request in flight may
/// hold one socket on each side; clients get the larger share because idle clients hold sockets, too.
const UPSTREAM_TWENTIETHS: usize = 9;
/// A router with fewer sockets for connections to workers does not start.
const MIN_UPSTREAM_SOCKETS: usize = 64;

/// The maximum numbers of sockets on each side.
#[derive(Clone, Copy, Debug)]
pub(super) struct SocketBudget {
    /// Connections to workers.
    pub upstream: usize,
    /// Connections to clients, including those that are accepted only to be rejected for lack of capacity.
    pub clients: usize,
}

impl SocketBudget {
    /// Divides the configured number of descriptors.
    ///
    /// # Errors
    /// Too few remain for connections to workers.
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
