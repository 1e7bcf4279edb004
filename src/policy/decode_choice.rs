//! The choice of a decode worker: the one with most memory to spare, unless one nearer to the KV cache has
//! nearly as much.

use super::context::DecisionContext;
use super::eligibility::eligible_workers;
use super::load_estimator::LoadEstimator;
use super::request::Request;
use super::worker::{Distance, Worker};
use crate::hashing::unit_interval;
use crate::interface::{RequestId, Role, WorkerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A nearer worker is taken while no more of its memory than this is in use beyond the best one's: the part
/// of one long request.
const SIGNIFICANTLY_FULLER: f64 = 0.1;

/// First tokens over remote distances that take this many times as long as those within a cell show slow
/// links: deployments state up to 2.7 for the distance between zones.
const SLOW_LINK_LATENCY_RATIO: f64 = 3.0;

/// All requests stay near from this many recent timeouts out of the cell on.
const REMOTE_TIMEOUTS_TO_STAY_NEAR: f64 = 0.5;

/// A decode worker as one decision sees it.
struct DecodeCandidate<'a> {
    worker: &'a Worker,
    projected_memory: f64,
    /// Its place among equals: by chance, or all routers would send to the same one.
    rank: u64,
}

/// Chooses the decode worker of one request.
pub(super) struct DecodeChooser<'a> {
    context: DecisionContext<'a>,
    request: RequestId,
    candidates: Vec<DecodeCandidate<'a>>,
}

