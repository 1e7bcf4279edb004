//! Token bucket for one worker in slow start.

use crate::interface::{Micros, Settings, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ratio of the budget N of a worker to the permits that refill the buckets of all routers in one overload
/// window. Half of the budget is reserved for random variation.
///
/// N is the number of attempts that all routers together may send to the worker in one overload window. Each
/// router adds `N / (BUDGET_TO_REFILL_RATIO * replica_count)` permits per window to its bucket.
pub(super) const BUDGET_TO_REFILL_RATIO: f64 = 2.0;

/// Allowance for random variation above the permits that refill the buckets in one window, in units of
/// `sqrt(N) / 2`, with N as for [`BUDGET_TO_REFILL_RATIO`].
///
/// A worker is overloaded by more than `N + 2 * sqrt(N) + 2` attempts in an overload window. N is
/// `overload_multiple` times the number of requests that the worker can complete in that window at its
/// present capacity, and at least 2.
///
/// The buckets of all routers receive `N / 2` permits per window, so the permits accumulated before the
/// window may add up to `N / 2 + 2 * sqrt(N)`, which equals `N / 2 * (1 + 4 / sqrt(N))`. The last 2 attempts
/// of the limit remain unused.
const VARIATION_ALLOWANCE: f64 = 4.0;

/// Lower bound of the warm fraction, for any settings.
const MIN_WARM_FRACTION: f64 = 0.05;

/// This router's token bucket for the slow start of one worker process.
#[derive(Default)]
pub(super) struct SlowStartBucket {
    started_at: Option<Micros>,
    listed_at: Micros,
    permits: f64,
}

impl SlowStartBucket {
    /// Creates the bucket of a process that is listed for the first time.
    ///
    /// The initial level depends on the replica index, the start of the worker and the time since then, so
    /// that at the minimum rate the routers obtain a permit one after another. A router that restarts does
    /// not obtain a second permit, and routers that are notified of the worker at the same time do not all
    /// send to it.
    pub fn new(worker: &WorkerId, started_at: Option<Micros>, settings: &Settings, now: Micros) -> Self {
        let replicas = u64::from(settings.replica_count.max(1));
        let start = started_at.unwrap_or_default();
        let first_replica = xxh3_64_with_seed(worker.0.as_bytes(), start) % replicas;
        let position = (first_replica + u64::from(settings.replica_index)) % replicas;
        let windows_since_start = now.saturating_sub(start) as f64 / settings.overload_window.max(1) as f64;
        let permits = ((position as f64 + 0.5 + windows_since_start) / replicas as f64).fract();
        SlowStartBucket { started_at, listed_at: now, permits }
    }

    /// The start time of the process, from the endpoint list.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// The end of the slow start; 0 if the worker started long ago.
    pub fn ends_at(&self, settings: &Settings) -> Micros {
        self.started_at.map_or(0, |start| start.saturating_add(settings.slow_start_duration))
    }

    /// Whether the worker is in slow start.
    pub fn is_active(&self, settings: &Settings, now: Micros) -> bool {
        now < self.ends_at(settings)
    }

    /// The fraction of its full capacity that the worker is assumed to have. It grows linearly over the slow
    /// start.
    pub fn warm_fraction(&self, settings: &Settings, now: Micros) -> f64 {
        let age = self.started_at.map_or(f64::MAX, |start| now.saturating_sub(start) as f64);
        let progress = (age / settings.slow_start_duration.max(1) as f64).min(1.0);
        let floor = settings.slow_start_floor;
        (floor + (1.0 - floor) * progress).max(MIN_WARM_FRACTION)
    }

    /// Whether slow start permits this router to send an attempt to the worker now.
    pub fn allows_attempt(&self, settings: &Settings, now: Micros) -> bool {
        !self.is_active(settings, now) || self.permits >= 1.0
    }

    /// Takes one permit for an attempt that has been sent.
    pub fn take_permit(&mut self) {
        self.permits -= 1.0;
    }

    /// Refills the bucket for the time since `last_refill`, at a rate in permits per microsecond.
    ///
    /// The bucket holds at most one whole permit. The permits that all routers accumulate before a window and
    /// add during it do not exceed the budget plus the allowance for random variation.
    ///
    /// `accumulation_limit` is this router's share of the permits that may accumulate. If it is less than one
    /// permit, an unused permit expires after the same amount has been added once more. Without this expiry,
    /// dozens of routers could accumulate a permit each and use them in one burst.
    pub fn refill(&mut self, rate: f64, last_refill: Micros, settings: &Settings, now: Micros) {
        let elapsed = now - last_refill.max(self.listed_at).min(now);
        let per_window = rate * settings.overload_window as f64;
        let budget = BUDGET_TO_REFILL_RATIO * per_window * f64::from(settings.replica_count.max(1));
        let accumulation_limit = per_window * (1.0 + VARIATION_ALLOWANCE / budget.sqrt());
        let permits = self.permits + rate * elapsed as f64;
        self.permits = if accumulation_limit < 1.0 {
            if permits >= 1.0 + accumulation_limit { permits.fract() } else { permits }
        } else {
            permits.min(1.0)
        };
    }
}
