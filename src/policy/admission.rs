//! Admission: where a queued request would go, and whether it can be answered in time from there.

use super::context::DecisionContext;
use super::decode_choice::DecodeChooser;
use super::eligibility::eligible_workers;
use super::load_estimator::LoadEstimator;
use super::prefill_choice::{PrefillChoice, PrefillChooser};
use super::request::{Request, RequestPhase};
use super::tenant_quotas::QuotaStatus;
use super::worker::Distance;
use super::{ATTEMPT_SHARE, PREFILL_SHARE};
use crate::interface::{EndReason, Role, Stage, WorkerId};

/// A request that takes longer than its latency objective when served alone may take this multiple of that
/// time.
const MAX_TIME_OVER_ALONE: f64 = 2.0;

/// A stage that is about to be sent, with what is known of its work.
#[derive(Clone, Copy)]
pub(super) enum PlannedStage {
    /// A prefill, with the prompt tokens that are not presumed to be cached at its worker.
    Prefill { uncached_tokens: f64 },
    /// A decode, which processes the prompt itself if no KV cache is held.
    Decode,
}

impl PlannedStage {
    /// The stage alone.
    pub fn stage(self) -> Stage {
        match self {
            PlannedStage::Prefill { .. } => Stage::Prefill,
            PlannedStage::Decode => Stage::Decode,
        }
    }
}

/// Where a queued request would start.
pub(super) struct Route {
    /// The worker.
    pub worker: WorkerId,
    /// What it would be asked to do.
    pub stage: PlannedStage,
    /// Decode workers that could take the request after its prefill, the unified ones included.
    decode_worker_count: usize,
}

impl Route {
    /// The route of a queued request; `None` while no worker is eligible.
    ///
    /// Short prompts go to a unified worker without a prefill, where there is one; all do where no prefill
    /// worker is left and others can process prompts.
    pub fn choose(context: DecisionContext<'_>, request: &Request) -> Option<Route> {
        let unified_workers = eligible_workers(context, Role::Unified, request);
        let decode_workers = eligible_workers(context, Role::Decode, request);
        let decode_worker_count = decode_workers.len() + unified_workers.len();
        // A prefill that no decode worker can take over would only fill the prefill workers' memory.
        if decode_worker_count == 0 {
            return None;
        }
        let prefill_workers = eligible_workers(context, Role::Prefill, request);
        let average_prompt = context.latency.prompt_tokens().value_or(0.0);
        let is_short = request.spec.prompt_tokens as f64 <= average_prompt;
        let no_prefill_worker = prefill_workers.is_empty();
        let to_unified = !unified_workers.is_empty() && (is_short || no_prefill_worker);
        if to_unified || no_prefill_worker && context.settings.decode_can_prefill {
            let worker = DecodeChooser::new(context, request).choose(None)?;
            return Some(Route { worker, stage: PlannedStage::Decode, decode_worker_count });
        }
        let time_budget = context.first_token_objective(request) as f64 * PREFILL_SHARE;
        let chooser = PrefillChooser::new(context, &request.spec, &prefill_workers);
        let PrefillChoice { worker, uncached_tokens } = chooser.choose(time_budget)?;
        Some(Route { worker, stage: PlannedStage::Prefill { uncached_tokens }, decode_worker_count })
    }
}

/// What to do with a queued request now.
pub(super) enum Admission {
    /// Send it.
    Start,
    /// Leave it in the queue: it may still be in time later.
    Wait,
    /// Reject it at once.
    Reject(EndReason),
}

/// The times that a request would take on a route, in microseconds.
struct Feasibility<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    route: &'a Route,
    objective: f64,
    prompt_tokens: f64,
    uncached_tokens: f64,
    /// Prompt tokens that wait at the route's worker.
    queued_tokens: f64,
    relative_slowness: f64,
}

/// Decides whether a queued request starts on its route now: it does if both stages can be in time. It waits
/// while that may come, and is rejected when it cannot or when it is the least important.
pub(super) fn decide(context: DecisionContext<'_>, request: &Request, route: &Route) -> Admission {
    let feasibility = Feasibility::new(context, request, route);
    let cannot_start_in_time = feasibility.cannot_start_in_time();
    if feasibility.is_prefill_in_time() && feasibility.is_decode_in_time() && !cannot_start_in_time {
        return Admission::Start;
    }
    if cannot_start_in_time {
        Admission::Reject(EndReason::CannotStartInTime)
    } else if feasibility.is_late() {
        Admission::Reject(EndReason::ObjectiveUnreachable)
    } else if request.quota == QuotaStatus::Exceeded {
        Admission::Reject(EndReason::OverQuota)
    } else {
        Admission::Wait
    }
}

