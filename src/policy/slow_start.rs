//! Slow start: workers that have just started are sent no more than a growing part of their capacity.
//!
//! Each worker that warms up has a token bucket in each router. A router may send it an attempt while the
//! bucket holds a whole permit, and each attempt takes one.
//! The units are called permits here, since tokens are the model's everywhere else.

use super::membership::{Membership, ROLE_COUNT};
use super::slow_start_bucket::BUDGET_PER_REFILL_RATIO;
use super::statistics::LOAD_HALF_LIFE;
use super::worker::WorkerActivity;
use crate::interface::{Micros, Settings};

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
        if !membership.has_slow_starts(now) {
            return;
        }
        let middle = refilled_at + (now - refilled_at.min(now)) / 2;
        let warm = warm_throughput(membership, settings, now, middle);
        let peak_ready = membership.peak_ready();
        let replicas = f64::from(settings.replica_count.max(1));
        let least_rate = 1.0 / (settings.overload_window.max(1) as f64 * replicas);
        for worker in membership.slow_starting_mut(settings, now) {
            let role = worker.role as usize;
            let promised = promised_rate / peak_ready[role].max(1) as f64;
            let warm_rate = warm[role].rate_of(worker.weight).max(promised);
            let slow_start = &mut worker.activity_mut().slow_start;
            let warm_fraction = slow_start.warm_fraction(settings, now);
            let rate = warm_rate * settings.overload_multiple * warm_fraction / BUDGET_PER_REFILL_RATIO;
            slow_start.refill(rate.max(least_rate), refilled_at, settings, now);
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
    for worker in membership.iter() {
        let is_warming_up = |activity: &WorkerActivity| activity.slow_start.is_active(settings, now);
        if worker.is_ready() && !worker.activity().is_some_and(is_warming_up) {
            let throughput = &mut warm[worker.role as usize];
            throughput.completions += worker.history().completions.value_at(measured_at);
            throughput.weight += worker.weight;
        }
    }
    warm
}
