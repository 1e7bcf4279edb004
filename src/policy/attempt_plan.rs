//! Planning of an attempt: whether it is allowed, and its timeout.

use super::admission::PlannedStage;
use super::context::DecisionContext;
use super::load_estimator::LoadEstimator;
use super::request::{Request, TrackedAttempt};
use super::retry;
use super::worker::{Distance, Worker};
use super::{ATTEMPT_OBJECTIVE_SHARE, PREFILL_OBJECTIVE_SHARE};
use crate::interface::{Idempotency, Micros, RequestId, Stage, WorkerId};

/// An attempt is overdue after this multiple of its expected duration, which is more than the queues of other
/// routers can account for.
const OVERDUE_MULTIPLE: f64 = 4.0;

/// A prefill is overdue no earlier than after this multiple of its expected duration without cached tokens.
const UNCACHED_OVERDUE_MULTIPLE: f64 = 2.0;

/// An attempt that may be sent.
pub(super) struct AttemptPlan {
    pub attempt: TrackedAttempt,
    /// The attempt's timeout; `None`: only the client's deadline limits it.
    pub timeout: Option<Micros>,
    /// No byte of the attempt may be written from this time on, so that it arrives inside the deduplication
    /// window of the earlier attempts; `None`: no limit.
    pub deduplication_deadline: Option<Micros>,
}

impl AttemptPlan {
    /// Plans an attempt of a request at a worker; `None` if it is not allowed: the response has started, the
    /// worker is not ready, no attempts are left, one is in flight, or the request could run twice.
    pub fn new(
        context: DecisionContext<'_>,
        id: RequestId,
        worker_id: &WorkerId,
        planned: PlannedStage,
    ) -> Option<AttemptPlan> {
        let request = context.requests.get(id)?;
        let worker = context.membership.get(worker_id)?;
        if !is_allowed(context, request, worker) {
            return None;
        }
        let estimate = AttemptEstimate::new(context, request, worker, planned);
        let overdue_after = estimate.overdue_after();
        let class = context.class(request);
        // Once a decode attempt of such a request may have run, it can't be retried, or only within its
        // deduplication window. It is therefore not timed out in favour of a retry: it gets all the time
        // until the client's deadline.
        let is_retry_restricted =
            planned.stage() == Stage::Decode && class.idempotency != Idempotency::Idempotent;
        let retry_deadline = retry::retry_deadline(context, request, worker);
        let attempt = TrackedAttempt {
            worker: worker_id.clone(),
            stage: planned.stage(),
            distance: estimate.distance,
            sent_at: context.now,
            overdue_at: context.now + overdue_after,
            added_tokens: estimate.added_tokens,
            work_tokens: estimate.work_tokens,
            outcome: None,
            stream_started_at: None,
        };
        Some(AttemptPlan {
            attempt,
            timeout: (!is_retry_restricted).then_some(overdue_after),
            deduplication_deadline: retry_deadline.filter(|_| request.may_have_run()),
        })
    }
}

/// Whether an attempt of a request at a worker is allowed now.
fn is_allowed(context: DecisionContext<'_>, request: &Request, worker: &Worker) -> bool {
    let may_run_again = !request.may_have_run() || retry::may_retry_at(context, request, worker);
    let has_attempts_left = (request.attempts().len() as u32) < context.settings.max_attempts;
    let has_attempt_in_flight = request.in_flight().next().is_some();
    !request.phase().is_streaming_or_closed()
        && may_run_again
        && has_attempts_left
        && !has_attempt_in_flight
        && worker.is_ready()
}

/// Work and expected duration of an attempt.
struct AttemptEstimate<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    stage: Stage,
    distance: Distance,
    /// Tokens that the attempt adds to the worker's queue or KV cache.
    added_tokens: f64,
    /// Tokens to process until its response starts, including those queued before it.
    work_tokens: f64,
    /// Prompt tokens that are presumed not to be cached at the worker; all of them for a decode.
    uncached_tokens: f64,
    /// Time per token of work, in microseconds.
    time_per_token: f64,
    /// Latency of the worker relative to the median worker of its role; at least 1.
    relative_slowness: f64,
}