impl<'a> Feasibility<'a> {
    fn new(context: DecisionContext<'a>, request: &'a Request, route: &'a Route) -> Self {
        let uncached_tokens = match route.stage {
            PlannedStage::Prefill { uncached_tokens } => uncached_tokens,
            PlannedStage::Decode => 0.0,
        };
        let worker = context.membership.get(&route.worker);
        let estimator = LoadEstimator::new(context);
        Feasibility {
            context,
            request,
            route,
            objective: context.first_token_objective(request) as f64,
            prompt_tokens: request.spec.prompt_tokens as f64,
            uncached_tokens,
            queued_tokens: worker.map_or(0.0, |worker| estimator.queued_tokens(worker, 0.0)),
            relative_slowness: worker.map_or(1.0, |worker| context.relative_slowness(worker)),
        }
    }

    /// What a prefill of this work takes, with the one that may be in progress.
    fn prefill_time(&self, work: f64) -> f64 {
        let latency = self.context.latency;
        let in_progress = latency.uncached_tokens().value_or(0.0);
        latency.prefill_time_per_token().value_or(0.0) * (work + in_progress) * self.relative_slowness
    }

    /// What a first token takes after a prefill of this work, with the one that may be in progress.
    fn first_token_time(&self, work: f64) -> f64 {
        let latency = self.context.latency;
        let time_per_token = match self.route.stage {
            PlannedStage::Prefill { .. } => latency.first_token_time_per_token(),
            PlannedStage::Decode => latency.decode_time_per_token(Distance::Remote),
        };
        time_per_token.value_or(0.0) * (work + latency.prompt_tokens().value_or(0.0))
    }

    /// Prompt tokens of the requests that have started, but whose stream has not.
    fn started_prompts(&self) -> impl Iterator<Item = f64> {
        let is_started = |request: &&Request| {
            matches!(
                request.phase(),
                RequestPhase::Prefilling
                    | RequestPhase::AwaitingDecode { .. }
                    | RequestPhase::DecodeRequested { .. }
            )
        };
        let requests = self.context.requests.iter().map(|(_, request)| request);
        requests.filter(is_started).map(|request| request.spec.prompt_tokens as f64)
    }

    fn is_prefill_in_time(&self) -> bool {
        let time = self.prefill_time(self.queued_tokens + self.uncached_tokens);
        self.queued_tokens == 0.0 || time <= self.objective * PREFILL_SHARE
    }

    fn is_decode_in_time(&self) -> bool {
        let decode_workers = self.route.decode_worker_count;
        let queue_per_worker = self.started_prompts().sum::<f64>() / decode_workers.max(1) as f64;
        let time = self.first_token_time(queue_per_worker + self.prompt_tokens);
        self.started_prompts().count() < decode_workers || time <= self.objective * ATTEMPT_SHARE
    }

    /// Whether the answer cannot begin before the client leaves, so that a prefill would be wasted.
    ///
    /// Guards against short client deadlines and long prompts; could reject too much while latencies are
    /// learned from congestion that has just ended. Hence a request is tried all the same while no other has
    /// started, or latencies would never be learned again.
    fn cannot_start_in_time(&self) -> bool {
        let time_left = self.request.spec.deadline.saturating_sub(self.context.now) as f64;
        let prefill_time = self.prefill_time(self.queued_tokens + self.uncached_tokens);
        let time = prefill_time + self.first_token_time(self.prompt_tokens);
        self.started_prompts().next().is_some() && time > time_left
    }

    /// Whether the request would miss its latency objective even if it were served alone from now on. One
    /// that takes longer than its objective by itself is late anywhere: it may wait for as long again.
    fn is_late(&self) -> bool {
        let waited = (self.context.now - self.request.received_at) as f64;
        let alone = self.prefill_time(self.uncached_tokens) + self.first_token_time(self.prompt_tokens);
        let limit = if alone > self.objective { MAX_TIME_OVER_ALONE * alone } else { self.objective };
        waited + alone > limit
    }
}
