//! The progress of a worker's response stream.

use crate::net::upstream::event_stream::StreamPart;
use std::fmt;
use tokio::time::Instant;

/// What a stream has brought so far.
pub(super) struct StreamProgress {
    /// The number of parts that contained events.
    parts: u64,
    last_event_at: Instant,
    /// The number of bytes that were received since then.
    bytes_since_event: usize,
}

impl StreamProgress {
    /// The progress of a stream that begins now.
    pub fn new() -> Self {
        StreamProgress { parts: 0, last_event_at: Instant::now(), bytes_since_event: 0 }
    }

    /// Records a part that was received.
    pub fn record(&mut self, part: &StreamPart) {
        if part.has_event {
            self.parts += 1;
            self.last_event_at = Instant::now();
            self.bytes_since_event = 0;
        } else {
            self.bytes_since_event += part.bytes.len();
        }
    }
}

/// For the log.
impl fmt::Display for StreamProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StreamProgress { parts, last_event_at, bytes_since_event } = self;
        let elapsed = last_event_at.elapsed().as_millis();
        write!(f, "{parts} parts with events, the last {elapsed} ms ago, {bytes_since_event} bytes since")
    }
}
