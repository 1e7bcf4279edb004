//! Validates a worker's stream of server-sent events before it is forwarded.
//!
//! A stream may be corrupted after any byte: a wrong chunk size makes chunk headers part of the data, and one
//! that is too large also makes the worker's later output part of the data. The stream fails at the first
//! line that is not valid in an event, and the block with that line is not forwarded. Forwarded bytes are not
//! changed.

use crate::net::upstream::event_kind::EventKind;
use crate::net::upstream::stream_tail::ends_with_end_marker;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The maximum length of an event, and of the comments before the first event.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Why a stream can't be read further.
#[derive(Debug, thiserror::Error)]
pub enum EventStreamError {
    /// The connection failed, or the body's framing is invalid.
    #[error("failed to read the response body: {0}")]
    Body(#[from] hyper::Error),
    /// A line is not valid in an event.
    #[error("invalid line in the event stream")]
    InvalidLine,
    /// The body ended within an event.
    #[error("the stream ended within an event")]
    Truncated,
    /// An event, or the comments before the first event, exceed [`MAX_EVENT_BYTES`].
    #[error("event is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
}

/// Whether a response body is validated as an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventValidation {
    /// Each line must belong to an event or be a comment.
    Enforced,
    /// The body has another content type and is forwarded as it arrives.
    Skipped,
}

/// The event stream of one response.
pub struct EventStream {
    body: Incoming,
    validation: EventValidation,
    validator: EventValidator,
}

impl EventStream {
    /// Reads the event stream from a response body.
    pub fn new(body: Incoming, validation: EventValidation) -> Self {
        EventStream { body, validation, validator: EventValidator::default() }
    }

    /// Reads up to the end of the first event, and returns it with the comments before it; `None` if the
    /// stream ends without an event. Comments do not count as the start of a response.
    ///
    /// # Errors
    /// The stream is corrupted before its first event.
    pub async fn first_event(&mut self) -> Result<Option<Bytes>, EventStreamError> {
        let mut comments = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if comments.is_empty() && part.has_event {
                return Ok(Some(part.bytes));
            }
            comments.extend_from_slice(&part.bytes);
            if part.has_event {
                return Ok(Some(comments.freeze()));
            }
            if comments.len() > MAX_EVENT_BYTES {
                return Err(EventStreamError::EventTooLong);
            }
        }
        Ok(None)
    }

    /// Reads the next part, one or more complete events or comments; `None` at the end of the stream.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    /// The body could not be read, a line is not valid in an event, an event is too long, or the stream ended
    /// within one.
    pub async fn next_part(&mut self) -> Result<Option<StreamPart>, EventStreamError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let part = match self.validation {
                EventValidation::Enforced => self.validator.push(data)?,
                EventValidation::Skipped => StreamPart { bytes: data, has_event: true, output_events: 1 },
            };
            if !part.bytes.is_empty() {
                return Ok(Some(part));
            }
        }
        // Only the end marker may lack its terminating blank line: any other event is cut.
        let rest = self.validator.finish()?;
        if rest.is_empty() {
            Ok(None)
        } else if ends_with_end_marker(&rest) {
            Ok(Some(StreamPart { bytes: rest, has_event: true, output_events: 1 }))
        } else {
            Err(EventStreamError::Truncated)
        }
    }

    /// Whether the body is validated as an event stream.
    pub fn is_validated(&self) -> bool {
        self.validation == EventValidation::Enforced
    }
}

/// A part of a stream: one or more blocks of lines, each terminated by a blank line, or the rest of a stream
/// at its end.
#[derive(Debug)]
pub struct StreamPart {
    /// The unchanged bytes from the worker.
    pub bytes: Bytes,
    /// Whether the part contains an event. A block without data, such as one of comments, is not an event.
    pub has_event: bool,
    /// The number of events that add to the answer, including the end marker.
    pub output_events: u64,
}

/// Splits a stream into blocks that end with a blank line, and validates each line.
#[derive(Default)]
struct EventValidator {
    /// The start of a block whose end has not arrived.
    buffered: BytesMut,
    /// The length of the validated lines at the start of `buffered`.
    validated: usize,
}

impl EventValidator {
    /// Appends `data`, and removes and returns all blocks that are now complete.
    fn push(&mut self, data: Bytes) -> Result<StreamPart, EventStreamError> {
        self.buffered.extend_from_slice(&data);
        let (mut complete, mut has_event, mut output_events) = (0, false, 0);
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
                complete = self.validated;
                has_event |= kind != EventKind::Empty;
                output_events += u64::from(matches!(kind, EventKind::Output | EventKind::EndMarker));
            }
        }
        if self.buffered.len() - complete > MAX_EVENT_BYTES {
            return Err(EventStreamError::EventTooLong);
        }
        self.validated -= complete;
        Ok(StreamPart { bytes: self.buffered.split_to(complete).freeze(), has_event, output_events })
    }

    /// Removes and returns the remaining bytes at the end of the stream.
    fn finish(&mut self) -> Result<Bytes, EventStreamError> {
        let rest = self.buffered.split().freeze();
        let last_line = &rest[std::mem::take(&mut self.validated)..];
        if is_valid_line(last_line) { Ok(rest) } else { Err(EventStreamError::InvalidLine) }
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
