//! How long pipelined requests wait for the request before them.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// When pipelined requests began to wait for the request before them.
#[derive(Default)]
pub struct PipelineWait {
    /// When bytes of the next request were first detected after the active one.
    next_since: Cell<Option<Instant>>,
    /// When bytes of the active request, which was read last, were first detected after the one before it.
    active_since: Cell<Option<Instant>>,
}

impl PipelineWait {
    /// Records that bytes of the next request wait behind the active one.
    pub fn record_next_request(&self) {
        if self.next_since.get().is_none() {
            self.next_since.set(Some(Instant::now()));
        }
    }

    /// Makes the next request the active one when its first bytes are read.
    pub fn begin_request(&self) {
        self.active_since.set(self.next_since.take());
    }

    /// The time since the active request was first detected while it waited; zero if it did not wait.
    pub fn elapsed(&self) -> Duration {
        self.active_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }
}
