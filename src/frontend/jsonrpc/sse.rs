//! Server-sent events out of a decode worker's byte stream.

use bytes::BytesMut;

/// The longest event, and what may be buffered while a tool call is in progress.
pub const MAX_EVENT_BYTES: usize = 128 * 1024;
/// The most that is buffered at all: what is left of one event and one more chunk of the stream.
const MAX_BUFFERED_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Why a byte stream can't be read as events.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// More bytes wait than the buffer may hold.
    #[error("{0} bytes wait for their events to be relayed, more than may be buffered")]
    BufferFull(usize),
    /// An event has no end within its bound.
    #[error("an event has no end within {0} bytes")]
    EventTooLong(usize),
    /// A line is no text.
    #[error("a line of an event is not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
}

/// Collects bytes and gives out the data of whole events. That the bytes are events at all has been checked by
/// [`EventStream`](crate::net::upstream::event_stream::EventStream), which passes them on unchanged.
#[derive(Default)]
pub struct SseDecoder {
    buffer: BytesMut,
}

impl SseDecoder {
    /// The bytes that wait.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds bytes of the stream.
    ///
    /// # Errors
    /// Too many bytes wait.
    pub fn push(&mut self, data: &[u8]) -> Result<(), SseError> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(SseError::BufferFull(self.buffer.len()));
        }
        Ok(())
    }

    /// The data of the next whole event, or `None` until more bytes have come. Comments and other fields are skipped.
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
