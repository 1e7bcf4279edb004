//! Open requests, their phases and their attempts.

use super::tenant_quotas::QuotaStatus;
use super::worker::{Distance, TrafficKey};
use crate::interface::{
    Action, AttemptIndex, Class, Micros, Outcome, RequestId, RequestSpec, Stage, WorkerId,
};
use std::collections::BTreeMap;

/// Health checks that may be sent for one request: one to the chosen prefill worker, and two to alternatives.
const MAX_HEALTH_CHECKS: u32 = 3;

/// A KV cache that is held at the prefill worker for a decode worker to fetch.
#[derive(Clone)]
pub(super) struct HeldCache {
    /// The prefill worker that holds the KV cache.
    pub worker: WorkerId,
    /// End of the last attempt that reached a worker; the hold limit counts from here.
    pub idle_since: Micros,
}

/// The phase of a request.
pub(super) enum RequestPhase {
    /// No attempt is in flight and no KV cache is held.
    Queued,
    /// A prefill attempt is in flight.
    Prefilling,
    /// A KV cache is held at a prefill worker; no attempt is in flight.
    AwaitingDecode { cache: HeldCache },
    /// A decode attempt is in flight. Without a held cache, the worker processes the prompt itself.
    DecodeRequested { cache: Option<HeldCache> },
    /// The response is being streamed to the client.
    Streaming,
    /// The request has its final response, or its client has disconnected; attempts may still be in flight.
    Closed,
}

impl RequestPhase {
    /// The held KV cache, if there is one.
    pub fn held_cache(&self) -> Option<&HeldCache> {
        match self {
            RequestPhase::AwaitingDecode { cache } => Some(cache),
            RequestPhase::DecodeRequested { cache } => cache.as_ref(),
            _ => None,
        }
    }

    fn into_held_cache(self) -> Option<HeldCache> {
        match self {
            RequestPhase::AwaitingDecode { cache } => Some(cache),
            RequestPhase::DecodeRequested { cache } => cache,
            _ => None,
        }
    }

    /// Whether the response has started or the request is closed, so that no further attempt may be sent.
    pub fn is_streaming_or_closed(&self) -> bool {
        matches!(self, RequestPhase::Streaming | RequestPhase::Closed)
    }
}

/// Identifies an attempt.
pub(super) type AttemptKey = (RequestId, AttemptIndex);

/// An attempt of a request at a worker, as the policy tracks it.
#[derive(Clone)]
pub(super) struct TrackedAttempt {
    pub worker: WorkerId,
    pub stage: Stage,
    /// Distance from the held KV cache to the worker; [`Distance::Remote`] if no cache is held.
    pub distance: Distance,
    pub sent_at: Micros,
    /// When the attempt becomes overdue, which counts against the worker's health.
    pub overdue_at: Micros,
    /// Tokens that the attempt adds to the worker's queue or KV cache.
    pub added_tokens: f64,
    /// Tokens that the worker processes until the response starts, including those queued before the attempt.
    pub work_tokens: f64,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
    /// When the response stream started; `None` before that.
    pub stream_started_at: Option<Micros>,
}

impl TrackedAttempt {
    /// Whether the attempt may have had an effect, or still may.
    fn may_have_run(&self) -> bool {
        match self.outcome {
            None => true,
            Some(outcome) => self.stage == Stage::Decode && !outcome.had_no_effect(),
        }
    }
}

/// A request that this router has received.
pub(super) struct Request {
    /// The request as received from the client.
    pub spec: RequestSpec,
    /// The index of the request's class in the settings.
    pub class_index: usize,
    pub received_at: Micros,
    /// Whether the request is within its tenant's quota.
    pub quota: QuotaStatus,
    phase: RequestPhase,
    attempts: Vec<TrackedAttempt>,
    health_checks_left: u32,
}

impl Request {
    /// A queued request without attempts.
    pub fn new(spec: RequestSpec, class_index: usize, received_at: Micros, quota: QuotaStatus) -> Self {
        let (phase, attempts) = (RequestPhase::Queued, Vec::new());
        let health_checks_left = MAX_HEALTH_CHECKS;
        Request { spec, class_index, received_at, quota, phase, attempts, health_checks_left }
    }

    pub fn phase(&self) -> &RequestPhase {
        &self.phase
    }

    /// All attempts of the request, in the order of sending.
    pub fn attempts(&self) -> &[TrackedAttempt] {
        &self.attempts
    }

    /// Uses up one of the health checks allowed for this request; `None` if none is left.
    pub fn take_health_check(&mut self) -> Option<()> {
        self.health_checks_left = self.health_checks_left.checked_sub(1)?;
        Some(())
    }

    /// The attempts of the request that have no outcome yet.
    pub fn in_flight(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether an attempt may have had an effect, or still may.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(TrackedAttempt::may_have_run)
    }

