//! The messages in the byte stream of a watch.

use super::messages::EndpointListMessage;
use super::object_scanner::ObjectScanner;
use bytes::{Buf, BytesMut};

/// A shorter buffer is parsed at each piece that arrives, whether or not a message is complete.
const SHORT_BUFFER_BYTES: usize = 16 * 1024;

/// How the parser fared with the bytes that it had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseProgress {
    /// There was no complete message.
    NoMessage,
    /// There were one or more complete messages, and the last of them could be parsed.
    Parsed,
    /// The last complete message could not be parsed.
    Malformed,
}

/// Splits the byte stream of a watch into messages.
///
/// Messages are JSON objects. One may be spread over several lines and over any number of pieces, and empty lines may
/// stand between two of them. What is no JSON object and cannot become one is skipped to the end of its line.
#[derive(Default)]
pub struct MessageParser {
    /// Starts with a message, or with what is none.
    buffer: BytesMut,
    /// Finds the end of that message.
    scanner: ObjectScanner,
    /// How long the buffer was when parsing it failed for want of more.
    parsed_bytes: usize,
}

impl MessageParser {
    /// Takes in the next bytes of the stream and hands over each message that is complete now.
    pub fn push(&mut self, data: &[u8], mut on_message: impl FnMut(EndpointListMessage)) -> ParseProgress {
        self.buffer.extend_from_slice(data);
        let mut progress = ParseProgress::NoMessage;
        loop {
            self.skip_whitespace();
            if !self.is_parsed_now() {
                return progress;
            }
            let mut messages =
                serde_json::Deserializer::from_slice(&self.buffer).into_iter::<EndpointListMessage>();
            match messages.next() {
                Some(Ok(message)) => {
                    let end = messages.byte_offset();
                    self.advance(end);
                    progress = ParseProgress::Parsed;
                    on_message(message);
                }
                Some(Err(error)) if !error.is_eof() => {
                    log::warn!("discovery: skipping a line that cannot be parsed: {error}");
                    if self.buffer.starts_with(b"{") {
                        progress = ParseProgress::Malformed;
                    }
                    self.skip_line();
                }
                _ => {
                    self.parsed_bytes = self.buffer.len();
                    return progress;
                }
            }
        }
    }

    /// The number of bytes that belong to a message that is not complete yet.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether it is time to parse the buffer: a message is complete, or what has arrived may be malformed.
    ///
    /// The latter is tried at each piece while the buffer is short, and then only when it has doubled: a message that
    /// comes in many pieces would otherwise be parsed from its start at each of them.
    fn is_parsed_now(&mut self) -> bool {
        if self.scanner.scan(&self.buffer) {
            return true;
        }
        let is_worth_trying =
            self.buffer.len() < SHORT_BUFFER_BYTES || self.buffer.len() >= 2 * self.parsed_bytes;
        is_worth_trying && self.buffer.contains(&b'\n')
    }

    /// Removes bytes from the front of the buffer. What follows is another message.
    fn advance(&mut self, bytes: usize) {
        self.buffer.advance(bytes);
        if bytes > 0 {
            self.scanner = ObjectScanner::default();
            self.parsed_bytes = 0;
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
