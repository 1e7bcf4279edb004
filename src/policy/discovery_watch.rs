//! The backoff for renewing the discovery watch.

use super::MAX_BACKOFF_DOUBLINGS;
use crate::interface::{Micros, Settings};

/// Schedules retries of the watch for endpoint list updates, with exponential backoff.
#[derive(Default)]
pub(super) struct DiscoveryWatch {
    failures: u32,
    retry_at: Option<Micros>,
}

impl DiscoveryWatch {
    /// Records that discovery was unavailable, and plans a retry if a watch is required.
    pub fn record_failure(&mut self, now: Micros, settings: &Settings) {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let retry_at = now + (settings.connect_timeout << self.failures);
        self.retry_at = settings.watch_required.then_some(retry_at);
    }

    /// Records an update from discovery, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether a retry is planned.
    pub fn is_retry_planned(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Removes and returns the planned retry if it is due; `None` if it is not.
    pub fn take_due_retry(&mut self, now: Micros) -> Option<Micros> {
        self.retry_at.take_if(|at| *at <= now)
    }
}
