//! Selection of a prefill worker, following the E2 algorithm of Preble (exploitation and exploration).
//!
//! A prompt is sent to the worker that caches most of it (exploitation) if more than half of the prompt is
//! cached there and the worker is not overloaded. Otherwise it is sent to the worker with the lowest cost
//! (exploration), computed from the queued tokens, the KV cache evictions and the uncached tokens.

use super::context::{DecisionContext, SLOWNESS_THRESHOLD};
use super::load_estimator::LoadEstimator;
use super::worker::Worker;
use crate::hashing::unit_interval;
use crate::interface::{RequestId, RequestSpec, Role, Stage, WorkerId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A cache holder is not preferred while its load exceeds this multiple of the mean load (Preble's value).
const MAX_LOAD_OVER_MEAN: f64 = 2.0;

/// A prefix has one home, and another one per this many prefill workers, because the most popular prefix may
/// account for a tenth of all requests.
const PREFILL_WORKERS_PER_HOME: u64 = 60;

/// A prefill worker with the inputs of one decision.
struct PrefillCandidate<'a> {
    worker: &'a Worker,
    relative_slowness: f64,
    /// Queued tokens, weighted by the worker's slowness.
    load: f64,
    /// Prompt tokens that are not cached at the worker.
    uncached_tokens: f64,
    /// Orders otherwise equal candidates, by a hash that is the same at every router.
    tie_breaker: u64,
}

impl PrefillCandidate<'_> {
    fn to_choice(&self) -> PrefillChoice {
        PrefillChoice { worker: self.worker.id.clone(), uncached_tokens: self.uncached_tokens }
    }
}

/// The candidates of one decision.
///
/// Inactive workers that are not slow differ only in their tie-breaker, so the one with the highest
/// tie-breaker represents all of them.
#[derive(Default)]
struct Candidates<'a> {
    distinct: Vec<PrefillCandidate<'a>>,
    /// Index in `distinct` of the candidate that represents the inactive workers.
    inactive_representative: Option<usize>,
    count: usize,
    total_load: f64,
}

impl<'a> Candidates<'a> {
    fn add(&mut self, candidate: PrefillCandidate<'a>, is_home: bool) {
        self.count += 1;
        self.total_load += candidate.load;
        let is_slow = candidate.relative_slowness >= SLOWNESS_THRESHOLD;
        if is_home || is_slow || candidate.worker.activity().is_some() {
            self.distinct.push(candidate);
            return;
        }
        match self.inactive_representative.map(|index| &mut self.distinct[index]) {
            Some(representative) if candidate.tie_breaker > representative.tie_breaker => {
                *representative = candidate;
            }
            Some(_) => {}
            None => {
                self.inactive_representative = Some(self.distinct.len());
                self.distinct.push(candidate);
            }
        }
    }

    fn iter(&self) -> impl Iterator<Item = &PrefillCandidate<'a>> {
        self.distinct.iter()
    }

    fn mean_load(&self) -> f64 {
        self.total_load / self.count as f64
    }
}

/// The prefill worker selected for a request.
pub(super) struct PrefillChoice {
    pub worker: WorkerId,
    /// Prompt tokens that are not presumed to be cached at the worker.
    pub uncached_tokens: f64,
}

/// Selects the prefill worker for one request.
pub(super) struct PrefillChooser<'a> {
    context: DecisionContext<'a>,
    spec: &'a RequestSpec,
    eligible: &'a [&'a Worker],
    /// Key for rendezvous hashing, see [`affinity_key`].
    affinity_key: u64,
}

