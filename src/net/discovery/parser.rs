//! Incremental parser of the messages in the byte stream of a watch.

use super::messages::EndpointListMessage;
use super::object_scanner::ObjectScanner;
use bytes::{Buf, BytesMut};

/// Below this size, the buffer is parsed after each chunk that arrives, even if no message is complete.
const SHORT_BUFFER_BYTES: usize = 16 * 1024;

/// Result of parsing the buffered bytes after a chunk was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseOutcome {
    /// No message was complete.
    NoMessage,
    /// At least one message was complete, and the last one was valid.
    Parsed,
    /// The last message was malformed.
    Malformed,
}

/// Splits the byte stream of a watch into messages.
///
/// Messages are JSON objects. A message may span several lines and any number of chunks, and empty lines may
/// separate messages. Bytes that cannot be the start of a valid message are skipped up to the next newline.
#[derive(Default)]
pub struct MessageParser {
    /// The bytes not yet consumed, starting with a message or with malformed data.
    buffer: BytesMut,
    /// Finds the end of the first message in the buffer.
    scanner: ObjectScanner,
    /// Size of the buffer at the last attempt to parse an incomplete message.
    attempted_bytes: usize,
}

impl MessageParser {
    /// Appends the next chunk of the stream and calls `on_message` for each message that is now complete.
    pub fn push(&mut self, data: &[u8], mut on_message: impl FnMut(EndpointListMessage)) -> ParseOutcome {
        self.buffer.extend_from_slice(data);
        let mut outcome = ParseOutcome::NoMessage;
        loop {
            self.skip_whitespace();
            if !self.should_parse() {
                return outcome;
            }
            let mut messages =
                serde_json::Deserializer::from_slice(&self.buffer).into_iter::<EndpointListMessage>();
            match messages.next() {
                Some(Ok(message)) => {
                    let end = messages.byte_offset();
                    self.advance(end);
                    outcome = ParseOutcome::Parsed;
                    on_message(message);
                }
                Some(Err(error)) if !error.is_eof() => {
                    log::warn!("discovery: skipping a malformed line: {error}");
                    if self.buffer.starts_with(b"{") {
                        outcome = ParseOutcome::Malformed;
                    }
                    self.skip_line();
                }
                _ => {
                    self.attempted_bytes = self.buffer.len();
                    return outcome;
                }
            }
        }
    }

    /// The number of buffered bytes of an incomplete message.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether to parse the buffer now: a message is complete, or the buffer has to be checked for malformed
    /// data.
    ///
    /// A short buffer is checked after each chunk, a longer one only once it has doubled: otherwise a long
    /// message would be parsed from its start again after each of its chunks.
    fn should_parse(&mut self) -> bool {
        if self.scanner.scan(&self.buffer) {
            return true;
        }
        let is_check_due =
            self.buffer.len() < SHORT_BUFFER_BYTES || self.buffer.len() >= 2 * self.attempted_bytes;
        is_check_due && self.buffer.contains(&b'\n')
    }

    /// Removes bytes from the front of the buffer, up to the start of another message.
    fn advance(&mut self, bytes: usize) {
        self.buffer.advance(bytes);
        if bytes > 0 {
            self.scanner = ObjectScanner::default();
            self.attempted_bytes = 0;
        }
    }

    fn skip_whitespace(&mut self) {
        let whitespace = self.buffer.len() - self.buffer.trim_ascii_start().len();
        self.advance(whitespace);
    }

    fn skip_line(&mut self) {
        let newline = self.buffer.iter().position(|byte| *byte == b'\n');
        self.advance(newline.map_or(self.buffer.len(), |newline| newline + 1));
    }
}

#[cfg(test)]
mod tests;
