//! Division of the process's memory limit.

use crate::net::buffer_limit::BufferLimit;

const BYTES_PER_MEGABYTE: usize = 1024 * 1024;
/// The size of the blocks in which received bytes are kept. Equal blocks leave no holes in the heap that fit no other
/// buffer.
pub const BLOCK_BYTES: usize = 16 * 1024;
/// The size of all buffers of a connection if each is as small as possible.
const MIN_CONNECTION_BYTES: usize = BufferLimit::BUFFERS_PER_CONNECTION * BufferLimit::MIN.bytes();
/// The share of the memory limit for the buffers of all connections: one half.
const CONNECTION_DIVISOR: usize = 2;
/// The share of the memory limit for the heads and bodies of all requests: one quarter.
const REQUEST_DIVISOR: usize = 4;
/// The share of the memory limit for bytes that are read ahead: one twelfth. The remaining sixth is for the
/// endpoint list, the policy and the log.
const READ_AHEAD_DIVISOR: usize = 12;

/// The parts of the memory limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryDivision {
    /// For the heads and bodies of all requests in flight.
    pub requests: usize,
    /// For the bytes that clients send behind their active request.
    pub read_ahead: usize,
    /// For the buffers of all connections.
    connections: usize,
}

impl MemoryDivision {
    /// Divides a memory limit.
    pub fn of(memory_mb: usize) -> Self {
        let bytes = memory_mb.saturating_mul(BYTES_PER_MEGABYTE);
        MemoryDivision {
            requests: bytes / REQUEST_DIVISOR,
            read_ahead: bytes / READ_AHEAD_DIVISOR,
            connections: bytes / CONNECTION_DIVISOR,
        }
    }

    /// The smallest memory limit, in megabytes, with which this many connections fit.
    pub fn min_memory_mb(connections: usize) -> usize {
        let bytes = connections.saturating_mul(MIN_CONNECTION_BYTES);
        bytes.saturating_mul(CONNECTION_DIVISOR).div_ceil(BYTES_PER_MEGABYTE)
    }

    /// The maximum number of connections whose smallest buffers fit.
    pub fn max_connections(self) -> usize {
        self.connections / MIN_CONNECTION_BYTES
    }

    /// The buffer limit with which this many connections fit.
    pub fn buffer_limit(self, connections: usize) -> BufferLimit {
        BufferLimit::for_connection_memory(self.connections / connections.max(1))
    }
}

#[cfg(test)]
mod tests;
