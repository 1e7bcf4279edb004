//! The progress of a worker's response stream, and the limits without which a stream may never end.
//!
//! Only output of the model is progress. A worker that hangs may still send comments, blank lines or events
//! without output, at any speed.

use crate::net::upstream::event_stream::{MAX_EVENT_BYTES, StreamPart};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum time between two events with output, after which a stream counts as broken even if its
/// connection is open: a host that has failed sends no reset. It is shorter than the 5 s after which clients
/// give up.
pub(super) const OUTPUT_TIMEOUT: Duration = Duration::from_millis(4500);
/// The time for which a stream is read after its client has held it up, before the worker counts as silent:
/// what the worker sent meanwhile has not been read.
const RESUME_GRACE: Duration = Duration::from_millis(500);
/// The maximum number of bytes between two events with output: as many as an event may have.
const MAX_BYTES_WITHOUT_OUTPUT: usize = MAX_EVENT_BYTES;
/// The number of events with output that an answer may have for each of the tokens that were asked for.
const EVENTS_PER_TOKEN: u64 = 2;
/// The number of further events, such as those that begin and finish an answer.
const EXTRA_EVENTS: u64 = 64;

/// Why a stream is given up as endless.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub(super) enum EndlessStream {
    /// More than [`MAX_BYTES_WITHOUT_OUTPUT`] arrived without an event with output.
    #[error("no output in {MAX_BYTES_WITHOUT_OUTPUT} bytes")]
    NoOutput,
    /// The answer has more events than tokens were asked for.
    #[error("more than {0} events with output")]
    TooManyEvents(u64),
}

/// What a stream has brought so far.
pub(super) struct StreamProgress {
    /// The maximum number of events with output.
    max_events: u64,
    /// The number of events with output so far.
    events: u64,
    last_output_at: Instant,
    /// The number of bytes that were received since then.
    bytes_since_output: usize,
    /// When the client last took a part that it had held up.
    resumed_at: Option<Instant>,
}

impl StreamProgress {
    /// The progress of a stream that begins now. The number of its events is limited if `max_output_tokens` is
    /// known.
    pub fn new(max_output_tokens: Option<u64>) -> Self {
        let max_events = |tokens: u64| tokens.saturating_mul(EVENTS_PER_TOKEN).saturating_add(EXTRA_EVENTS);
        StreamProgress {
            max_events: max_output_tokens.map_or(u64::MAX, max_events),
            events: 0,
            last_output_at: Instant::now(),
            bytes_since_output: 0,
            resumed_at: None,
        }
    }

    /// Records a part that was received.
    ///
    /// # Errors
    /// The stream exceeds a limit that every answer keeps.
    pub fn record(&mut self, part: &StreamPart) -> Result<(), EndlessStream> {
        self.events += part.output_events;
        if part.has_progress {
            self.restart();
        } else {
            self.bytes_since_output += part.bytes.len();
        }
        if self.events > self.max_events {
            return Err(EndlessStream::TooManyEvents(self.max_events));
        }
        if self.bytes_since_output > MAX_BYTES_WITHOUT_OUTPUT {
            return Err(EndlessStream::NoOutput);
        }
        Ok(())
    }

    /// Restarts the timeout, because the worker has waited for the router.
    pub fn restart(&mut self) {
        self.last_output_at = Instant::now();
        self.bytes_since_output = 0;
    }

    /// Records that the client has taken a part that it had held up, while the worker was not read.
    pub fn record_resumption(&mut self) {
        self.resumed_at = Some(Instant::now());
    }

    /// When the stream counts as broken if no more output arrives.
    pub fn deadline(&self) -> Instant {
        let deadline = self.last_output_at + OUTPUT_TIMEOUT;
        self.resumed_at.map_or(deadline, |resumed_at| deadline.max(resumed_at + RESUME_GRACE))
    }
}

/// For the log.
impl fmt::Display for StreamProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StreamProgress { events, last_output_at, bytes_since_output, .. } = self;
        let elapsed = last_output_at.elapsed().as_millis();
        write!(f, "{events} events with output, the last {elapsed} ms ago, {bytes_since_output} bytes since")
    }
}

#[cfg(test)]
mod tests;
