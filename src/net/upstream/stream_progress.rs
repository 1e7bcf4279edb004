//! The progress of a worker's response stream.
//!
//! Only output of the model is progress. A worker that hangs may still send comments, blank lines or events
//! without output.

use crate::net::upstream::event_stream::StreamPart;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum time between two events with output, after which a stream counts as broken even if its
/// connection is open: a host that has failed sends no reset. It is shorter than the 5 s after which clients
/// give up.
pub(super) const OUTPUT_TIMEOUT: Duration = Duration::from_millis(4500);

/// What a stream has brought so far.
pub(super) struct StreamProgress {
    /// The number of events with output so far.
    events: u64,
    /// When the current [`OUTPUT_TIMEOUT`] began: at the last output. Time in which the relay waited for a
    /// slow client, or the worker for a reply, does not count and moves it on.
    last_output_at: Instant,
    /// The number of bytes that were received since the last output.
    bytes_since_output: usize,
}

impl StreamProgress {
    /// The progress of a stream that begins now.
    pub fn new() -> Self {
        StreamProgress { events: 0, last_output_at: Instant::now(), bytes_since_output: 0 }
    }

    /// Records a part that was received.
    pub fn record(&mut self, part: &StreamPart) {
        self.events += part.output_events;
        if part.has_progress {
            self.restart();
        } else {
            self.bytes_since_output += part.bytes.len();
        }
    }

    /// Restarts the timeout, because the worker has waited for the router.
    pub fn restart(&mut self) {
        self.last_output_at = Instant::now();
        self.bytes_since_output = 0;
    }

    /// Extends the timeout by time in which the worker was not read because the client held up the stream.
    pub fn extend(&mut self, duration: Duration) {
        self.last_output_at += duration;
    }

    /// When the stream counts as broken if no more output arrives.
    pub fn deadline(&self) -> Instant {
        self.last_output_at + OUTPUT_TIMEOUT
    }
}

/// For the log.
impl fmt::Display for StreamProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StreamProgress { events, last_output_at, bytes_since_output } = self;
        let elapsed = last_output_at.elapsed().as_millis();
        write!(f, "{events} events with output, the last {elapsed} ms ago, {bytes_since_output} bytes since")
    }
}
