//! Splits an event stream into blocks of lines, and validates each line.

use crate::net::memory_budget::{MemoryBudget, MemoryReservation};
use crate::net::upstream::event_kind::EventKind;
use crate::net::upstream::event_stream::{EventStreamError, MAX_EVENT_BYTES, StreamPart};
use bytes::{Bytes, BytesMut};
use std::rc::Rc;

/// The memory that an incomplete event may occupy without a reservation. Events of an answer are shorter.
const UNRESERVED_BYTES: usize = 8 * 1024;

/// The state of a stream that is split into blocks, each of which ends with a blank line.
pub(super) struct EventValidator {
    /// The start of a block whose end has not arrived.
    buffered: BytesMut,
    /// The memory of a long block.
    reservation: MemoryReservation,
    /// The length of the validated lines at the start of `buffered`.
    validated: usize,
    /// Whether an event in the format of an answer has arrived.
    is_answer: bool,
    /// Whether the end marker has arrived.
    has_ended: bool,
}

impl EventValidator {
    /// The state of a stream that has not begun. The memory of long events is reserved from `budget`.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        EventValidator {
            buffered: BytesMut::new(),
            reservation: MemoryReservation::new(budget),
            validated: 0,
            is_answer: false,
            has_ended: false,
        }
    }

    /// Appends `data`, and removes and returns all blocks that are now complete.
    ///
    /// # Errors
    /// A line is not valid in an event, an event is too long or follows the end marker, or there is no memory
    /// for it.
    pub fn push(&mut self, data: Bytes) -> Result<StreamPart, EventStreamError> {
        self.append(&data)?;
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
        if complete > 0 {
            self.split_off(complete, &mut part);
        }
        Ok(part)
    }

    /// Appends `data`, and reserves the memory of the buffer if it is long.
    fn append(&mut self, data: &[u8]) -> Result<(), EventStreamError> {
        let required = self.buffered.len() + data.len();
        if required > UNRESERVED_BYTES.max(self.reservation.bytes()) {
            // The memory of the buffer at least doubles, as a growing buffer is copied.
            let size = required.next_power_of_two();
            self.reservation.grow_within_half(size - self.reservation.bytes())?;
            self.buffered.reserve(size - self.buffered.len());
        }
        self.buffered.extend_from_slice(data);
        Ok(())
    }

    /// Moves the first `length` bytes of the buffer to `part`, with the reservation of their memory.
    fn split_off(&mut self, length: usize, part: &mut StreamPart) {
        part.bytes = self.buffered.split_to(length).freeze();
        if self.reservation.bytes() > 0 {
            // The rest shares its memory with the part, whose reservation ends with the part.
            self.buffered = BytesMut::from(&self.buffered[..]);
            part.reservation = Some(self.reservation.take());
        }
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
        let rest = std::mem::take(&mut self.buffered).freeze();
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
