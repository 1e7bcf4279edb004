//! The KV cache that a prefill worker holds for a request, and when it has to be released.
//!
//! A cache may be held only for a limited time while no attempt is in flight. An attempt whose connection has
//! fallen silent reaches no worker and therefore does not count as in flight, but nothing distinguishes it
//! from an attempt that waits in a decode worker's queue. The cache is therefore also released at its limit
//! while an attempt is unanswered: workers keep a released cache for an attempt that has already arrived.

use crate::interface::{Micros, Outcome, WorkerId};

/// How much later the release is due while an attempt is unanswered: time for the attempt to be answered, or
/// to be given up for another one. This is half of the tolerance that the protocol grants beyond the
/// configured limit; the other half is for the release to arrive.
const UNANSWERED_ATTEMPT_ALLOWANCE: Micros = 150_000;

/// A request's KV cache at a prefill worker, as far as the outcomes of attempts tell.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldCache {
    /// Since when the cache has been idle: no attempt is known to have been in flight. `None` while nothing is held.
    idle_since: Option<Micros>,
    /// The worker that holds the cache, or held it last.
    holder: Option<WorkerId>,
    /// Whether the cache was released at its hold limit. An attempt that had arrived before that may still fetch it.
    is_released: bool,
    /// Whether an attempt has been sent and has not ended.
    is_attempt_unanswered: bool,
}

impl HeldCache {
    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self) {
        self.is_attempt_unanswered = true;
    }

    /// Records the end of an attempt at a worker.
    pub fn attempt_ended(&mut self, worker: &WorkerId, outcome: Outcome, now: Micros) {
        self.is_attempt_unanswered = false;
        match outcome {
            Outcome::PrefillCompleted => {
                let (idle_since, holder) = (Some(now), Some(worker.clone()));
                *self = HeldCache { idle_since, holder, ..HeldCache::default() };
            }
            Outcome::Completed | Outcome::CacheMissing => self.clear(),
            // The attempt had arrived, so it was in flight until now.
            Outcome::Rejected | Outcome::WorkerError => self.restart_limit(now),
            // After a release, a cache remains only if the attempt had arrived before it.
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled if self.is_released => {
                self.restart_limit(now)
            }
            // An attempt that may not have reached its worker does not prove that it was in flight.
            Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Cancelled
            | Outcome::ConnectFailed
            | Outcome::NotSent => {}
        }
    }

    fn restart_limit(&mut self, now: Micros) {
        self.idle_since = self.idle_since.map(|_| now);
        self.is_released = false;
    }

    /// Records that the cache was fetched, or that its release has been sent.
    pub fn clear(&mut self) {
        self.idle_since = None;
        self.is_released = false;
    }

    /// Records that the cache was released at its hold limit.
    pub fn released_at_hold_limit(&mut self) {
        self.is_released = true;
    }

    /// Whether a cache is held that has not been released.
    pub fn is_held(&self) -> bool {
        self.idle_since.is_some() && !self.is_released
    }

    /// The worker that holds the cache, or held it last.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// When the cache has to be released unless something changes; `None` if nothing is held.
    pub fn release_due(&self, hold_limit: Micros) -> Option<Micros> {
        let since = self.idle_since.filter(|_| !self.is_released)?;
        let allowance = if self.is_attempt_unanswered { UNANSWERED_ATTEMPT_ALLOWANCE } else { 0 };
        Some(since.saturating_add(hold_limit).saturating_add(allowance))
    }
}
