//! The size limit of the buffers of an HTTP connection.

/// The size limit of each of hyper's two buffers of a connection, for reading and for writing. The buffer for
/// reading holds a complete head, so this also limits the length of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimit(usize);

impl BufferLimit {
    /// The smallest limit that hyper accepts.
    pub const MIN: BufferLimit = BufferLimit(8 * 1024);
    /// Larger buffers would save hardly any system calls.
    pub const MAX: BufferLimit = BufferLimit(64 * 1024);
    /// The number of buffers of a connection that the limit applies to.
    pub const BUFFERS_PER_CONNECTION: usize = 2;

    /// The limit with which all buffers of a connection fit into this many bytes, between [`Self::MIN`] and
    /// [`Self::MAX`].
    pub fn for_connection_memory(bytes: usize) -> Self {
        BufferLimit((bytes / Self::BUFFERS_PER_CONNECTION).clamp(Self::MIN.0, Self::MAX.0))
    }

    /// The limit in bytes.
    pub const fn bytes(self) -> usize {
        self.0
    }
}
