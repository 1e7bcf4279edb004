//! Selection of a decode worker: the one with the lowest projected KV cache utilization, unless a worker
//! nearer to the request's KV cache is nearly as good.

use super::context::DecisionContext;
use super::eligibility::eligible_workers;
use super::load_estimator::LoadEstimator;
use super::request::Request;
use super::retry;
use super::worker::{Distance, Worker};
use crate::hashing::unit_interval;
use crate::interface::{RequestId, Role, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A nearer worker is preferred while its projected KV cache utilization exceeds that of the best candidate
/// by no more than this: about the share that one long request uses.
const UTILIZATION_TOLERANCE: f64 = 0.1;

/// Links are considered slow if the first token takes this many times longer over a remote distance than
/// within a cell. Deployments specify ratios of up to 2.7 between zones.
const SLOW_LINK_LATENCY_RATIO: f64 = 3.0;

/// All requests prefer local workers from this number of recent decode timeouts outside the cell on. The
/// number decays with time.
const REMOTE_TIMEOUT_THRESHOLD: f64 = 0.5;

/// A decode worker with the inputs of one decision.
struct DecodeCandidate<'a> {
    worker: &'a Worker,
    projected_utilization: f64,
    /// Orders otherwise equal candidates. It is specific to the request and this router, so that routers do
    /// not all send to the same worker.
    tie_breaker: u64,
}

/// Selects the decode worker for one request.
pub(super) struct DecodeChooser<'a> {
    context: DecisionContext<'a>,
    request: RequestId,
    candidates: Vec<DecodeCandidate<'a>>,
}

