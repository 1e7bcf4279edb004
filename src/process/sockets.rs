//! Division of the process's file descriptors.

use super::StartError;
use crate::config::Config;
use crate::net::buffer_limit::BufferLimit;
use crate::net::memory::MemoryDivision;

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
    /// The limit of the buffers of each connection, with which those of all connections fit into the memory.
    pub buffer_limit: BufferLimit,
}

impl SocketBudget {
    /// Divides the configured number of descriptors, or the number of connections whose buffers fit into the
    /// memory limit if that is smaller.
    ///
    /// # Errors
    /// Too few remain for connections to workers.
    pub fn divide(config: &Config) -> Result<Self, StartError> {
        let memory = MemoryDivision::of(config.limits.memory_mb);
        let descriptors = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = descriptors.min(memory.max_connections());
        if connections < descriptors {
            log::warn!(
                "limits.memory_mb = {} has room for {connections} connections, fewer than limits.sockets allows; \
                 {} would be needed",
                config.limits.memory_mb,
                MemoryDivision::min_memory_mb(descriptors)
            );
        }
        let tool_calls = config.tools.as_ref().map_or(0, |tools| tools.max_concurrent_calls);
        let sockets = connections.saturating_sub(tool_calls);
        let upstream = sockets * UPSTREAM_TWENTIETHS / 20;
        if upstream < MIN_UPSTREAM_SOCKETS {
            return Err(StartError::TooFewSockets { sockets: config.limits.sockets });
        }
        let buffer_limit = memory.buffer_limit(connections);
        Ok(SocketBudget { upstream, clients: sockets - upstream, buffer_limit })
    }
}
