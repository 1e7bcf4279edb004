//! Requests in progress, their phases and their attempts.

use super::tenant_quotas::QuotaStatus;
use super::worker::{Distance, TrafficKey};
use crate::interface::{
    Action, AttemptIndex, Class, Micros, Outcome, RequestId, RequestSpec, Stage, WorkerId,
};
use std::collections::BTreeMap;

/// Health checks that one request may cause: of the chosen prefill worker, and of two that may stand in.
const MAX_HEALTH_CHECKS: u32 = 3;

/// The hold of a KV cache that a prefill left at its worker.
#[derive(Clone)]
pub(super) struct CacheHold {
    /// The prefill worker that holds it.
    pub worker: WorkerId,
    /// Since when no attempt that reached a worker has been in flight: the hold limit counts from here.
    pub idle_since: Micros,
}

/// How far a request has come.
pub(super) enum RequestPhase {
    /// No attempt is in flight and no KV cache is held.
    Queued,
    /// A prefill attempt is in flight.
    Prefilling,
    /// The KV cache waits at a prefill worker; no attempt is in flight.
    AwaitingDecode { cache: CacheHold },
    /// A decode attempt is in flight. Without a cache to fetch, the worker processes the prompt itself.
    DecodeRequested { cache: Option<CacheHold> },
    /// The answer is streaming to the client.
    Streaming,
    /// The request has its final answer, or its client has left; attempts may still be in flight.
    Answered,
}

impl RequestPhase {
    /// The hold of the request's KV cache, if one is held.
    pub fn cache_hold(&self) -> Option<&CacheHold> {
        match self {
            RequestPhase::AwaitingDecode { cache } => Some(cache),
            RequestPhase::DecodeRequested { cache } => cache.as_ref(),
            _ => None,
        }
    }

    fn into_cache_hold(self) -> Option<CacheHold> {
        match self {
            RequestPhase::AwaitingDecode { cache } => Some(cache),
            RequestPhase::DecodeRequested { cache } => cache,
            _ => None,
        }
    }

    /// Whether the answer has at least begun, so that nothing more may be sent for the request.
    pub fn is_answer_started(&self) -> bool {
        matches!(self, RequestPhase::Streaming | RequestPhase::Answered)
    }
}

/// Names one attempt of one request.
pub(super) type AttemptKey = (RequestId, AttemptIndex);

/// What the policy knows of one attempt of a request at a worker.
#[derive(Clone)]
pub(super) struct TrackedAttempt {
    /// The worker.
    pub worker: WorkerId,
    /// What it was asked to do.
    pub stage: Stage,
    /// How far the KV cache had to travel; [`Distance::Remote`] when there was none.
    pub distance: Distance,
    /// When it was sent.
    pub sent_at: Micros,
    /// When its answer is overdue.
    pub due_at: Micros,
    /// Tokens that it adds to the worker's queue or memory.
    pub tokens: f64,
    /// Tokens to be processed until its answer begins, those queued before it included.
    pub work: f64,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// When its stream started.
    pub started_at: Option<Micros>,
}

impl TrackedAttempt {
    /// Whether it may have had an effect, or still may.
    fn may_have_run(&self) -> bool {
        match self.outcome {
            None => true,
            Some(outcome) => self.stage == Stage::Decode && !outcome.had_no_effect(),
        }
    }
}

/// A request that this router has received.
pub(super) struct Request {
    /// What its client asked for.
    pub spec: RequestSpec,
    /// The index of its class in the settings.
    pub class_index: usize,
    /// When it was received.
    pub received_at: Micros,
    /// Where it stands with its tenant's quota.
    pub quota: QuotaStatus,
    phase: RequestPhase,
    attempts: Vec<TrackedAttempt>,
    health_checks_left: u32,
}

impl Request {
    /// A request that has just been received.
    pub fn new(spec: RequestSpec, class_index: usize, received_at: Micros, quota: QuotaStatus) -> Self {
        let (phase, attempts) = (RequestPhase::Queued, Vec::new());
        let health_checks_left = MAX_HEALTH_CHECKS;
        Request { spec, class_index, received_at, quota, phase, attempts, health_checks_left }
    }

    /// How far it has come.
    pub fn phase(&self) -> &RequestPhase {
        &self.phase
    }

    /// Its attempts in the order of sending.
    pub fn attempts(&self) -> &[TrackedAttempt] {
        &self.attempts
    }

    /// Takes one of the health checks that it may cause; `None` when none is left.
    pub fn take_health_check(&mut self) -> Option<()> {
        self.health_checks_left = self.health_checks_left.checked_sub(1)?;
        Some(())
    }

    /// The attempts without an outcome.
    pub fn in_flight(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether some attempt may have had an effect, or still may.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(TrackedAttempt::may_have_run)
    }

    /// Whether some decode worker did not start its stream in time.
    pub fn has_decode_timeout(&self) -> bool {
        self.attempts.iter().any(|a| a.stage == Stage::Decode && a.outcome == Some(Outcome::TimedOut))
    }

