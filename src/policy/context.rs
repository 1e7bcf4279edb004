//! The read-only inputs of decisions.

use super::decode_timeouts::DecodeTimeouts;
use super::latency_model::{LatencyModel, TimeoutBackoff};
use super::membership::Membership;
use super::prefix_table::PrefixTable;
use super::request::{Request, Requests, TrackedAttempt};
use super::slow_start_bucket::SlowStartBucket;
use super::tenant_quotas::QuotaStatus;
use super::worker::Worker;
use crate::interface::{Class, Micros, Settings};

/// A worker counts as slow if its slowness is at least this multiple of the median of its role; smaller
/// differences are noise.
pub(super) const SLOWNESS_THRESHOLD: f64 = 1.5;

/// References to all state that a decision depends on, at one moment. Decisions do not modify it.
#[derive(Clone, Copy)]
pub(super) struct DecisionContext<'a> {
    pub settings: &'a Settings,
    /// The seed of this router's hashes.
    pub seed: u64,
    pub now: Micros,
    /// All listed workers, and removed workers that still have attempts in flight.
    pub membership: &'a Membership,
    /// All open requests, and closed requests that still have attempts in flight.
    pub requests: &'a Requests,
    /// The prefixes that are presumed to be cached at each worker.
    pub prefixes: &'a PrefixTable,
    /// Learned latencies and prompt sizes.
    pub latency: &'a LatencyModel,
    /// The backoff of timeouts, per stage.
    pub timeout_backoff: &'a TimeoutBackoff,
    /// Recent decode timeouts.
    pub decode_timeouts: &'a DecodeTimeouts,
}

impl<'a> DecisionContext<'a> {
    pub fn class(&self, request: &Request) -> &'a Class {
        &self.settings.classes[request.class_index]
    }

    /// The priority weight of a request, which is reduced if its tenant is over quota.
    pub fn priority(&self, request: &Request) -> f64 {
        let weight = self.class(request).priority_weight;
        match request.quota {
            QuotaStatus::Within => weight,
            QuotaStatus::Exceeded => weight * self.settings.over_quota_weight,
        }
    }

    /// The latency objective for a request's first token, measured from the time of its receipt.
    pub fn first_token_objective(&self, request: &Request) -> Micros {
        let class = self.class(request);
        let per_1000_tokens = class.first_token_objective_per_1000_tokens as f64;
        let length_objective = per_1000_tokens * request.spec.prompt_tokens as f64 / 1000.0;
        class.first_token_objective.saturating_add(length_objective as Micros)
    }

    /// The latency of a worker relative to the median worker of its role: 1 below [`SLOWNESS_THRESHOLD`], but
    /// during slow start at least the inverse of the worker's warm fraction.
    pub fn relative_slowness(&self, worker: &Worker) -> f64 {
        let median = self.membership.median_slowness(worker.role);
        let relative = worker.slowness() / median.max(0.1);
        let relative = if relative < SLOWNESS_THRESHOLD { 1.0 } else { relative };
        let warm_fraction = worker.activity().map_or_else(
            || SlowStartBucket::default().warm_fraction(self.settings, self.now),
            |activity| activity.slow_start.warm_fraction(self.settings, self.now),
        );
        relative.max(1.0 / warm_fraction)
    }

    /// The attempts in flight at a worker.
    pub fn in_flight_at(&self, worker: &'a Worker) -> impl Iterator<Item = &'a TrackedAttempt> + use<'a> {
        let requests = self.requests;
        let keys = worker.activity().into_iter().flat_map(|activity| &activity.in_flight);
        keys.filter_map(|key| requests.in_flight_attempt(*key))
    }
}
