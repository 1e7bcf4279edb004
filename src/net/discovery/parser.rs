//! The messages in the byte stream of a watch.

use super::messages::ListMessage;
use bytes::{Buf, BytesMut};

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
    buffer: BytesMut,
}

impl MessageParser {
    /// Takes in the next bytes of the stream and hands over each message that is complete now.
    pub fn push(&mut self, data: &[u8], mut on_message: impl FnMut(ListMessage)) -> ParseProgress {
        self.buffer.extend_from_slice(data);
        let mut progress = ParseProgress::NoMessage;
        loop {
            self.skip_whitespace();
            if !self.may_hold_complete_message() {
                return progress;
            }
            let mut messages = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<ListMessage>();
            match messages.next() {
                Some(Ok(message)) => {
                    let end = messages.byte_offset();
                    self.buffer.advance(end);
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
                _ => return progress,
            }
        }
    }

    /// The number of bytes that belong to a message that is not complete yet.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// False while the buffer certainly ends within a message: a long message that comes in many pieces would otherwise
    /// be parsed again from its start at each of them.
    fn may_hold_complete_message(&self) -> bool {
        self.buffer.trim_ascii_end().ends_with(b"}") || self.buffer.contains(&b'\n')
    }

    fn skip_whitespace(&mut self) {
        let whitespace = self.buffer.len() - self.buffer.trim_ascii_start().len();
        self.buffer.advance(whitespace);
    }

    fn skip_line(&mut self) {
        let newline = self.buffer.iter().position(|byte| *byte == b'\n');
        self.buffer.advance(newline.map_or(self.buffer.len(), |newline| newline + 1));
    }
}

#[cfg(test)]
mod tests;
