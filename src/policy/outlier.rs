//! Outlier detection: failing workers are ejected for a time that doubles after each failed trial.
//!
//! A trial is an attempt sent to a worker whose ejection has ended but which has not succeeded since, as in
//! the half-open state of a circuit breaker. Such a worker gets one trial at a time, unless most workers of
//! its role are unhealthy. A successful trial halves the failure rate and ends the outlier state; a failed
//! one ejects the worker again.

use super::MAX_BACKOFF_DOUBLINGS;
use crate::interface::{Micros, Settings};

/// A worker is an outlier while its failure rate exceeds this, which means that most of its recent attempts
/// have failed. It is also the weight of a new outcome in the failure rate.
const EJECTION_THRESHOLD: f64 = 0.5;

/// Duration of the first ejection, in connection timeouts.
const EJECTION_CONNECT_TIMEOUTS: Micros = 4;

/// Failure rate and ejection state of one worker.
#[derive(Default)]
pub(super) struct OutlierDetector {
    failure_rate: f64,
    last_success: Micros,
    ejected_until: Micros,
    ejection_backoff: u32,
    unreachable: bool,
}

impl OutlierDetector {
    /// Records a successful response, or a response stream that has started.
    pub fn record_success(&mut self, now: Micros) {
        self.last_success = now;
        self.unreachable = false;
        self.failure_rate *= EJECTION_THRESHOLD;
        if self.failure_rate < EJECTION_THRESHOLD {
            self.ejection_backoff = 0;
            self.ejected_until = 0;
        }
    }

    /// Records a failed attempt. The ejection is extended only by attempts sent after the previous one ended:
    /// earlier attempts may have failed for the same cause.
    pub fn record_failure(&mut self, now: Micros, sent_at: Micros, settings: &Settings) {
        self.failure_rate += (1.0 - self.failure_rate) * EJECTION_THRESHOLD;
        if self.is_suspect() && sent_at >= self.ejected_until {
            let interval = settings.connect_timeout.max(settings.event_interval);
            let ejection = (interval * EJECTION_CONNECT_TIMEOUTS) << self.ejection_backoff;
            self.ejected_until = now + ejection;
            self.ejection_backoff = (self.ejection_backoff + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// Records a failure to connect. The worker becomes unreachable only if the preceding attempt had failed
    /// as well: a single failure to connect may be caused by a full connection table.
    pub fn record_connect_failure(&mut self, now: Micros, sent_at: Micros, settings: &Settings) {
        self.unreachable |= self.failure_rate >= EJECTION_THRESHOLD;
        self.record_failure(now, sent_at, settings);
    }

    /// Whether connections to the worker can't be established.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether the worker is ejected, or was ejected and has not succeeded since. Such a worker gets one
    /// trial at a time.
    pub fn is_suspect(&self) -> bool {
        self.failure_rate > EJECTION_THRESHOLD || self.unreachable
    }

    /// Whether the worker is ejected now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Whether no success was recorded after `sent_at`.
    pub fn has_no_success_since(&self, sent_at: Micros) -> bool {
        self.last_success <= sent_at
    }
}
