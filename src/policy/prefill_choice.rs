//! The choice of a prefill worker, after Preble's E2 (exploitation and exploration).
//!
//! A prompt goes to the worker that caches most of it (exploitation) while that saves more than half of the
//! prompt and the worker is not overloaded. Else it goes to the worker where it costs least
//! (exploration): by the queue, by what it would evict, and by the tokens that have to be processed.

use super::context::{DecisionContext, SIGNIFICANT_SLOWNESS};
use super::load_estimator::LoadEstimator;
use super::worker::Worker;
use crate::hashing::unit_interval;
use crate::interface::{RequestId, RequestSpec, Role, Stage, WorkerId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A worker whose load passes this multiple of the mean is not exploited (Preble's value).
const MAX_LOAD_OVER_MEAN: f64 = 2.0;

/// A prefix has one home more for each this many prefill workers: the most requested prefix may draw a tenth
/// of all requests.
const PREFILL_WORKERS_PER_HOME: u64 = 60;

/// A prefill worker as one decision sees it.
struct PrefillCandidate<'a> {
    worker: &'a Worker,
    relative_slowness: f64,
    /// Tokens that wait there, weighted by its slowness.
    load: f64,
    /// Prompt tokens that are not cached there.
    uncached_tokens: f64,
    /// Its place among equals, by a hash that all routers share.
    rank: u64,
}

impl PrefillCandidate<'_> {
    fn choice(&self) -> PrefillChoice {
        PrefillChoice { worker: self.worker.id.clone(), uncached_tokens: self.uncached_tokens }
    }
}

/// The workers among which a decision is made.
///
/// Workers at rest that are not slow differ by their rank alone, so the first of them stands for all.
#[derive(Default)]
struct Candidates<'a> {
    distinct: Vec<PrefillCandidate<'a>>,
    /// Where in `distinct` that one is.
    first_at_rest: Option<usize>,
    count: usize,
    total_load: f64,
}

impl<'a> Candidates<'a> {
    fn add(&mut self, candidate: PrefillCandidate<'a>, is_home: bool) {
        self.count += 1;
        self.total_load += candidate.load;
        let is_slow = candidate.relative_slowness >= SIGNIFICANT_SLOWNESS;
        if is_home || is_slow || candidate.worker.activity().is_some() {
            self.distinct.push(candidate);
            return;
        }
        match self.first_at_rest.map(|index| &mut self.distinct[index]) {
            Some(first) if candidate.rank > first.rank => *first = candidate,
            Some(_) => {}
            None => {
                self.first_at_rest = Some(self.distinct.len());
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

/// The prefill worker chosen for a request.
pub(super) struct PrefillChoice {
    /// The worker.
    pub worker: WorkerId,
    /// Prompt tokens that are not presumed to be cached there.
    pub uncached_tokens: f64,
}

/// Chooses the prefill worker of one request.
pub(super) struct PrefillChooser<'a> {
    context: DecisionContext<'a>,
    spec: &'a RequestSpec,
    eligible: &'a [&'a Worker],
    /// What all routers hash alike for this prompt.
    affinity_key: u64,
}

impl<'a> PrefillChooser<'a> {
    /// A chooser among the eligible workers.
    pub fn new(context: DecisionContext<'a>, spec: &'a RequestSpec, eligible: &'a [&'a Worker]) -> Self {
        let affinity_key = affinity_key(spec, context.seed);
        PrefillChooser { context, spec, eligible, affinity_key }
    }

    /// The worker, where `time_budget` is what a prefill may take in microseconds; `None` if none is
    /// eligible.
    pub fn choose(&self, time_budget: f64) -> Option<PrefillChoice> {
        let home = self.rendezvous_home()?;
        let candidates = self.candidates(home);
        let chosen = (self.warming_up(&candidates, time_budget))
            .or_else(|| self.exploited(&candidates, home))
            .or_else(|| self.cheapest(&candidates))?;
        Some(chosen.choice())
    }

    fn prompt_tokens(&self) -> f64 {
        self.spec.prompt_tokens as f64
    }

    fn candidates(&self, home: &Worker) -> Candidates<'a> {
        let average_queue = self.average_reported_queue();
        // Other routers send the same prefix to its home, too: it is presumed to be cached there.
        let presumed_at_home = (self.spec.prefix_tokens as f64).min(self.prompt_tokens());
        let cached_prompt = self.context.prefixes.cached_prompt(self.spec, self.context.now);
        let estimator = LoadEstimator::new(self.context);
        let mut candidates = Candidates::default();
        for worker in self.eligible {
            let relative_slowness = self.context.relative_slowness(worker);
            let is_home = std::ptr::eq(*worker, home);
            let presumed = if is_home { presumed_at_home } else { 0.0 };
            // A worker that holds anything is not at rest.
            let known = worker.activity().map_or(0.0, |_| cached_prompt.tokens_at(&worker.id));
            let candidate = PrefillCandidate {
                worker,
                relative_slowness,
                load: estimator.queued_tokens(worker, average_queue) * relative_slowness,
                uncached_tokens: self.prompt_tokens() - known.max(presumed),
                rank: xxh3_64_with_seed(worker.id.0.as_bytes(), self.affinity_key),
            };
            candidates.add(candidate, is_home);
        }
        candidates
    }

