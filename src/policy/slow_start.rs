//! Slow start: limits the attempts sent to recently started workers to a growing fraction of their capacity.
//!
//! Each router has a token bucket for each worker in slow start. It may send an attempt to the worker while
//! the bucket holds a whole permit, and each attempt takes one permit. The units of the bucket are called
//! permits, because a token is a unit of prompt or response text everywhere else.

use super::membership::{Membership, ROLE_COUNT};
use super::slow_start_bucket::BUDGET_TO_REFILL_RATIO;
use super::statistics::LOAD_HALF_LIFE;
use super::worker::WorkerActivity;
use crate::interface::{Micros, Settings};

/// Requests completed by the warm workers of a role, and the capacity of these workers.
#[derive(Clone, Copy, Default)]
struct WarmThroughput {
    completions: f64,
    weight: f64,
}

impl WarmThroughput {
    /// The completion rate of a warm worker with this weight, in requests per microsecond.
    fn completion_rate(&self, weight: f64) -> f64 {
        self.completions / f64::max(self.weight, 1e-9) * weight * std::f64::consts::LN_2
            / LOAD_HALF_LIFE as f64
    }
}

/// Refills the token buckets of all workers in slow start.
#[derive(Default)]
pub(super) struct SlowStart {
    last_refill: Micros,
}

impl SlowStart {
    /// Refills all buckets for the time since the previous call.
    ///
    /// The rate is this router's share of the worker's present capacity, times half of the overload multiple.
    /// The other half is reserved for random variation between routers.
    ///
    /// The share is estimated from the completions that this router observed at warm workers of the same
    /// role, or from their share of `quota_rate`, the sum of this router's tenant quotas, if that is higher.
    /// Sent attempts are not counted, because most of them are rejected in a retry storm. Without either
    /// source, a minimum rate applies, at which the routers send one after another.
    ///
    /// This limits the load of a restarted worker at any request rate and any number of routers. The limit is
    /// lower than necessary while warm workers are idle.
    pub fn refill(&mut self, now: Micros, settings: &Settings, quota_rate: f64, membership: &mut Membership) {
        let last_refill = std::mem::replace(&mut self.last_refill, now);
        if !membership.has_slow_starts(now) {
            return;
        }
        let midpoint = last_refill + (now - last_refill.min(now)) / 2;
        let warm = warm_throughput(membership, settings, now, midpoint);
        let peak_ready = membership.peak_ready();
        let replicas = f64::from(settings.replica_count.max(1));
        let min_rate = 1.0 / (settings.overload_window.max(1) as f64 * replicas);
        for worker in membership.slow_starting_mut(settings, now) {
            let role = worker.role as usize;
            let quota_share = quota_rate / peak_ready[role].max(1) as f64;
            let warm_rate = warm[role].completion_rate(worker.weight).max(quota_share);
            let slow_start = &mut worker.activity_mut().slow_start;
            let warm_fraction = slow_start.warm_fraction(settings, now);
            let rate = warm_rate * settings.overload_multiple * warm_fraction / BUDGET_TO_REFILL_RATIO;
            slow_start.refill(rate.max(min_rate), last_refill, settings, now);
        }
    }
}

/// Sums the completions and weights of the warm workers of each role, with completions decayed to
/// `measured_at`.
fn warm_throughput(
    membership: &Membership,
    settings: &Settings,
    now: Micros,
    measured_at: Micros,
) -> [WarmThroughput; ROLE_COUNT] {
    let mut warm = [WarmThroughput::default(); ROLE_COUNT];
    for worker in membership.iter() {
        let is_slow_starting = |activity: &WorkerActivity| activity.slow_start.is_active(settings, now);
        if worker.is_ready() && !worker.activity().is_some_and(is_slow_starting) {
            let throughput = &mut warm[worker.role as usize];
            throughput.completions += worker.recorded_activity().completions.value_at(measured_at);
            throughput.weight += worker.weight;
        }
    }
    warm
}
