//! Division of the process's memory limit.

use crate::config::Limits;
use crate::net::buffer_limit::BufferLimit;

const BYTES_PER_MEGABYTE: usize = 1024 * 1024;
/// The share of the memory limit for the buffers of all connections: one half.
const CONNECTION_DIVISOR: usize = 2;
/// The share of the memory limit for the heads and bodies of all requests: one third. The remaining sixth is
/// for the endpoint list, the policy and the log.
const REQUEST_DIVISOR: usize = 3;

/// The parts of the memory limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryDivision {
    /// For the heads and bodies of all requests in flight.
    pub requests: usize,
    /// For the buffers of all connections.
    connections: usize,
}

impl MemoryDivision {
    /// Divides the configured memory limit.
    pub fn of(limits: &Limits) -> Self {
        let bytes = limits.memory_mb.saturating_mul(BYTES_PER_MEGABYTE);
        MemoryDivision { requests: bytes / REQUEST_DIVISOR, connections: bytes / CONNECTION_DIVISOR }
    }

    /// The maximum number of connections whose smallest buffers fit.
    pub fn max_connections(self) -> usize {
        self.connections / (BufferLimit::BUFFERS_PER_CONNECTION * BufferLimit::MIN.bytes())
    }

    /// The buffer limit with which this many connections fit.
    pub fn buffer_limit(self, connections: usize) -> BufferLimit {
        BufferLimit::for_connection_memory(self.connections / connections.max(1))
    }
}

#[cfg(test)]
mod tests;