impl<'a> PrefillChooser<'a> {
    /// Creates a chooser over the eligible workers.
    pub fn new(context: DecisionContext<'a>, spec: &'a RequestSpec, eligible: &'a [&'a Worker]) -> Self {
        let affinity_key = affinity_key(spec, context.seed);
        PrefillChooser { context, spec, eligible, affinity_key }
    }

    /// Selects a worker; `None` if there are no eligible workers. `time_budget` is the longest acceptable
    /// prefill time in microseconds.
    pub fn choose(&self, time_budget: f64) -> Option<PrefillChoice> {
        let home = self.rendezvous_home()?;
        let candidates = self.candidates(home);
        let selected = (self.slow_starting_candidate(&candidates, time_budget))
            .or_else(|| self.best_cache_holder(&candidates, home))
            .or_else(|| self.lowest_cost_candidate(&candidates))?;
        Some(selected.to_choice())
    }

    fn prompt_tokens(&self) -> f64 {
        self.spec.prompt_tokens as f64
    }

    fn candidates(&self, home: &Worker) -> Candidates<'a> {
        let mean_queue = self.mean_reported_queue();
        // Other routers send this prefix to its home as well, so it is presumed to be cached there.
        let presumed_at_home = (self.spec.prefix_tokens as f64).min(self.prompt_tokens());
        let cached_prompt = self.context.prefixes.cached_prompt(self.spec, self.context.now);
        let estimator = LoadEstimator::new(self.context);
        let mut candidates = Candidates::default();
        for worker in self.eligible {
            let relative_slowness = self.context.relative_slowness(worker);
            let is_home = std::ptr::eq(*worker, home);
            let presumed = if is_home { presumed_at_home } else { 0.0 };
            // Inactive workers have no cached prefixes.
            let recorded = worker.activity().map_or(0.0, |_| cached_prompt.tokens_at(&worker.id));
            let candidate = PrefillCandidate {
                worker,
                relative_slowness,
                load: estimator.queued_tokens(worker, mean_queue) * relative_slowness,
                uncached_tokens: self.prompt_tokens() - recorded.max(presumed),
                tie_breaker: xxh3_64_with_seed(worker.id.0.as_bytes(), self.affinity_key),
            };
            candidates.add(candidate, is_home);
        }
        candidates
    }

    /// The mean queue length reported by the eligible workers, weighted by the confidence in each report.
    fn mean_reported_queue(&self) -> f64 {
        let mut tokens = 0.0;
        let mut confidence = 1e-9;
        for worker in self.eligible {
            let reported = LoadEstimator::new(self.context).reported_queue(worker);
            tokens += reported.tokens * reported.confidence;
            confidence += reported.confidence;
        }
        tokens / confidence
    }

    /// A worker in slow start that can process the prompt in time, if the prompt is not cached at any worker.
    ///
    /// An eligible worker in slow start is one for which this router holds a permit. Without this preference,
    /// a router that is one of hundreds would not select such a worker before the permit expires.
    fn slow_starting_candidate<'c>(
        &self,
        candidates: &'c Candidates<'a>,
        time_budget: f64,
    ) -> Option<&'c PrefillCandidate<'a>> {
        let is_uncached = candidates.iter().all(|c| c.uncached_tokens == self.prompt_tokens());
        if self.spec.prefix.is_some() || !is_uncached {
            return None;
        }
        let time_per_token = self.context.latency.prefill_time_per_token().value_or(0.0);
        let is_in_time =
            |c: &PrefillCandidate| time_per_token * c.uncached_tokens * c.relative_slowness <= time_budget;
        let (settings, now) = (self.context.settings, self.context.now);
        let is_slow_starting = |worker: &Worker| {
            worker.activity().is_some_and(|activity| activity.slow_start.is_active(settings, now))
        };
        let slow_starting = candidates.iter().filter(|c| is_slow_starting(c.worker) && is_in_time(c));
        slow_starting.min_by_key(|c| c.tie_breaker)
    }

    /// The worker that caches most of the prompt, if enough of the prompt is cached there and its load is
    /// within [`MAX_LOAD_OVER_MEAN`].
    fn best_cache_holder<'c>(
        &self,
        candidates: &'c Candidates<'a>,
        home: &Worker,
    ) -> Option<&'c PrefillCandidate<'a>> {
        let prompt_tokens = self.prompt_tokens();
        let is_home = |c: &PrefillCandidate| std::ptr::eq(c.worker, home);
        let holders = candidates.iter().filter(|c| c.uncached_tokens < prompt_tokens || is_home(c));
        let holder = holders.max_by(|a, b| {
            (b.uncached_tokens.total_cmp(&a.uncached_tokens))
                .then(b.load.total_cmp(&a.load))
                .then(a.tie_breaker.cmp(&b.tie_breaker))
        })?;
        // Uncached tokens are weighted by the worker's slowness. The home of a prefix is always treated as a
        // holder.
        let saves_enough = prompt_tokens > 2.0 * holder.uncached_tokens * holder.relative_slowness;
        let is_balanced =
            holder.load <= MAX_LOAD_OVER_MEAN * (candidates.mean_load() + holder.uncached_tokens);
        ((saves_enough || is_home(holder)) && is_balanced).then_some(holder)
    }

    /// The worker with the lowest cost for the prompt.
    ///
    /// Reprocessing cached tokens delays every queued prefill. Under load, moving prompts away from their
    /// cache lengthens the queues that the moves try to avoid, until the caches no longer produce hits. The
    /// weight of uncached tokens therefore grows with the number of prefills in flight.
    fn lowest_cost_candidate<'c>(&self, candidates: &'c Candidates<'a>) -> Option<&'c PrefillCandidate<'a>> {
        let in_flight = self.context.requests.in_flight();
        let prefills = in_flight.filter(|attempt| attempt.stage == Stage::Prefill).count();
        let congestion = 1.0 + prefills as f64 / self.eligible.len() as f64;
        let cost = |c: &PrefillCandidate| {
            c.load + self.eviction_cost(c) + c.uncached_tokens * c.relative_slowness * congestion
        };
        // The tie-breaker is the same at every router, so that the next request of a session finds its prompt
        // cached.
        let costs = candidates.iter().map(|candidate| (candidate, cost(candidate)));
        let cheapest = costs.min_by(|(a, a_cost), (b, b_cost)| {
            a_cost.total_cmp(b_cost).then_with(|| b.tie_breaker.cmp(&a.tie_breaker))
        });
        cheapest.map(|(candidate, _)| candidate)
    }

    /// Estimates the cached tokens that the prefill would evict: the tokens cached at the worker, weighted by
    /// its KV cache utilization and by the share of its KV cache that the prefill needs.
    fn eviction_cost(&self, candidate: &PrefillCandidate) -> f64 {
        let PrefillCandidate { worker, uncached_tokens, .. } = *candidate;
        let Some(activity) = worker.activity() else { return 0.0 };
        let cached = self.context.prefixes.total_cached_tokens(&worker.id);
        let utilization = activity.load.kv_cache_utilization().unwrap_or(cached / worker.kv_cache_tokens);
        let needed = (uncached_tokens / worker.kv_cache_tokens).min(1.0);
        cached * utilization.clamp(0.0, 1.0) * needed
    }

    /// The home of the prompt's prefix, by weighted rendezvous hashing. It is the same at every router of a
    /// zone.
    ///
    /// The share of prefixes whose home is in the router's own zone is proportional to that zone's share of
    /// the prefill capacity. In a large fleet a prefix has several homes, so that a popular one does not
    /// exceed the capacity of a single worker. All requests of a session use the same home.
    fn rendezvous_home(&self) -> Option<&'a Worker> {
        let peak_prefill_workers = self.context.membership.peak_ready()[Role::Prefill as usize] as u64;
        let home_count = 1 + peak_prefill_workers / PREFILL_WORKERS_PER_HOME;
        let session = self.spec.session.as_ref();
        let session_hash = session.map_or(0, |session| xxh3_64_with_seed(session.as_bytes(), 0));
        let key = self.affinity_key ^ (session_hash % home_count);
        let is_local = |worker: &&Worker| worker.location.is_in_zone(&self.context.settings.zone);
        let total_weight: f64 = self.eligible.iter().map(|worker| worker.weight).sum();
        let local_weight: f64 =
            self.eligible.iter().filter(|worker| is_local(worker)).map(|worker| worker.weight).sum();
        let zone_count = self.context.membership.zone_count() as f64;
        let local_share = local_weight * zone_count / total_weight.max(1e-9);
        let is_home_local = unit_interval(key ^ 1) < local_share;
        let score = |worker: &Worker| {
            -worker.weight / unit_interval(xxh3_64_with_seed(worker.id.0.as_bytes(), key)).ln()
        };
        let possible_homes = self.eligible.iter().filter(|worker| !is_home_local || is_local(worker));
        let scores = possible_homes.map(|worker| (*worker, score(worker)));
        let home = scores
            .max_by(|(a, a_score), (b, b_score)| a_score.total_cmp(b_score).then_with(|| b.id.cmp(&a.id)));
        home.map(|(worker, _)| worker)
    }
}

/// The key for rendezvous hashing: a hash of the shared prefix or, without one, of the session. It is the
/// same at every router. A request with neither has a key that is specific to it and to this router.
fn affinity_key(spec: &RequestSpec, seed: u64) -> u64 {
    let shared_name = spec.prefix.as_ref().or(spec.session.as_ref());
    let RequestId(id) = spec.request;
    shared_name.map_or(id ^ seed, |name| xxh3_64(name.as_bytes()))
}
