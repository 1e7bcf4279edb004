//! Admission control: routes a queued request and decides whether it starts now, stays in the queue or is
//! rejected.

use super::context::DecisionContext;
use super::decode_choice::DecodeChooser;
use super::eligibility::eligible_workers;
use super::load_estimator::LoadEstimator;
use super::prefill_choice::{PrefillChoice, PrefillChooser};
use super::request::{Request, RequestPhase};
use super::tenant_quotas::QuotaStatus;
use super::worker::Distance;
use super::{ATTEMPT_OBJECTIVE_SHARE, PREFILL_OBJECTIVE_SHARE};
use crate::interface::{EndReason, Role, Stage, WorkerId};

/// A request whose unloaded latency exceeds its latency objective may take this multiple of that latency,
/// waiting included.
const MAX_UNLOADED_LATENCY_MULTIPLE: f64 = 2.0;

/// The stage of a planned attempt, with the amount of work that is known for it.
#[derive(Clone, Copy)]
pub(super) enum PlannedStage {
    /// A prefill, with the number of prompt tokens that are presumed not to be cached at its worker.
    Prefill { uncached_tokens: f64 },
    /// A decode. Without a held KV cache, the worker processes the prompt itself.
    Decode,
}

impl PlannedStage {
    /// The stage without the amount of work.
    pub fn stage(self) -> Stage {
        match self {
            PlannedStage::Prefill { .. } => Stage::Prefill,
            PlannedStage::Decode => Stage::Decode,
        }
    }
}

/// The first worker and stage of a queued request.
pub(super) struct Route {
    pub worker: WorkerId,
    /// The stage that the worker would run.
    pub stage: PlannedStage,
    /// Number of eligible decode workers, including unified workers.
    decode_worker_count: usize,
}

impl Route {
    /// Routes a queued request; `None` while no worker is eligible.
    ///
    /// Prompts of at most average length skip the prefill stage if a unified worker is eligible. If no
    /// prefill worker is eligible, all prompts skip it, provided that unified or decode workers can process
    /// prompts.
    pub fn choose(context: DecisionContext<'_>, request: &Request) -> Option<Route> {
        let unified_workers = eligible_workers(context, Role::Unified, request);
        let decode_workers = eligible_workers(context, Role::Decode, request);
        let decode_worker_count = decode_workers.len() + unified_workers.len();
        // Without a decode worker, the KV cache of a prefill would only occupy space at the prefill worker.
        if decode_worker_count == 0 {
            return None;
        }
        let prefill_workers = eligible_workers(context, Role::Prefill, request);
        let average_prompt_tokens = context.latency.prompt_tokens().value_or(0.0);
        let is_short = request.spec.prompt_tokens as f64 <= average_prompt_tokens;
        let no_prefill_worker = prefill_workers.is_empty();
        let prefers_unified = !unified_workers.is_empty() && (is_short || no_prefill_worker);
        if prefers_unified || no_prefill_worker && context.settings.decode_can_prefill {
            let worker = DecodeChooser::new(context, request).choose(None)?;
            return Some(Route { worker, stage: PlannedStage::Decode, decode_worker_count });
        }
        let time_budget = context.first_token_objective(request) as f64 * PREFILL_OBJECTIVE_SHARE;
        let chooser = PrefillChooser::new(context, &request.spec, &prefill_workers);
        let PrefillChoice { worker, uncached_tokens } = chooser.choose(time_budget)?;
        Some(Route { worker, stage: PlannedStage::Prefill { uncached_tokens }, decode_worker_count })
    }
}

/// What happens to a queued request now.
pub(super) enum Admission {
    /// Send the request now.
    Start,
    /// Keep the request in the queue, as it may still meet its latency objective.
    Wait,
    /// Reject the request immediately.
    Reject(EndReason),
}

/// Latency estimates for a request on a route, in microseconds.
struct RouteEstimate<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    route: &'a Route,
    objective: f64,
    prompt_tokens: f64,
    uncached_tokens: f64,
    /// Prompt tokens queued at the route's worker.
    queued_tokens: f64,
    relative_slowness: f64,
}