    /// The queue that the eligible workers report on average, weighted by the trust in each report.
    fn average_reported_queue(&self) -> f64 {
        let mut tokens = 0.0;
        let mut trust = 1e-9;
        for worker in self.eligible {
            let reported = LoadEstimator::new(self.context).reported_queue(worker);
            tokens += reported.tokens * reported.trust;
            trust += reported.trust;
        }
        tokens / trust
    }

    /// A worker that is warming up and has a slow-start permit gets the next prompt that is cached nowhere,
    /// if it can process it in time: with hundreds of routers no prompt would be sent there by itself before
    /// the permit lapses.
    fn warming_up<'c>(
        &self,
        candidates: &'c Candidates<'a>,
        time_budget: f64,
    ) -> Option<&'c PrefillCandidate<'a>> {
        let is_cached_nowhere = candidates.iter().all(|c| c.uncached_tokens == self.prompt_tokens());
        if self.spec.prefix.is_some() || !is_cached_nowhere {
            return None;
        }
        let time_per_token = self.context.latency.prefill_time_per_token().value_or(0.0);
        let is_in_time =
            |c: &PrefillCandidate| time_per_token * c.uncached_tokens * c.relative_slowness <= time_budget;
        let (settings, now) = (self.context.settings, self.context.now);
        let is_warming_up = |worker: &Worker| {
            worker.activity().is_some_and(|activity| activity.slow_start.is_active(settings, now))
        };
        let warming_up = candidates.iter().filter(|c| is_warming_up(c.worker) && is_in_time(c));
        warming_up.min_by_key(|c| c.rank)
    }

    /// The worker that caches most of the prompt, if that saves enough and its load is not too far over the
    /// mean.
    fn exploited<'c>(
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
                .then(a.rank.cmp(&b.rank))
        })?;
        // On a slow worker the uncached tokens weigh as much as its slowness makes them. The home of a prefix
        // always counts as its holder.
        let saves_enough = prompt_tokens > 2.0 * holder.uncached_tokens * holder.relative_slowness;
        let is_balanced =
            holder.load <= MAX_LOAD_OVER_MEAN * (candidates.mean_load() + holder.uncached_tokens);
        ((saves_enough || is_home(holder)) && is_balanced).then_some(holder)
    }

    /// The worker at which the prompt costs least.
    ///
    /// Every prefill that waits pays for tokens processed again: under load, moving a prompt away from where
    /// it is cached feeds the very queue that it avoids, until nothing is found cached anywhere. Hence
    /// uncached tokens weigh more with the number of prefills in flight.
    fn cheapest<'c>(&self, candidates: &'c Candidates<'a>) -> Option<&'c PrefillCandidate<'a>> {
        let in_flight = self.context.requests.in_flight();
        let prefills = in_flight.filter(|attempt| attempt.stage == Stage::Prefill).count();
        let congestion = 1.0 + prefills as f64 / self.eligible.len() as f64;
        let cost = |c: &PrefillCandidate| {
            c.load + self.eviction_cost(c) + c.uncached_tokens * c.relative_slowness * congestion
        };
        // Equals are ordered by a hash that all routers share, so that the next request of a session finds
        // its prompt cached.
        let costs = candidates.iter().map(|candidate| (candidate, cost(candidate)));
        let cheapest = costs
            .min_by(|(a, a_cost), (b, b_cost)| a_cost.total_cmp(b_cost).then_with(|| b.rank.cmp(&a.rank)));
        cheapest.map(|(candidate, _)| candidate)
    }

    /// What processing the uncached tokens would evict: the tokens cached there, weighted by how full the
    /// worker's memory is and by how much of it the prefill needs.
    fn eviction_cost(&self, candidate: &PrefillCandidate) -> f64 {
        let PrefillCandidate { worker, uncached_tokens, .. } = *candidate;
        let Some(activity) = worker.activity() else { return 0.0 };
        let cached = self.context.prefixes.total_cached_tokens(&worker.id);
        let utilization = activity.load.memory_utilization().unwrap_or(cached / worker.memory_tokens);
        let needed = (uncached_tokens / worker.memory_tokens).min(1.0);
        cached * utilization.clamp(0.0, 1.0) * needed
    }

    /// The worker to which a prefix belongs: rendezvous hashing by weight, the same at every router of a
    /// zone. A zone's own workers serve it in proportion to their share of all prefill workers.
    ///
    /// In a large fleet a prefix has several homes, and a session stays at one of them: guards against
    /// prefixes that outgrow a home.
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
        let stays_local = unit_interval(key ^ 1) < local_share;
        let score = |worker: &Worker| {
            -worker.weight / unit_interval(xxh3_64_with_seed(worker.id.0.as_bytes(), key)).ln()
        };
        let homes = self.eligible.iter().filter(|worker| !stays_local || is_local(worker));
        let scores = homes.map(|worker| (*worker, score(worker)));
        let home = scores
            .max_by(|(a, a_score), (b, b_score)| a_score.total_cmp(b_score).then_with(|| b.id.cmp(&a.id)));
        home.map(|(worker, _)| worker)
    }
}

/// What all routers hash alike: the shared prefix, else the session; else a number of this router's own.
fn affinity_key(spec: &RequestSpec, seed: u64) -> u64 {
    let name = spec.prefix.as_ref().or(spec.session.as_ref());
    let RequestId(id) = spec.request;
    name.map_or(id ^ seed, |name| xxh3_64(name.as_bytes()))
}
