//! The plan of one attempt: whether every rule allows it, and its timeout.

use super::admission::PlannedStage;
use super::context::DecisionContext;
use super::load_estimator::LoadEstimator;
use super::request::{Request, TrackedAttempt};
use super::retry;
use super::worker::{Distance, Worker};
use super::{ATTEMPT_SHARE, PREFILL_SHARE};
use crate::interface::{Idempotency, Micros, RequestId, Stage, WorkerId};

/// An attempt is overdue at this multiple of what it should take: more than other routers' queues explain.
const OVERDUE_MULTIPLE: f64 = 4.0;

/// A prefill is overdue at this multiple of what it takes if nothing of its prompt is cached, at the least.
const WHOLE_PROMPT_MULTIPLE: f64 = 2.0;

/// An attempt that may be sent.
pub(super) struct AttemptPlan {
    /// The attempt.
    pub attempt: TrackedAttempt,
    /// Its timeout; `None`: the client's deadline.
    pub timeout: Option<Micros>,
    /// Its first byte must be written before this, so that it arrives inside its deduplication window.
    pub deduplication_deadline: Option<Micros>,
}

impl AttemptPlan {
    /// The plan of sending a request to a worker, if every rule allows it: no answer yet, the worker in
    /// service, attempts left, none in flight, no effect twice.
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
        let due = estimate.time_until_due();
        let class = context.class(request);
        // Once such a decode attempt may have run, no retry is possible, or only inside its deduplication
        // window. So it is not timed out for one: it gets all the time that is left to the client's deadline.
        let is_retry_restricted =
            planned.stage() == Stage::Decode && class.idempotency != Idempotency::Idempotent;
        let retry_deadline = retry::retry_deadline(context, request, worker);
        let attempt = TrackedAttempt {
            worker: worker_id.clone(),
            stage: planned.stage(),
            distance: estimate.distance,
            sent_at: context.now,
            due_at: context.now + due,
            tokens: estimate.tokens,
            work: estimate.work,
            outcome: None,
            started_at: None,
        };
        Some(AttemptPlan {
            attempt,
            timeout: (!is_retry_restricted).then_some(due),
            deduplication_deadline: retry_deadline.filter(|_| request.may_have_run()),
        })
    }
}

/// Whether a request may be sent to a worker now.
fn is_allowed(context: DecisionContext<'_>, request: &Request, worker: &Worker) -> bool {
    let may_run_again = !request.may_have_run() || retry::may_retry_at(context, request, worker);
    let has_attempts_left = (request.attempts().len() as u32) < context.settings.max_attempts;
    let has_attempt_in_flight = request.in_flight().next().is_some();
    !request.phase().is_answer_started()
        && may_run_again
        && has_attempts_left
        && !has_attempt_in_flight
        && worker.is_ready()
}

