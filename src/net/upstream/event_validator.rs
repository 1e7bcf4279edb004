//! Splits an event stream into blocks of lines, and validates each line.

use crate::net::upstream::event_kind::EventKind;
use crate::net::upstream::event_stream::{EventStreamError, MAX_EVENT_BYTES, StreamPart};
use bytes::{Bytes, BytesMut};

/// The state of a stream that is split into blocks, each of which ends with a blank line.
#[derive(Default)]
pub(super) struct EventValidator {
    /// The start of a block whose end has not arrived.
    buffered: BytesMut,
    /// The length of the validated lines at the start of `buffered`.
    validated: usize,
    /// Whether an event in the format of an answer has arrived.
    is_answer: bool,
    /// Whether the end marker has arrived.
    has_ended: bool,
}

impl EventValidator {
    /// Appends `data`, and removes and returns all blocks that are now complete.
    ///
    /// # Errors
    /// A line is not valid in an event, an event is too long, or it follows the end marker.
    pub fn push(&mut self, data: Bytes) -> Result<StreamPart, EventStreamError> {
        self.buffered.extend_from_slice(&data);
        let mut part = StreamPart::default();
        let mut complete = 0;
        while let Some(length) = self.buffered[self.validated..].iter().position(|b| *b == b'\n') {
            let line = &self.buffered[self.validated..self.validated + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !is_valid_line(line) {
                return Err(EventStreamError::InvalidLine);
            }
            let ends_block = line.is_empty();
            self.validated += length + 1;
            if ends_block {
                let kind = EventKind::of_block(&self.buffered[complete..self.validated]);
                self.record_block(kind, &mut part)?;
                complete = self.validated;
            }
        }
        if self.buffered.len() - complete > MAX_EVENT_BYTES {
            return Err(EventStreamError::EventTooLong);
        }
        self.validated -= complete;
        part.bytes = self.buffered.split_to(complete).freeze();
        Ok(part)
    }

    /// Records a block that belongs to `part`.
    ///
    /// A stream whose events are in a format of their own makes progress with each of them. Once it has proved
    /// to be an answer, only output is progress.
    fn record_block(&mut self, kind: EventKind, part: &mut StreamPart) -> Result<(), EventStreamError> {
        if self.has_ended && kind != EventKind::Empty {
            return Err(EventStreamError::EventAfterEnd);
        }
        part.has_event |= kind != EventKind::Empty;
        match kind {
            EventKind::Empty => {}
            EventKind::Unknown => part.has_progress |= !self.is_answer,
            EventKind::NoOutput => self.is_answer = true,
            EventKind::Output => {
                part.has_progress = true;
                part.output_events += 1;
                self.is_answer = true;
            }
            EventKind::EndMarker => {
                part.has_progress = true;
                self.has_ended = true;
            }
        }
        Ok(())
    }

    /// Removes and returns the remaining bytes when the body has ended. The end of the body is not enough for
    /// a stream to be complete: a chunk of size 0 in the middle of a stream ends the body, too.
    ///
    /// # Errors
    /// The last line is not valid in an event, or the stream ended before its end marker.
    pub fn finish(&mut self) -> Result<StreamPart, EventStreamError> {
        let rest = self.buffered.split().freeze();
        let last_line = &rest[std::mem::take(&mut self.validated)..];
        if !is_valid_line(last_line) {
            return Err(EventStreamError::InvalidLine);
        }
        let mut part = StreamPart::default();
        let kind = EventKind::of_block(&rest);
        self.record_block(kind, &mut part)?;
        part.bytes = rest;
        // Only the end marker may lack its terminating blank line: any other event is cut.
        if self.has_ended { Ok(part) } else { Err(EventStreamError::Truncated) }
    }
}

/// Whether a line is valid in an event stream: a field of the server-sent events standard, a comment or a
/// blank line.
fn is_valid_line(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    // The field name of a comment (": text") and of a blank line is empty.
    matches!(name, b"" | b"data" | b"event" | b"id" | b"retry") && std::str::from_utf8(line).is_ok()
}

#[cfg(test)]
mod tests;
