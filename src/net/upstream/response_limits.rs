//! Limits on what a worker sends in response to a request. hyper limits a head, but neither the number of
//! informational responses in front of it nor the length of a chunk.

use crate::net::framing::{FramingParser, MAX_INSPECTED_LINE_BYTES};

/// The maximum number of bytes that are read before a response begins: its head, informational responses in
/// front of it, and what was read together with the head.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// The maximum length of a chunk, which is that of a body. A chunk that is said to be longer may never end, and the
/// stream after it can't be told from its content.
const MAX_CHUNK_BYTES: u64 = 256 * 1024;

/// The maximum length of the line with a chunk's size, of which the parser inspects no more. hyper reads digits
/// without end, and all that have arrived at once.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = MAX_INSPECTED_LINE_BYTES;

/// Why a response can't be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ResponseTooLong {
    /// More than [`MAX_HEAD_BYTES`] came without a response head.
    #[error("no response head in {MAX_HEAD_BYTES} bytes")]
    Head,
    /// A chunk is said to be longer than [`MAX_CHUNK_BYTES`].
    #[error("a chunk is longer than {MAX_CHUNK_BYTES} bytes")]
    Chunk,
    /// The line with a chunk's size is longer than [`MAX_CHUNK_SIZE_LINE_BYTES`].
    #[error("the size of a chunk has more than {MAX_CHUNK_SIZE_LINE_BYTES} bytes")]
    ChunkSizeLine,
}

/// The part of a response that has been read.
#[derive(Default)]
pub(super) struct ResponseLimits {
    framing: FramingParser,
    /// The number of bytes read until the head was complete.
    head_bytes: usize,
    has_begun: bool,
    exceeded: Option<ResponseTooLong>,
}

impl ResponseLimits {
    /// Records that the head of the response has arrived.
    pub fn begin_response(&mut self) {
        self.has_begun = true;
    }

    /// Records bytes that were read.
    pub fn record(&mut self, bytes: &[u8]) {
        if !self.has_begun {
            self.head_bytes += bytes.len();
        }
        if self.head_bytes > MAX_HEAD_BYTES {
            self.exceeded = Some(ResponseTooLong::Head);
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let parsed = self.framing.advance(rest);
            rest = &rest[parsed..];
            self.framing.discard_heads();
            if self.framing.chunk_length() > MAX_CHUNK_BYTES {
                self.exceeded = Some(ResponseTooLong::Chunk);
            }
            if self.framing.chunk_size_line_length() > MAX_CHUNK_SIZE_LINE_BYTES {
                self.exceeded = Some(ResponseTooLong::ChunkSizeLine);
            }
        }
    }

    /// Checks whether the response keeps its limits.
    ///
    /// # Errors
    /// The limit that it exceeds.
    pub fn check(&self) -> Result<(), ResponseTooLong> {
        self.exceeded.map_or(Ok(()), Err)
    }
}

#[cfg(test)]
mod tests;