    /// Whether a decode attempt has timed out.
    pub fn has_decode_timeout(&self) -> bool {
        self.attempts.iter().any(|a| a.stage == Stage::Decode && a.outcome == Some(Outcome::TimedOut))
    }

    /// Whether a decode attempt was sent to this worker before.
    pub fn has_decode_attempt_at(&self, worker: &WorkerId) -> bool {
        self.attempts.iter().any(|a| a.stage == Stage::Decode && a.worker == *worker)
    }

    /// The request's class and tenant, by which workers may decide to reject requests.
    pub fn traffic_key(&self) -> TrafficKey {
        TrafficKey { class_index: self.class_index, tenant: self.spec.tenant.clone() }
    }

    /// Expected number of output tokens, which the decode adds to the KV cache: the client's estimate, at
    /// most `max_tokens`; without an estimate, half of `max_tokens`.
    pub fn expected_output_tokens(&self, class: &Class) -> f64 {
        let half = self.spec.max_tokens as f64 / 2.0;
        match self.spec.expected_decode_time {
            Some(estimate) if class.inter_token_objective > 0 => {
                (estimate as f64 / class.inter_token_objective as f64).min(half * 2.0)
            }
            _ => half,
        }
    }

    /// Records an attempt that is being sent, and returns its index. The held KV cache stays held during a
    /// decode attempt.
    pub fn begin_attempt(&mut self, attempt: TrackedAttempt) -> AttemptIndex {
        let cache = std::mem::replace(&mut self.phase, RequestPhase::Queued).into_held_cache();
        self.phase = match attempt.stage {
            Stage::Prefill => RequestPhase::Prefilling,
            Stage::Decode => RequestPhase::DecodeRequested { cache },
        };
        let index = AttemptIndex(self.attempts.len() as u32);
        self.attempts.push(attempt);
        index
    }

    /// Records the start of an attempt's response stream, by which the worker has fetched the KV cache.
    /// Returns the attempt, or `None` if there is none of that index.
    pub fn start_stream(&mut self, index: AttemptIndex, now: Micros) -> Option<TrackedAttempt> {
        let attempt = self.attempts.get_mut(index.0 as usize)?;
        attempt.stream_started_at = Some(now);
        if !matches!(self.phase, RequestPhase::Closed) {
            self.phase = RequestPhase::Streaming;
        }
        Some(attempt.clone())
    }

    /// Records an attempt's outcome. Returns the attempt as it was in flight, or `None` if there is none of
    /// that index or it has already ended.
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
        if matches!(self.phase, RequestPhase::Closed) {
            return Some(ended);
        }
        let held = std::mem::replace(&mut self.phase, RequestPhase::Queued).into_held_cache();
        let cache = match outcome {
            Outcome::PrefillCompleted => Some(HeldCache { worker: ended.worker.clone(), idle_since: now }),
            Outcome::CacheMissing => None,
            // The attempt reached no worker, so the cache was not fetched and the hold limit keeps running.
            Outcome::ConnectFailed | Outcome::NotSent => held,
            _ => held.map(|cache| HeldCache { idle_since: now, ..cache }),
        };
        self.phase = cache.map_or(RequestPhase::Queued, |cache| RequestPhase::AwaitingDecode { cache });
        Some(ended)
    }

    /// Assumes that an ended attempt left a KV cache or a slot at the worker, so that closing the request
    /// releases it.
    pub fn assume_cache_at(&mut self, worker: WorkerId, now: Micros) {
        self.phase = RequestPhase::AwaitingDecode { cache: HeldCache { worker, idle_since: now } };
    }
}

/// All open requests, ordered by ID. Closed requests stay until none of their attempts is in flight.
#[derive(Default)]
pub(super) struct Requests {
    requests: BTreeMap<RequestId, Request>,
}

impl Requests {
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub fn insert(&mut self, request: Request) {
        self.requests.insert(request.spec.request, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Mutable access to the request with this ID.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

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

    /// Releases the KV cache held for a request, if there is one, and queues the request again.
    pub fn release_cache(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase.held_cache().is_some() {
            out.push(Action::ReleaseCache { request: id });
        }
        request.phase = RequestPhase::Queued;
    }

    /// Closes a request that has its final response or whose client has disconnected: cancels its attempts,
    /// if allowed, and releases its held KV cache. The request is removed once no attempt is in flight.
    pub fn close(&mut self, id: RequestId, cancellation_allowed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let phase = std::mem::replace(&mut request.phase, RequestPhase::Closed);
        if cancellation_allowed {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() && attempt.stream_started_at.is_none() {
                    let attempt = AttemptIndex(index as u32);
                    out.push(Action::CancelAttempt { request: id, attempt });
                }
            }
        }
        if phase.held_cache().is_some() {
            out.push(Action::ReleaseCache { request: id });
        }
        if request.in_flight().next().is_none() {
            self.requests.remove(&id);
        }
    }
}
