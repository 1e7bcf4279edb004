//! Decodes server-sent events from a decode worker's byte stream.

use bytes::BytesMut;

/// The limit on an incomplete event. During a tool call, no more of the stream is read once this much is
/// buffered.
pub const MAX_EVENT_BYTES: usize = 128 * 1024;
/// The most bytes buffered: an incomplete event and one more chunk of the stream.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Why a byte stream can't be decoded as events.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// More bytes are pending than the buffer may hold.
    #[error("{0} bytes are pending, more than may be buffered")]
    BufferFull(usize),
    /// An event is still incomplete at the size limit.
    #[error("an event exceeds {0} bytes")]
    EventTooLong(usize),
    /// A line is not UTF-8.
    #[error("a line of an event is not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
}

/// Buffers bytes and returns the data of complete events. `EventStream` of the upstream client has already
/// checked that the bytes are events, and passes them on unchanged.
#[derive(Default)]
pub struct SseDecoder {
    buffer: BytesMut,
}

impl SseDecoder {
    /// The number of bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// The buffer would exceed its limit.
    pub fn push(&mut self, data: &[u8]) -> Result<(), SseError> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(SseError::BufferFull(self.buffer.len()));
        }
        Ok(())
    }

    /// Returns the data of the next complete event, or `None` until more bytes are pushed. Comments and other
    /// fields are skipped.
    ///
    /// # Errors
    /// The next event is too long or not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<String>, SseError> {
        let mut data = String::new();
        let mut position = 0;
        while let Some(length) = self.buffer[position..].iter().position(|byte| *byte == b'\n') {
            let line = std::str::from_utf8(&self.buffer[position..position + length])?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            position += length + 1;
            if line.is_empty() {
                let _ = self.buffer.split_to(position);
                return Ok(Some(data));
            }
            if let Some(value) = line.strip_prefix("data:") {
                if !data.is_empty() {
                    data.push('\n');
                }
                data.push_str(value.strip_prefix(' ').unwrap_or(value));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SseError::EventTooLong(MAX_EVENT_BYTES));
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