impl<'a> AttemptEstimate<'a> {
    fn new(
        context: DecisionContext<'a>,
        request: &'a Request,
        worker: &'a Worker,
        planned: PlannedStage,
    ) -> Self {
        let latency = context.latency;
        let prompt_tokens = request.spec.prompt_tokens as f64;
        let holder = request.phase().held_cache().and_then(|cache| context.membership.get(&cache.worker));
        let distance = holder.map_or(Distance::Remote, |holder| holder.distance_to(worker));
        let (uncached_tokens, added_tokens, work_tokens, time_per_token) = match planned {
            PlannedStage::Prefill { uncached_tokens } => {
                let queued_tokens = LoadEstimator::new(context).queued_tokens(worker, 0.0);
                let in_progress_tokens = latency.uncached_tokens().value_or(prompt_tokens);
                let work_tokens = queued_tokens + uncached_tokens + in_progress_tokens;
                (uncached_tokens, uncached_tokens, work_tokens, latency.prefill_time_per_token())
            }
            PlannedStage::Decode => {
                let queued = context.in_flight_at(worker).filter(|a| a.stream_started_at.is_none());
                let queued_tokens = queued.map(|attempt| attempt.added_tokens).sum::<f64>();
                let work_tokens = queued_tokens + prompt_tokens + latency.prompt_tokens().value_or(0.0);
                let added_tokens = prompt_tokens + request.expected_output_tokens(context.class(request));
                (prompt_tokens, added_tokens, work_tokens, latency.decode_time_per_token(distance))
            }
        };
        AttemptEstimate {
            context,
            request,
            stage: planned.stage(),
            distance,
            added_tokens,
            work_tokens,
            uncached_tokens,
            time_per_token: time_per_token.value_or(0.0),
            relative_slowness: context.relative_slowness(worker),
        }
    }

    /// The time after which the attempt is overdue: well past its expected duration, but early enough for
    /// another attempt of the expected duration.
    fn overdue_after(&self) -> Micros {
        let doublings = self.context.timeout_backoff.doublings(self.stage);
        let expected = (self.processing_time(self.work_tokens) as Micros) << doublings.saturating_sub(1);
        // The cached tokens may have been evicted, in which case a prefill processes the whole prompt.
        let uncached_work_tokens = self.work_tokens + self.prompt_tokens() - self.uncached_tokens;
        let uncached_overdue =
            (UNCACHED_OVERDUE_MULTIPLE * self.processing_time(uncached_work_tokens)) as Micros;
        let overdue = uncached_overdue.max((OVERDUE_MULTIPLE * expected as f64) as Micros);
        let overdue = self.context.settings.connect_timeout.saturating_add(overdue).max(self.min_timeout());
        // Recent prefill timeouts indicate congestion, and the workers continue with the prefills that timed
        // out. The next prefill gets more time.
        let overdue = match self.stage {
            Stage::Prefill => overdue.saturating_mul(1 << doublings),
            Stage::Decode => overdue,
        };
        // If the time left is too short for two attempts, a single long attempt is more likely to succeed.
        let time_left = self.time_left();
        if time_left / 2 > expected { overdue.min(time_left - expected) } else { time_left }
    }

    /// The minimum timeout: the attempt's share of the latency objective.
    ///
    /// A worker continues with a prefill that has timed out, so a retry adds to the congestion that long
    /// prompts cause. If load is unobservable and a retry would miss the objective, too, the prefill
    /// therefore gets all the time left except for the time that a retry needs.
    fn min_timeout(&self) -> Micros {
        let objective = self.context.first_token_objective(self.request) as f64;
        let is_unobservable = self.stage == Stage::Prefill && self.context.settings.is_load_unobservable();
        let share =
            objective * if is_unobservable { PREFILL_OBJECTIVE_SHARE } else { ATTEMPT_OBJECTIVE_SHARE };
        let retry_time = self.retry_time(objective);
        let waited = (self.context.now - self.request.received_at) as f64;
        let is_retry_late = waited + share + retry_time > objective;
        let min_timeout =
            if is_unobservable && is_retry_late { self.time_left() as f64 - retry_time } else { share };
        min_timeout as Micros
    }

    /// The time that a retry needs: a prefill of the whole prompt, and a first token after it. The prefill is
    /// taken to need the learned time or the part of the objective for the prompt's length, whichever is
    /// longer.
    fn retry_time(&self, objective: f64) -> f64 {
        let latency = self.context.latency;
        let prompt_tokens = self.prompt_tokens();
        let learned = self.time_per_token * (prompt_tokens + latency.uncached_tokens().value_or(0.0));
        let length_objective = objective - self.context.class(self.request).first_token_objective as f64;
        let first_token_work_tokens = prompt_tokens + latency.prompt_tokens().value_or(0.0);
        learned.max(length_objective)
            + latency.first_token_time_per_token().value_or(0.0) * first_token_work_tokens
    }

    fn processing_time(&self, work_tokens: f64) -> f64 {
        self.time_per_token * work_tokens * self.relative_slowness
    }

    fn prompt_tokens(&self) -> f64 {
        self.request.spec.prompt_tokens as f64
    }

    fn time_left(&self) -> Micros {
        self.request.spec.deadline.saturating_sub(self.context.now)
    }
}