impl<'a> DecodeChooser<'a> {
    /// Creates a chooser over the eligible decode and unified workers. A keyed request is retried at the
    /// worker that has just responded, if that is eligible. Otherwise workers that were already sent this
    /// request for decoding are excluded if others are eligible.
    pub fn new(context: DecisionContext<'a>, request: &Request) -> Self {
        let id = request.spec.request;
        let mut eligible = eligible_workers(context, Role::Decode, request);
        eligible.extend(eligible_workers(context, Role::Unified, request));
        let responsive_worker = retry::responsive_worker(context, request);
        let is_responsive = |worker: &&Worker| Some(&worker.id) == responsive_worker;
        let is_untried = |worker: &&Worker| !request.has_decode_attempt_at(&worker.id);
        if eligible.iter().any(is_responsive) {
            eligible.retain(is_responsive);
        } else if eligible.iter().any(is_untried) {
            eligible.retain(is_untried);
        }
        let estimator = LoadEstimator::new(context);
        let candidate = |worker: &'a Worker| DecodeCandidate {
            worker,
            projected_utilization: estimator.projected_utilization(worker),
            tie_breaker: xxh3_64_with_seed(worker.id.0.as_bytes(), id.0 ^ context.seed),
        };
        DecodeChooser { context, request: id, candidates: eligible.into_iter().map(candidate).collect() }
    }

    /// Selects a worker for a request whose KV cache is held by `cache_holder`; `None` if there are no
    /// eligible workers.
    pub fn choose(&self, cache_holder: Option<&WorkerId>) -> Option<WorkerId> {
        let best = self.least_utilized(|_| true)?;
        let holder = cache_holder.and_then(|id| self.context.membership.get(id));
        let Some(holder) = holder else { return Some(best.worker.id.clone()) };
        let selected = self.local_candidate(holder, best).unwrap_or_else(|| {
            // Other cells are preferred if they have decode capacity for KV caches from outside.
            let with_spare_capacity = self.least_utilized(|worker| self.has_spare_decode_capacity(worker));
            with_spare_capacity
                .filter(|c| c.projected_utilization <= best.projected_utilization + UTILIZATION_TOLERANCE)
                .unwrap_or(best)
        });
        Some(selected.worker.id.clone())
    }

    fn least_utilized(&self, is_included: impl Fn(&Worker) -> bool) -> Option<&DecodeCandidate<'a>> {
        let included = self.candidates.iter().filter(|c| is_included(c.worker));
        included.min_by(|a, b| {
            a.projected_utilization
                .total_cmp(&b.projected_utilization)
                .then_with(|| a.tie_breaker.cmp(&b.tie_breaker))
        })
    }

    /// The best candidate in the cell of the KV cache, or else in its zone. `None` if the request does not
    /// belong to the fraction that is decoded locally, or if the utilization of these candidates exceeds the
    /// tolerance.
    fn local_candidate(&self, holder: &Worker, best: &DecodeCandidate<'a>) -> Option<&DecodeCandidate<'a>> {
        let best_distance = holder.distance_to(best.worker);
        let locality_draw = self.locality_draw();
        let local_timeout_factor = self.local_timeout_factor();
        let in_cell = self.least_utilized(|worker| worker.location.cell == holder.location.cell);
        let is_in_zone = |worker: &Worker| worker.location.is_same_zone(&holder.location);
        let in_zone = self
            .least_utilized(|worker| is_in_zone(worker) && self.has_spare_decode_capacity(worker))
            .or_else(|| self.least_utilized(is_in_zone));
        let capacity_ratio = self.context.membership.decode_capacity_ratio(holder);
        let options = [
            (Distance::SameCell, in_cell, capacity_ratio.cell),
            (Distance::SameZone, in_zone, capacity_ratio.zone),
        ];
        options.into_iter().find_map(|(distance, candidate, capacity_ratio)| {
            let tolerance = UTILIZATION_TOLERANCE
                * self.replica_multiplier(distance)
                * self.latency_ratio(distance, best_distance);
            let link_latency_ratio = self.latency_ratio(distance, distance.next());
            let local_fraction =
                capacity_ratio * link_latency_ratio.min(1.0 + UTILIZATION_TOLERANCE) * local_timeout_factor;
            let is_within_tolerance =
                |c: &&DecodeCandidate| c.projected_utilization <= best.projected_utilization + tolerance;
            candidate.filter(is_within_tolerance).filter(|_| locality_draw < local_fraction)
        })
    }

    /// The factor for the utilization tolerance of a nearer worker: the number of routers for a worker in the
    /// cell of the KV cache while load can't be observed, else 1.
    ///
    /// Without load reports, each attempt of this router is counted once for every router. One attempt is
    /// weak evidence of the other routers' load and must not move requests out of the cell.
    fn replica_multiplier(&self, distance: Distance) -> f64 {
        let settings = self.context.settings;
        if distance == Distance::SameCell && settings.is_load_unobservable() {
            f64::from(settings.replica_count)
        } else {
            1.0
        }
    }

    /// The ratio of first-token latencies over the farther and the nearer distance; at least 1.
    ///
    /// The preference for the nearer worker grows with this ratio, which covers slow links of any cause. The
    /// preference is counterproductive while the learned latency of the farther distance is out of date.
    fn latency_ratio(&self, near: Distance, far: Distance) -> f64 {
        (self.time_per_token(far) / self.time_per_token(near).max(1e-9)).max(1.0)
    }

    fn time_per_token(&self, distance: Distance) -> f64 {
        self.context.latency.decode_time_per_token(distance).value_or(0.0)
    }

    /// A pseudo-random number between 0 and 1, derived from the request ID. A request is decoded locally if
    /// its number is below the local fraction.
    ///
    /// A router does not see the attempts of other routers. It therefore keeps only the fraction of requests
    /// local that matches the ratio of local decode capacity to local prefill capacity, and sends the others
    /// to workers with spare capacity.
    ///
    /// After recent timeouts outside the cell the number is 0, so that local workers take all requests within
    /// the utilization tolerance: learned latencies reveal slow links only after seconds.
    fn locality_draw(&self) -> f64 {
        let remote_timeouts = self.context.decode_timeouts.outside_cell.value_at(self.context.now);
        if remote_timeouts >= REMOTE_TIMEOUT_THRESHOLD {
            return 0.0;
        }
        let RequestId(id) = self.request;
        unit_interval(xxh3_64_with_seed(&id.to_le_bytes(), self.context.seed ^ 1))
    }

    /// The factor that reduces the local fraction while workers in the cell time out more often than others;
    /// 1 if they do not.
    ///
    /// The factor covers congestion that no load report shows, and is counterproductive if the whole fleet is
    /// congested. It is never 0, so that the recovery of local workers is noticed.
    ///
    /// The factor stays 1 if remote first tokens take longer than the distance explains: the links are slow
    /// then, and remote decoding would be worse.
    fn local_timeout_factor(&self) -> f64 {
        let now = self.context.now;
        let timeouts = self.context.decode_timeouts;
        let has_slow_links = self.time_per_token(Distance::Remote)
            > SLOW_LINK_LATENCY_RATIO * self.time_per_token(Distance::SameCell);
        let excess_timeouts = if has_slow_links {
            0.0
        } else {
            (timeouts.same_cell.value_at(now) - timeouts.outside_cell.value_at(now)).max(0.0)
        };
        1.0 / (1.0 + excess_timeouts)
    }

    /// Whether a worker's cell has a larger share of the decode capacity than of the prefill capacity.
    fn has_spare_decode_capacity(&self, worker: &Worker) -> bool {
        self.context.membership.decode_capacity_ratio(worker).cell > 1.0
    }
}
