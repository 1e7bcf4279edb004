//! The token bucket of one worker that warms up.

use crate::interface::{Micros, Settings, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The budget of a window over what refills the buckets of all routers in it: half of the budget is left for
/// chance. With N for the budget, the attempts that all routers together may send to a worker in one overload
/// window, each router refills its bucket by `N / (BUDGET_PER_REFILL_RATIO * replica_count)` in a window.
pub(super) const BUDGET_PER_REFILL_RATIO: f64 = 2.0;

/// How far chance may take a window over what refills the buckets, in square roots of the budget.
///
/// A worker is overloaded by more than `N + 2 * sqrt(N) + 2` attempts in an overload window. N is
/// `overload_multiple` times what it can complete in that window at its present capacity, and 2 at the least.
/// The buckets of all routers refill by `N / 2` in a window, so the permits saved up before it may come to
/// `N / 2 + 2 * sqrt(N)`, which is `N / 2 * (1 + 4 / sqrt(N))`. They make no use of the last 2 attempts.
const BURST_STANDARD_DEVIATIONS: f64 = 4.0;

/// A worker is taken to have at least this part of its capacity, whatever the settings say.
const LEAST_WARM_FRACTION: f64 = 0.05;

/// The slow start of one worker process, as a token bucket of this router.
#[derive(Default)]
pub(super) struct SlowStartBucket {
    started_at: Option<Micros>,
    listed_at: Micros,
    permits: f64,
}

impl SlowStartBucket {
    /// The bucket of a process that is listed for the first time.
    ///
    /// The least budget rotates among the routers, one after another from the worker's start on: a router
    /// that restarts does not get a second permit, and routers that see the worker at once do not send
    /// together.
    pub fn new(worker: &WorkerId, started_at: Option<Micros>, settings: &Settings, now: Micros) -> Self {
        let replicas = u64::from(settings.replica_count.max(1));
        let start = started_at.unwrap_or_default();
        let first_replica = xxh3_64_with_seed(worker.0.as_bytes(), start) % replicas;
        let slot = (first_replica + u64::from(settings.replica_index)) % replicas;
        let windows_since_start = now.saturating_sub(start) as f64 / settings.overload_window.max(1) as f64;
        let permits = ((slot as f64 + 0.5 + windows_since_start) / replicas as f64).fract();
        SlowStartBucket { started_at, listed_at: now, permits }
    }

    /// When the process started, as listed.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// When the worker has warmed up; 0 if it started long ago.
    pub fn ends_at(&self, settings: &Settings) -> Micros {
        self.started_at.map_or(0, |start| start.saturating_add(settings.slow_start_duration))
    }

    /// Whether the worker is still warming up.
    pub fn is_active(&self, settings: &Settings, now: Micros) -> bool {
        now < self.ends_at(settings)
    }

    /// The part of its capacity that the worker has at least: it is taken to grow evenly.
    pub fn warm_fraction(&self, settings: &Settings, now: Micros) -> f64 {
        let age = self.started_at.map_or(f64::MAX, |start| now.saturating_sub(start) as f64);
        let elapsed = (age / settings.slow_start_duration.max(1) as f64).min(1.0);
        let floor = settings.slow_start_floor;
        (floor + (1.0 - floor) * elapsed).max(LEAST_WARM_FRACTION)
    }

    /// Whether slow start lets this router send the worker an attempt now.
    pub fn allows_attempt(&self, settings: &Settings, now: Micros) -> bool {
        !self.is_active(settings, now) || self.permits >= 1.0
    }

    /// Takes the permit of an attempt that has been sent.
    pub fn spend(&mut self) {
        self.permits -= 1.0;
    }

    /// Refills the bucket at this many permits a microsecond for the time since `refilled_at`.
    ///
    /// The bucket holds at most one whole permit. What all routers have saved up and then earn in one window
    /// comes to the budget and its allowance for chance. Where this router's part of what may be
    /// saved up (`per_window_with_allowance`) is less than a permit, the permit lapses when as much again has
    /// been earned without spending it: dozens of routers that saved theirs up would spend them in one burst.
    pub fn refill(&mut self, rate: f64, refilled_at: Micros, settings: &Settings, now: Micros) {
        let time = now - refilled_at.max(self.listed_at).min(now);
        let per_window = rate * settings.overload_window as f64;
        let budget = BUDGET_PER_REFILL_RATIO * per_window * f64::from(settings.replica_count.max(1));
        let per_window_with_allowance = per_window * (1.0 + BURST_STANDARD_DEVIATIONS / budget.sqrt());
        let permits = self.permits + rate * time as f64;
        self.permits = if per_window_with_allowance < 1.0 {
            if permits >= 1.0 + per_window_with_allowance { permits.fract() } else { permits }
        } else {
            permits.min(1.0)
        };
    }
}