    /// Whether a decode attempt was sent to this worker before.
    pub fn was_decoded_at(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|a| a.stage == Stage::Decode && a.worker == *worker)
    }

    /// What workers may distinguish when they reject: class and tenant.
    pub fn traffic_key(&self) -> TrafficKey {
        TrafficKey { class_index: self.class_index, tenant: self.spec.tenant.clone() }
    }

    /// How many tokens the answer is expected to add to the KV cache: by the client's estimate where there is
    /// one, else half of what it may have.
    pub fn expected_output_tokens(&self, class: &Class) -> f64 {
        let half = self.spec.max_tokens as f64 / 2.0;
        match self.spec.expected_decode_time {
            Some(estimate) if class.inter_token_objective > 0 => {
                (estimate as f64 / class.inter_token_objective as f64).min(half * 2.0)
            }
            _ => half,
        }
    }

    /// Records an attempt that has just been sent, and returns its index. A decode attempt keeps the held KV
    /// cache.
    pub fn begin_attempt(&mut self, attempt: TrackedAttempt) -> AttemptIndex {
        let cache = std::mem::replace(&mut self.phase, RequestPhase::Queued).into_cache_hold();
        self.phase = match attempt.stage {
            Stage::Prefill => RequestPhase::Prefilling,
            Stage::Decode => RequestPhase::DecodeRequested { cache },
        };
        let index = AttemptIndex(self.attempts.len() as u32);
        self.attempts.push(attempt);
        index
    }

    /// Records the start of an attempt's stream: the worker has fetched the KV cache by then. Returns the
    /// attempt, if there is one of that index.
    pub fn start_stream(&mut self, index: AttemptIndex, now: Micros) -> Option<TrackedAttempt> {
        let attempt = self.attempts.get_mut(index.0 as usize)?;
        attempt.started_at = Some(now);
        if !matches!(self.phase, RequestPhase::Answered) {
            self.phase = RequestPhase::Streaming;
        }
        Some(attempt.clone())
    }

    /// Records an attempt's outcome. Returns the attempt as it was before, or `None` if there is none of that
    /// index or it has already ended.
    pub fn end_attempt(
        &mut self,
        index: AttemptIndex,
        outcome: Outcome,
        now: Micros,
    ) -> Option<TrackedAttempt> {
        let attempt = self.attempts.get_mut(index.0 as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        let ended = attempt.clone();
        attempt.outcome = Some(outcome);
        if matches!(self.phase, RequestPhase::Answered) {
            return Some(ended);
        }
        let held = std::mem::replace(&mut self.phase, RequestPhase::Queued).into_cache_hold();
        let cache = match outcome {
            Outcome::PrefillCompleted => Some(CacheHold { worker: ended.worker.clone(), idle_since: now }),
            Outcome::CacheMissing => None,
            // An attempt that reached no worker did not fetch the cache: the hold limit runs on.
            Outcome::ConnectFailed | Outcome::NotSent => held,
            _ => held.map(|cache| CacheHold { idle_since: now, ..cache }),
        };
        self.phase = cache.map_or(RequestPhase::Queued, |cache| RequestPhase::AwaitingDecode { cache });
        Some(ended)
    }

    /// Assumes that an ended attempt left a KV cache or a slot behind, so that closing the request releases
    /// it.
    pub fn assume_cache_at(&mut self, worker: WorkerId, now: Micros) {
        self.phase = RequestPhase::AwaitingDecode { cache: CacheHold { worker, idle_since: now } };
    }
}

/// All requests in progress, in the order of their numbers.
#[derive(Default)]
pub(super) struct Requests {
    requests: BTreeMap<RequestId, Request>,
}

impl Requests {
    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, request: Request) {
        self.requests.insert(request.spec.request, request);
    }

    /// The request of this number.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// The request of this number, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// All requests with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// All attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.requests.values().flat_map(Request::in_flight)
    }

    /// An attempt, if it is in flight.
    pub fn in_flight_attempt(&self, (id, index): AttemptKey) -> Option<&TrackedAttempt> {
        let attempt = self.requests.get(&id)?.attempts.get(index.0 as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }

    /// Releases the KV cache that is held for a request, which is queued again.
    pub fn release_cache(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase.cache_hold().is_some() {
            out.push(Action::ReleaseCache { request: id });
        }
        request.phase = RequestPhase::Queued;
    }

    /// Closes a request that has its final answer or whose client has left: cancels its attempts where that
    /// is allowed and releases what is held for it. It is forgotten once no attempt is in flight.
    pub fn close(&mut self, id: RequestId, cancellation_allowed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Answered);
        if cancellation_allowed {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() && attempt.started_at.is_none() {
                    let attempt = AttemptIndex(index as u32);
                    out.push(Action::CancelAttempt { request: id, attempt });
                }
            }
        }
        if phase.cache_hold().is_some() {
            out.push(Action::ReleaseCache { request: id });
        }
        if request.in_flight().next().is_none() {
            self.requests.remove(&id);
        }
    }
}
