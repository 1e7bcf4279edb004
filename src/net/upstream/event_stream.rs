//! Validates a worker's stream of server-sent events before it is forwarded.
//!
//! A stream may be corrupted after any byte: a wrong chunk size makes chunk headers part of the data, and one
//! that is too large also makes the worker's later output part of the data. The stream fails at the first
//! line that is not valid in an event, and the block with that line is not forwarded. Forwarded bytes are not
//! changed.

use crate::net::memory_budget::{BudgetExhausted, MemoryBudget, MemoryReservation};
use crate::net::upstream::event_validator::EventValidator;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;

const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
/// The maximum length of the comments before the first event.
const MAX_COMMENT_BYTES: usize = 8 * 1024;
/// The maximum length of an event.
pub(super) const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Why a stream can't be read further.
#[derive(Debug, thiserror::Error)]
pub enum EventStreamError {
    /// The connection failed, or the body's framing is invalid.
    #[error("failed to read the response body: {0}")]
    Body(#[from] hyper::Error),
    /// A line is not valid in an event.
    #[error("invalid line in the event stream")]
    InvalidLine,
    /// The body ended before the end marker of the stream.
    #[error("the stream ended before its end marker")]
    Truncated,
    /// An event follows the end marker.
    #[error("an event follows the end marker")]
    EventAfterEnd,
    /// There is no memory for a long event, because many streams have one. Not a fault of the worker.
    #[error("no memory for a long event: {0}")]
    MemoryExhausted(#[from] BudgetExhausted),
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[error("event is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// The comments before the first event exceed [`MAX_COMMENT_BYTES`].
    #[error("more than {MAX_COMMENT_BYTES} bytes of comments before the first event")]
    TooManyComments,
}

/// Whether a response body is validated as an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventValidation {
    /// Each line must belong to an event or be a comment.
    Enforced,
    /// The body has another content type and is forwarded as it arrives.
    Skipped,
}

impl EventValidation {
    /// The validation of a body with this content type. A body without a content type is an event stream, as
    /// the request asked for one.
    pub fn for_content_type(content_type: Option<&str>) -> Self {
        let media_type = content_type.and_then(|value| value.split(';').next()).map_or("", str::trim);
        if media_type.is_empty() || media_type.eq_ignore_ascii_case(EVENT_STREAM_MEDIA_TYPE) {
            EventValidation::Enforced
        } else {
            EventValidation::Skipped
        }
    }
}

/// The event stream of one response.
pub struct EventStream {
    body: Incoming,
    validation: EventValidation,
    validator: EventValidator,
}

impl EventStream {
    /// Reads the event stream from a response body. The memory of long events is reserved from `event_memory`.
    pub fn new(body: Incoming, validation: EventValidation, event_memory: Rc<MemoryBudget>) -> Self {
        EventStream { body, validation, validator: EventValidator::new(event_memory) }
    }

    /// Reads up to the end of the first event, and returns it with the comments before it; `None` if the
    /// stream ends without an event. Comments do not count as the start of a response.
    ///
    /// # Errors
    /// The stream is corrupted before its first event.
    pub async fn first_event(&mut self) -> Result<Option<StreamPart>, EventStreamError> {
        let mut comments = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if comments.is_empty() && part.has_event {
                return Ok(Some(part));
            }
            comments.extend_from_slice(&part.bytes);
            if part.has_event {
                return Ok(Some(StreamPart { bytes: comments.freeze(), ..part }));
            }
            if comments.len() > MAX_COMMENT_BYTES {
                return Err(EventStreamError::TooManyComments);
            }
        }
        Ok(None)
    }

    /// Reads the next part, one or more complete events or comments; `None` at the end of the stream, which is
    /// complete if it is validated.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    /// The body could not be read, a line is not valid in an event, an event is too long or follows the end
    /// marker, or the stream ended before its end marker.
    pub async fn next_part(&mut self) -> Result<Option<StreamPart>, EventStreamError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let part = match self.validation {
                EventValidation::Enforced => self.validator.push(data)?,
                EventValidation::Skipped => StreamPart::opaque(data),
            };
            if !part.bytes.is_empty() {
                return Ok(Some(part));
            }
        }
        match self.validation {
            EventValidation::Enforced => {
                let rest = self.validator.finish()?;
                Ok(Some(rest).filter(|rest| !rest.bytes.is_empty()))
            }
            EventValidation::Skipped => Ok(None),
        }
    }

    /// Whether the body is validated as an event stream.
    pub fn is_validated(&self) -> bool {
        self.validation == EventValidation::Enforced
    }
}

/// A part of a stream: one or more blocks of lines, each terminated by a blank line, or the rest of a stream
/// at its end.
#[derive(Debug, Default)]
pub struct StreamPart {
    /// The unchanged bytes from the worker.
    pub bytes: Bytes,
    /// Whether the part contains an event. A block without data, such as one of comments, is not an event.
    pub has_event: bool,
    /// Whether the part contains an event that shows that the worker makes progress.
    pub has_progress: bool,
    /// The number of events with a part of the answer.
    pub output_events: u64,
    /// The memory of `bytes`, if it is reserved.
    pub reservation: Option<MemoryReservation>,
}

impl StreamPart {
    /// A part whose content is not known.
    fn opaque(bytes: Bytes) -> Self {
        StreamPart { bytes, has_event: true, has_progress: true, ..StreamPart::default() }
    }
}

#[cfg(test)]
mod tests;