/// Decides whether a queued request starts on its route now.
///
/// The request starts if both stages fit into the latency objective. Otherwise it stays queued, unless it can
/// no longer meet its deadline or its objective, or its tenant is over quota: then it is rejected.
pub(super) fn decide(context: DecisionContext<'_>, request: &Request, route: &Route) -> Admission {
    let estimate = RouteEstimate::new(context, request, route);
    let cannot_start_in_time = estimate.cannot_start_in_time();
    if estimate.fits_prefill_budget() && estimate.fits_decode_budget() && !cannot_start_in_time {
        return Admission::Start;
    }
    if cannot_start_in_time {
        Admission::Reject(EndReason::CannotStartInTime)
    } else if estimate.cannot_meet_objective() {
        Admission::Reject(EndReason::ObjectiveUnreachable)
    } else if request.quota == QuotaStatus::Exceeded {
        Admission::Reject(EndReason::OverQuota)
    } else {
        Admission::Wait
    }
}

impl<'a> RouteEstimate<'a> {
    fn new(context: DecisionContext<'a>, request: &'a Request, route: &'a Route) -> Self {
        let uncached_tokens = match route.stage {
            PlannedStage::Prefill { uncached_tokens } => uncached_tokens,
            PlannedStage::Decode => 0.0,
        };
        let worker = context.membership.get(&route.worker);
        let estimator = LoadEstimator::new(context);
        RouteEstimate {
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

    /// Time to process `work` tokens at the route's worker, after the prefill that may be in progress there.
    fn prefill_time(&self, work: f64) -> f64 {
        let latency = self.context.latency;
        let in_progress = latency.uncached_tokens().value_or(0.0);
        latency.prefill_time_per_token().value_or(0.0) * (work + in_progress) * self.relative_slowness
    }

    /// Time from the end of the prefill to the first token, with `work` prompt tokens to fetch or process and
    /// an average prompt that may be in progress.
    fn first_token_time(&self, work: f64) -> f64 {
        let latency = self.context.latency;
        let time_per_token = match self.route.stage {
            PlannedStage::Prefill { .. } => latency.first_token_time_per_token(),
            PlannedStage::Decode => latency.decode_time_per_token(Distance::Remote),
        };
        time_per_token.value_or(0.0) * (work + latency.prompt_tokens().value_or(0.0))
    }

    /// Prompt tokens of each request that has started but has no response stream yet.
    fn prompts_awaiting_first_token(&self) -> impl Iterator<Item = f64> {
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

    /// Whether the worker has no queue or the prefill fits into its share of the latency objective.
    fn fits_prefill_budget(&self) -> bool {
        let time = self.prefill_time(self.queued_tokens + self.uncached_tokens);
        self.queued_tokens == 0.0 || time <= self.objective * PREFILL_OBJECTIVE_SHARE
    }

    /// Whether fewer requests await their first token than there are decode workers, or this first token fits
    /// into its share of the latency objective.
    fn fits_decode_budget(&self) -> bool {
        let decode_workers = self.route.decode_worker_count;
        let queue_per_worker =
            self.prompts_awaiting_first_token().sum::<f64>() / decode_workers.max(1) as f64;
        let time = self.first_token_time(queue_per_worker + self.prompt_tokens);
        self.prompts_awaiting_first_token().count() < decode_workers
            || time <= self.objective * ATTEMPT_OBJECTIVE_SHARE
    }

    /// Whether the first token would come after the client's deadline, so that a prefill would be wasted, as
    /// happens with short deadlines and long prompts.
    ///
    /// Latencies learned during congestion that has just ended can make this reject too many requests. While
    /// no other request has started, one is therefore always let through: without any attempt, the latencies
    /// would never be learned again.
    fn cannot_start_in_time(&self) -> bool {
        let time_left = self.request.spec.deadline.saturating_sub(self.context.now) as f64;
        let prefill_time = self.prefill_time(self.queued_tokens + self.uncached_tokens);
        let time = prefill_time + self.first_token_time(self.prompt_tokens);
        self.prompts_awaiting_first_token().next().is_some() && time > time_left
    }

    /// Whether the request would miss its latency objective even on an unloaded worker, if it started now.
    ///
    /// A prompt whose unloaded latency exceeds the objective would miss it on any worker. Its limit is
    /// [`MAX_UNLOADED_LATENCY_MULTIPLE`] times that latency instead.
    fn cannot_meet_objective(&self) -> bool {
        let waited = (self.context.now - self.request.received_at) as f64;
        let unloaded = self.prefill_time(self.uncached_tokens) + self.first_token_time(self.prompt_tokens);
        let limit =
            if unloaded > self.objective { MAX_UNLOADED_LATENCY_MULTIPLE * unloaded } else { self.objective };
        waited + unloaded > limit
    }
}