/// What an attempt should take.
struct AttemptEstimate<'a> {
    context: DecisionContext<'a>,
    request: &'a Request,
    stage: Stage,
    distance: Distance,
    /// Tokens that the attempt adds to the worker's queue or memory.
    tokens: f64,
    /// Tokens to be processed until its answer begins, those queued before it included.
    work: f64,
    /// Prompt tokens that are not presumed to be cached at the worker; all of them for a decode.
    uncached_tokens: f64,
    /// Time for each token of work.
    time_per_token: f64,
    /// How much longer the worker takes than the median worker of its role; at least 1.
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
        let holder = request.phase().cache_hold().and_then(|cache| context.membership.get(&cache.worker));
        let distance = holder.map_or(Distance::Remote, |holder| holder.distance_to(worker));
        let (uncached_tokens, tokens, work, time_per_token) = match planned {
            PlannedStage::Prefill { uncached_tokens } => {
                let queued_tokens = LoadEstimator::new(context).queued_tokens(worker, 0.0);
                let in_progress = latency.uncached_tokens().value_or(prompt_tokens);
                let work = queued_tokens + uncached_tokens + in_progress;
                (uncached_tokens, uncached_tokens, work, latency.prefill_time_per_token())
            }
            PlannedStage::Decode => {
                let queued = context.in_flight_at(worker).filter(|a| a.started_at.is_none());
                let queued_tokens = queued.map(|attempt| attempt.tokens).sum::<f64>();
                let work = queued_tokens + prompt_tokens + latency.prompt_tokens().value_or(0.0);
                let tokens = prompt_tokens + request.expected_output_tokens(context.class(request));
                (prompt_tokens, tokens, work, latency.decode_time_per_token(distance))
            }
        };
        AttemptEstimate {
            context,
            request,
            stage: planned.stage(),
            distance,
            tokens,
            work,
            uncached_tokens,
            time_per_token: time_per_token.value_or(0.0),
            relative_slowness: context.relative_slowness(worker),
        }
    }

    /// When the attempt is overdue: well past what its work takes, but leaving as long again for another
    /// attempt.
    fn time_until_due(&self) -> Micros {
        let doublings = self.context.timeout_backoff.doublings(self.stage);
        let expected = (self.processing_time(self.work) as Micros) << doublings.saturating_sub(1);
        // The cached tokens may have been evicted: a prefill may have to process the whole prompt.
        let whole_work = self.work + self.prompt_tokens() - self.uncached_tokens;
        let whole = (WHOLE_PROMPT_MULTIPLE * self.processing_time(whole_work)) as Micros;
        let overdue = whole.max((OVERDUE_MULTIPLE * expected as f64) as Micros);
        let due = self.context.settings.connect_timeout.saturating_add(overdue).max(self.least_timeout());
        // Recent prefill timeouts show congestion, and the workers continue with those prefills: the next one
        // gets more time.
        let due = match self.stage {
            Stage::Prefill => due.saturating_mul(1 << doublings),
            Stage::Decode => due,
        };
        // Where the time left doesn't hold two attempts of this length, a single long one has the better
        // chance.
        let time_left = self.time_left();
        if time_left / 2 > expected { due.min(time_left - expected) } else { time_left }
    }

    /// The least timeout: the stage's share of the latency objective.
    ///
    /// A prefill worker continues with a prefill after its timeout. Hence, where load can't be observed and
    /// another prefill would be late too, this one has all the time but what another one needs. Guards
    /// against congestion by long prompts.
    fn least_timeout(&self) -> Micros {
        let objective = self.context.first_token_objective(self.request) as f64;
        let is_unobservable = self.stage == Stage::Prefill && self.context.settings.is_load_unobservable();
        let share = objective * if is_unobservable { PREFILL_SHARE } else { ATTEMPT_SHARE };
        let retry_time = self.retry_time(objective);
        let waited = (self.context.now - self.request.received_at) as f64;
        let is_retry_late = waited + share + retry_time > objective;
        let least =
            if is_unobservable && is_retry_late { self.time_left() as f64 - retry_time } else { share };
        least as Micros
    }

    /// What another attempt at the whole prompt takes, as measured or as the objective grants for its length,
    /// and a first token after it.
    fn retry_time(&self, objective: f64) -> f64 {
        let latency = self.context.latency;
        let prompt_tokens = self.prompt_tokens();
        let measured = self.time_per_token * (prompt_tokens + latency.uncached_tokens().value_or(0.0));
        let granted = objective - self.context.class(self.request).first_token_objective as f64;
        let first_token_work = prompt_tokens + latency.prompt_tokens().value_or(0.0);
        measured.max(granted) + latency.first_token_time_per_token().value_or(0.0) * first_token_work
    }

    fn processing_time(&self, work: f64) -> f64 {
        self.time_per_token * work * self.relative_slowness
    }

    fn prompt_tokens(&self) -> f64 {
        self.request.spec.prompt_tokens as f64
    }

    fn time_left(&self) -> Micros {
        self.request.spec.deadline.saturating_sub(self.context.now)
    }
}
