//! When to watch discovery again after it was unavailable.

use super::MAX_BACKOFF_DOUBLINGS;
use crate::interface::{Micros, Settings};

/// The backoff of the watch for updates of the endpoint list.
#[derive(Default)]
pub(super) struct DiscoveryWatch {
    failures: u32,
    retry_at: Option<Micros>,
}

impl DiscoveryWatch {
    /// Records that discovery could not be reached.
    pub fn record_failure(&mut self, now: Micros, settings: &Settings) {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let retry_at = now + (settings.connect_timeout << self.failures);
        self.retry_at = settings.watch_required.then_some(retry_at);
    }

    /// Records an update from discovery.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether a retry is planned.
    pub fn is_retry_planned(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Takes the planned retry if it is due; `None` when it is not.
    pub fn take_due_retry(&mut self, now: Micros) -> Option<Micros> {
        self.retry_at.take_if(|at| *at <= now)
    }
}
