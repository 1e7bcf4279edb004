//! The KV cache that a prefill worker holds for a request, and the time limit for its release.
//!
//! A cache may be held only for a limited time while no attempt is in flight. An attempt on a stalled
//! connection has not reached its worker and does not count as in flight, but the router cannot distinguish
//! it from an attempt that waits in a decode worker's queue. The cache is therefore released at its hold
//! limit even while an attempt awaits its response: workers keep a released cache for an attempt that has
//! already arrived.

use crate::interface::{Micros, Outcome, WorkerId};

/// Extension of the hold limit while an attempt awaits its response, so that the response can arrive or
/// another attempt can replace this one. It is half of the tolerance that the protocol grants beyond the
/// configured limit; the other half is for the release to arrive.
const PENDING_RESPONSE_ALLOWANCE: Micros = 150_000;

/// The state of a request's KV cache at a prefill worker, derived from the outcomes of attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldCache {
    /// The last time at which an attempt is known to have been in flight; `None` while no cache is held.
    idle_since: Option<Micros>,
    /// The worker that holds the cache, or the last one that held it.
    holder: Option<WorkerId>,
    /// Whether the cache was released at its hold limit. An attempt that arrived earlier may still fetch it.
    is_released: bool,
    /// Whether an attempt was sent whose end has not been recorded.
    awaits_response: bool,
}

impl HeldCache {
    pub fn attempt_sent(&mut self) {
        self.awaits_response = true;
    }

    pub fn attempt_ended(&mut self, worker: &WorkerId, outcome: Outcome, now: Micros) {
        self.awaits_response = false;
        match outcome {
            Outcome::PrefillCompleted => {
                let (idle_since, holder) = (Some(now), Some(worker.clone()));
                *self = HeldCache { idle_since, holder, ..HeldCache::default() };
            }
            Outcome::Completed | Outcome::CacheMissing => self.clear(),
            // The worker has responded, so the attempt was in flight until now.
            Outcome::Rejected | Outcome::WorkerError => self.restart_hold_limit(now),
            // After a release, the cache still exists only if the attempt had arrived before the release.
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled if self.is_released => {
                self.restart_hold_limit(now)
            }
            // The attempt may not have reached its worker, so it may not have been in flight.
            Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Cancelled
            | Outcome::ConnectFailed
            | Outcome::NotSent => {}
        }
    }

    fn restart_hold_limit(&mut self, now: Micros) {
        self.idle_since = self.idle_since.map(|_| now);
        self.is_released = false;
    }

    /// Records that the cache was fetched by a decode worker, or that its release was sent.
    pub fn clear(&mut self) {
        self.idle_since = None;
        self.is_released = false;
    }

    /// Records that the cache was released at its hold limit.
    pub fn mark_released(&mut self) {
        self.is_released = true;
    }

    /// Whether a cache is held that has not been released.
    pub fn is_held(&self) -> bool {
        self.idle_since.is_some() && !self.is_released
    }

    /// The worker that holds the cache, or the last one that held it.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// The time at which the cache has to be released, given its current state; `None` if none is held.
    pub fn release_due(&self, hold_limit: Micros) -> Option<Micros> {
        let idle_since = self.idle_since.filter(|_| !self.is_released)?;
        let allowance = if self.awaits_response { PENDING_RESPONSE_ALLOWANCE } else { 0 };
        Some(idle_since.saturating_add(hold_limit).saturating_add(allowance))
    }
}
