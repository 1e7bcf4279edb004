//! Outlier detection: workers that fail are ejected for a time, twice as long after each failed trial.
//!
//! A trial is an attempt sent to a worker whose ejection has ended, but which has not succeeded since: it
//! gets one at a time, unless most of its role looks unhealthy. If it succeeds, the failure rate halves and
//! the worker may be used as before; if it fails, the worker is ejected again.

use super::MAX_BACKOFF_DOUBLINGS;
use crate::interface::{Micros, Settings};

/// A worker is an outlier when its failure rate passes this: most of its recent attempts failed. It is also
/// the weight of a new outcome in the failure rate.
const EJECTION_THRESHOLD: f64 = 0.5;

/// The first ejection lasts this many connection timeouts.
const EJECTION_CONNECT_TIMEOUTS: Micros = 4;

/// The failures of one worker.
#[derive(Default)]
pub(super) struct OutlierDetector {
    failure_rate: f64,
    last_success: Micros,
    ejected_until: Micros,
    ejection_backoff: u32,
    unreachable: bool,
}

impl OutlierDetector {
    /// Records an answer that was good, or began well.
    pub fn record_success(&mut self, now: Micros) {
        self.last_success = now;
        self.unreachable = false;
        self.failure_rate *= EJECTION_THRESHOLD;
        if self.failure_rate < EJECTION_THRESHOLD {
            self.ejection_backoff = 0;
            self.ejected_until = 0;
        }
    }

    /// Records a failed attempt. One that was sent before the present ejection ended says nothing new.
    pub fn record_failure(&mut self, now: Micros, sent_at: Micros, settings: &Settings) {
        self.failure_rate += (1.0 - self.failure_rate) * EJECTION_THRESHOLD;
        if self.is_suspect() && sent_at >= self.ejected_until {
            let interval = settings.connect_timeout.max(settings.event_interval);
            let ejection = (interval * EJECTION_CONNECT_TIMEOUTS) << self.ejection_backoff;
            self.ejected_until = now + ejection;
            self.ejection_backoff = (self.ejection_backoff + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// Records a connection that could not be established. The worker is unreachable when the attempt before
    /// had failed, too: once may be a full table of connections.
    pub fn record_connect_failure(&mut self, now: Micros, sent_at: Micros, settings: &Settings) {
        self.unreachable |= self.failure_rate >= EJECTION_THRESHOLD;
        self.record_failure(now, sent_at, settings);
    }

    /// Whether no connection to it can be established.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether it is ejected, or was and has not succeeded since: it gets one trial at a time.
    pub fn is_suspect(&self) -> bool {
        self.failure_rate > EJECTION_THRESHOLD || self.unreachable
    }

    /// Whether it is ejected now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Whether nothing sent at `sent_at` or later has succeeded.
    pub fn is_silent_since(&self, sent_at: Micros) -> bool {
        self.last_success <= sent_at
    }
}