impl<'a> DecodeChooser<'a> {
    /// A chooser among the workers that decode, without those that were sent the request before, if others
    /// are left.
    pub fn new(context: DecisionContext<'a>, request: &Request) -> Self {
        let id = request.spec.request;
        let mut eligible = eligible_workers(context, Role::Decode, request);
        eligible.extend(eligible_workers(context, Role::Unified, request));
        let is_new = |worker: &&Worker| !request.has_decode_attempt_at(&worker.id);
        if eligible.iter().any(is_new) {
            eligible.retain(is_new);
        }
        let estimator = LoadEstimator::new(context);
        let candidate = |worker: &'a Worker| DecodeCandidate {
            worker,
            projected_memory: estimator.projected_memory(worker),
            rank: xxh3_64_with_seed(worker.id.0.as_bytes(), id.0 ^ context.seed),
        };
        DecodeChooser { context, request: id, candidates: eligible.into_iter().map(candidate).collect() }
    }

    /// The worker for a request whose KV cache waits at `cache_holder`; `None` if none is eligible.
    pub fn choose(&self, cache_holder: Option<&WorkerId>) -> Option<WorkerId> {
        let best = self.emptiest(|_| true)?;
        let holder = cache_holder.and_then(|id| self.context.membership.get(id));
        let Some(holder) = holder else { return Some(best.worker.id.clone()) };
        let chosen = self.nearest_with_capacity(holder, best).unwrap_or_else(|| {
            // Away from the cache, places with capacity for KV caches from elsewhere are preferred.
            let with_capacity = self.emptiest(|worker| self.has_capacity_for_others(worker));
            with_capacity
                .filter(|c| c.projected_memory <= best.projected_memory + SIGNIFICANTLY_FULLER)
                .unwrap_or(best)
        });
        Some(chosen.worker.id.clone())
    }

    /// The candidate with most memory to spare among those that `is_included` names.
    fn emptiest(&self, is_included: impl Fn(&Worker) -> bool) -> Option<&DecodeCandidate<'a>> {
        let included = self.candidates.iter().filter(|c| is_included(c.worker));
        included.min_by(|a, b| {
            a.projected_memory.total_cmp(&b.projected_memory).then_with(|| a.rank.cmp(&b.rank))
        })
    }

    /// The candidate in the cache's cell, else in its zone, if the request is among those that stay there and
    /// the worker is not significantly fuller than the best one.
    fn nearest_with_capacity(
        &self,
        holder: &Worker,
        best: &DecodeCandidate<'a>,
    ) -> Option<&DecodeCandidate<'a>> {
        let best_distance = holder.distance_to(best.worker);
        let draw = self.locality_draw();
        let near_timeout_factor = self.near_timeout_factor();
        let in_cell = self.emptiest(|worker| worker.location.cell == holder.location.cell);
        let is_in_zone = |worker: &Worker| worker.location.is_same_zone(&holder.location);
        let in_zone = self
            .emptiest(|worker| is_in_zone(worker) && self.has_capacity_for_others(worker))
            .or_else(|| self.emptiest(is_in_zone));
        let locality_share = self.context.membership.locality_share(holder);
        let places = [
            (Distance::SameCell, in_cell, locality_share.cell),
            (Distance::SameZone, in_zone, locality_share.zone),
        ];
        places.into_iter().find_map(|(distance, candidate, locality_share)| {
            let allowance = SIGNIFICANTLY_FULLER
                * self.fleet_multiplier(distance)
                * self.latency_advantage(distance, best_distance);
            let link_advantage = self.latency_advantage(distance, distance.next());
            let staying_share =
                locality_share * link_advantage.min(1.0 + SIGNIFICANTLY_FULLER) * near_timeout_factor;
            let is_not_fuller =
                |c: &&DecodeCandidate| c.projected_memory <= best.projected_memory + allowance;
            candidate.filter(is_not_fuller).filter(|_| draw < staying_share)
        })
    }

    /// Multiplies the memory by which a nearer worker may be fuller than the best one: the number of routers
    /// for a worker in the cache's cell while load can't be observed, else 1.
    ///
    /// Without reports an attempt of this router stands for one of each router: it says next to nothing of
    /// what they do, and is no reason to leave the cell.
    fn fleet_multiplier(&self, distance: Distance) -> f64 {
        let settings = self.context.settings;
        if distance == Distance::SameCell && settings.is_load_unobservable() {
            f64::from(settings.replica_count)
        } else {
            1.0
        }
    }

    /// How many times longer first tokens take over the farther distance; at least 1.
    ///
    /// The nearer worker is kept to by as much more. Guards against links that are slow for any cause; harms
    /// while the latencies of the farther distance are old.
    fn latency_advantage(&self, near: Distance, far: Distance) -> f64 {
        (self.time_per_token(far) / self.time_per_token(near).max(1e-9)).max(1.0)
    }

    fn time_per_token(&self, distance: Distance) -> f64 {
        self.context.latency.decode_time_per_token(distance).value_or(0.0)
    }

    /// The request's draw between 0 and 1, by its number: requests whose draw is below the staying share stay
    /// near the KV cache.
    ///
    /// Routers that can't see the others' attempts keep near only what the near decode workers' share of all
    /// decode capacity holds of the near prefill workers' share; the rest goes where there is capacity. While
    /// KV caches have just not arrived out of the cell in time, the near workers take all that they have
    /// capacity for: guards against slow links, which the learned latencies show only after seconds.
    fn locality_draw(&self) -> f64 {
        let remote_timeouts = self.context.decode_timeouts.elsewhere.value_at(self.context.now);
        if remote_timeouts >= REMOTE_TIMEOUTS_TO_STAY_NEAR {
            return 0.0;
        }
        let RequestId(id) = self.request;
        unit_interval(xxh3_64_with_seed(&id.to_le_bytes(), self.context.seed ^ 1))
    }

    /// The factor by which the staying share shrinks while near workers time out and others do not; 1 when
    /// they do not.
    ///
    /// It is never 0, else nobody would see that the near workers have recovered. Guards against congestion
    /// that no report shows; harms where the whole fleet is congested. Where remote first tokens take
    /// longer than distance alone explains, links are slow, and moving away would be worse.
    fn near_timeout_factor(&self) -> f64 {
        let now = self.context.now;
        let timeouts = self.context.decode_timeouts;
        let has_slow_links = self.time_per_token(Distance::Remote)
            > SLOW_LINK_LATENCY_RATIO * self.time_per_token(Distance::SameCell);
        let excess_timeouts = if has_slow_links {
            0.0
        } else {
            (timeouts.same_cell.value_at(now) - timeouts.elsewhere.value_at(now)).max(0.0)
        };
        1.0 / (1.0 + excess_timeouts)
    }

    /// Whether a worker's cell has a larger share of the decode capacity than of the prefill capacity.
    fn has_capacity_for_others(&self, worker: &Worker) -> bool {
        self.context.membership.locality_share(worker).cell > 1.0
    }
}
