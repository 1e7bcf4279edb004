//! A worker's stream of server-sent events, checked event by event.
//!
//! A stream may be corrupted after any byte: a chunk whose size is wrong makes chunk heads look like data,
//! and an oversized chunk is followed by whatever the worker writes next. The first bytes that are no event
//! end the stream here, before they are forwarded. Bytes that are forwarded are not changed.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The longest event, and the most that may precede the first one.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Why a stream can't go on.
#[derive(Debug, thiserror::Error)]
pub enum EventStreamError {
    /// The connection broke, or the body's framing is invalid.
    #[error("the response body broke: {0}")]
    Body(#[from] hyper::Error),
    /// The body holds a line that is no part of an event.
    #[error("the response body is no stream of events")]
    NotAnEvent,
    /// An event is longer than any that is expected.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
}

/// Whether a response body is checked to consist of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCheck {
    /// Each line must belong to an event or a comment.
    Enforced,
    /// The body has another content type and is forwarded as it comes.
    Skipped,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    check: EventCheck,
    checker: EventChecker,
}

impl EventStream {
    /// The events of this body.
    pub fn new(body: Incoming, check: EventCheck) -> Self {
        EventStream { body, check, checker: EventChecker::default() }
    }

    /// Everything up to the end of the first event; `None` if the stream ends before one. Comments are not
    /// events: until there is an event, nothing has been answered.
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

    /// The next complete events or comments as they came, one or more; `None` at the stream's end.
    ///
    /// Dropping the future loses nothing: the next call continues where it stopped.
    ///
    /// # Errors
    /// The stream is corrupted from here on.
    pub async fn next_part(&mut self) -> Result<Option<StreamPart>, EventStreamError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let part = match self.check {
                EventCheck::Enforced => self.checker.push(data)?,
                EventCheck::Skipped => StreamPart { bytes: data, has_event: true },
            };
            if !part.bytes.is_empty() {
                return Ok(Some(part));
            }
        }
        // The last event may lack the blank line behind it.
        let bytes = self.checker.finish()?;
        Ok(Some(StreamPart { bytes, has_event: true }).filter(|part| !part.bytes.is_empty()))
    }
}

/// A part of a stream that ends at the end of a block of lines.
#[derive(Debug)]
pub struct StreamPart {
    /// Its bytes, as they came.
    pub bytes: Bytes,
    /// Whether it contains an event. Blocks that consist of comments are no events.
    pub has_event: bool,
}

/// Collects bytes until they make complete events, and checks them line by line. The bytes stay as they are.
#[derive(Default)]
struct EventChecker {
    /// Bytes that do not make a complete block yet.
    buffered: BytesMut,
    /// Whether the block that has not ended yet has data.
    has_data: bool,
    /// Bytes at the start of `buffered` that have been checked: complete lines.
    checked: usize,
}

impl EventChecker {
    /// Adds bytes, and takes out all blocks that are complete with them.
    fn push(&mut self, data: Bytes) -> Result<StreamPart, EventStreamError> {
        self.buffered.extend_from_slice(&data);
        let (mut complete, mut has_event) = (0, false);
        while let Some(length) = self.buffered[self.checked..].iter().position(|b| *b == b'\n') {
            let line = &self.buffered[self.checked..self.checked + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !is_field(line) {
                return Err(EventStreamError::NotAnEvent);
            }
            let (ends_block, has_data) = (line.is_empty(), line.starts_with(b"data"));
            self.checked += length + 1;
            self.has_data |= has_data;
            if ends_block {
                complete = self.checked;
                has_event |= std::mem::take(&mut self.has_data);
            }
        }
        if self.buffered.len() - complete > MAX_EVENT_BYTES {
            return Err(EventStreamError::EventTooLong);
        }
        self.checked -= complete;
        Ok(StreamPart { bytes: self.buffered.split_to(complete).freeze(), has_event })
    }

    /// Takes out what is left at the stream's end.
    fn finish(&mut self) -> Result<Bytes, EventStreamError> {
        let rest = self.buffered.split().freeze();
        let last_line = &rest[std::mem::take(&mut self.checked)..];
        if is_field(last_line) { Ok(rest) } else { Err(EventStreamError::NotAnEvent) }
    }
}

/// Whether a line may stand in an event: a field that the standard names, a comment or a blank line.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    // A comment has no name before its colon, a blank line nothing at all.
    matches!(name, b"" | b"data" | b"event" | b"id" | b"retry") && std::str::from_utf8(line).is_ok()
}

#[cfg(test)]
mod tests;
