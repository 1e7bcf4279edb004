//! Slow start: workers that have just started are sent no more than a growing part of their capacity.
//!
//! Each worker that warms up has a token bucket. It may be sent work while the bucket holds a token, and each
//! attempt takes one.

use super::membership::{Membership, ROLE_COUNT};
use super::statistics::LOAD_HALF_LIFE;
use crate::interface::{Micros, Settings, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The budget of a window over what refills the buckets of all routers in it: half of the budget is left for
/// chance.
const BUDGET_OVER_REFILL: f64 = 2.0;

/// Standard deviations (square roots of the budget) by which chance may take a window over what refills the
/// buckets. By the rule of overloads it is 2 over the whole budget, hence twice as many over half of it.
const BURST_STANDARD_DEVIATIONS: f64 = 4.0;

/// A worker is taken to have at least this part of its capacity, whatever the settings say.
const LEAST_WARM_FRACTION: f64 = 0.05;

/// The slow start of one worker process, as a token bucket of this router.
#[derive(Default)]
pub(super) struct SlowStartBucket {
    started_at: Option<Micros>,
    listed_at: Micros,
    tokens: f64,
}

impl SlowStartBucket {
    /// The bucket of a process that is listed for the first time.
    ///
    /// The least budget rotates among the routers, one after another from the worker's start on: a router
    /// that restarts does not get a second token, and routers that see the worker at once do not send
    /// together.
    pub fn new(worker: &WorkerId, started_at: Option<Micros>, settings: &Settings, now: Micros) -> Self {
        let replicas = u64::from(settings.replica_count.max(1));
        let start = started_at.unwrap_or_default();
        let first_replica = xxh3_64_with_seed(worker.0.as_bytes(), start) % replicas;
        let slot = (first_replica + u64::from(settings.replica_index)) % replicas;
        let windows_since_start = now.saturating_sub(start) as f64 / settings.overload_window.max(1) as f64;
        let tokens = ((slot as f64 + 0.5 + windows_since_start) / replicas as f64).fract();
        SlowStartBucket { started_at, listed_at: now, tokens }
    }

    /// When the process started, as listed.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// Whether the worker is still warming up.
    pub fn is_active(&self, settings: &Settings, now: Micros) -> bool {
        self.started_at.is_some_and(|start| now < start.saturating_add(settings.slow_start_duration))
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
        !self.is_active(settings, now) || self.tokens >= 1.0
    }

    /// Takes the token of an attempt that has been sent.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Refills the bucket at this many tokens a microsecond for the time since `refilled_at`. What is saved
    /// up and spent in one window comes to the whole budget and its allowance for chance. Where that is less
    /// than a token, one that is not spent lapses: dozens of routers that saved theirs up would spend them in
    /// one burst.
    fn refill(&mut self, rate: f64, refilled_at: Micros, settings: &Settings, now: Micros) {
        let time = now - refilled_at.max(self.listed_at).min(now);
        let per_window = rate * settings.overload_window as f64;
        let budget = BUDGET_OVER_REFILL * per_window * f64::from(settings.replica_count.max(1));
        let capacity = per_window * (1.0 + BURST_STANDARD_DEVIATIONS / budget.sqrt());
        let tokens = self.tokens + rate * time as f64;
        self.tokens = if capacity < 1.0 {
            if tokens >= 1.0 + capacity { tokens.fract() } else { tokens }
        } else {
            tokens.min(1.0)
        };
    }
}

/// What the warm workers of a role were seen to complete, and their capacity.
#[derive(Clone, Copy, Default)]
struct WarmThroughput {
    completions: f64,
    weight: f64,
}

impl WarmThroughput {
    /// Requests a microsecond that a warm worker of this weight completes.
    fn rate_of(&self, weight: f64) -> f64 {
        self.completions / f64::max(self.weight, 1e-9) * weight * std::f64::consts::LN_2
            / LOAD_HALF_LIFE as f64
    }
}

/// Refills the slow-start buckets of all workers.
#[derive(Default)]
pub(super) struct SlowStart {
    refilled_at: Micros,
}

impl SlowStart {
    /// Refills all buckets up to now: by this router's part of half the overload multiple (the other half is
    /// for chance) of what each worker can do by now.
    ///
    /// What a warm worker can do is what its peers were seen to complete, never what they were sent, since in
    /// a storm of retries most of that is rejected; or its part of `promised_rate`, the sum of this router's
    /// tenant quotas. Routers that see nothing take turns. Guards against restarts under any load and with
    /// any number of routers; it is overly careful when warm workers are idle.
    pub fn refill(
        &mut self,
        now: Micros,
        settings: &Settings,
        promised_rate: f64,
        membership: &mut Membership,
    ) {
        let refilled_at = std::mem::replace(&mut self.refilled_at, now);
        if !membership.iter().any(|(_, worker)| worker.slow_start.is_active(settings, now)) {
            return;
        }
        let middle = refilled_at + (now - refilled_at.min(now)) / 2;
        let warm = warm_throughput(membership, settings, now, middle);
        let peak_ready = membership.peak_ready();
        let replicas = f64::from(settings.replica_count.max(1));
        let least_rate = 1.0 / (settings.overload_window.max(1) as f64 * replicas);
        for (_, worker) in membership.iter_mut() {
            if !worker.slow_start.is_active(settings, now) {
                continue;
            }
            let role = worker.role as usize;
            let promised = promised_rate / peak_ready[role].max(1) as f64;
            let warm_rate = warm[role].rate_of(worker.weight).max(promised);
            let warm_fraction = worker.slow_start.warm_fraction(settings, now);
            let rate = warm_rate * settings.overload_multiple * warm_fraction / BUDGET_OVER_REFILL;
            worker.slow_start.refill(rate.max(least_rate), refilled_at, settings, now);
        }
    }
}

/// What the warm workers of each role complete.
fn warm_throughput(
    membership: &Membership,
    settings: &Settings,
    now: Micros,
    measured_at: Micros,
) -> [WarmThroughput; ROLE_COUNT] {
    let mut warm = [WarmThroughput::default(); ROLE_COUNT];
    for (_, worker) in membership.iter() {
        if worker.is_ready() && !worker.slow_start.is_active(settings, now) {
            let throughput = &mut warm[worker.role as usize];
            throughput.completions += worker.completions.value_at(measured_at);
            throughput.weight += worker.weight;
        }
    }
    warm
}
