//! A request in the driver's table, and its attempts.

use super::exchange::{ForwardedRequest, RequestState, Responder};
use super::held_cache::HeldCache;
use super::outbound::{Attempt, ReleaseProgress};
use crate::interface::{AttemptIndex, Idempotency, Micros, Outcome, RequestId, Settings, Stage, WorkerId};
use crate::rules::idempotency::is_rejection_harmless;
use crate::rules::send::RequestSnapshot;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that has no final answer yet, or has attempts in flight.
///
/// The final answer is given through the [`Responder`], which is taken out when it is used: a request without
/// one has its final answer. Taking it cancels every attempt of which nothing has been written, so nothing
/// begins for an answered request, also where attempts may not be cancelled otherwise.
pub(super) struct ActiveRequest {
    number: RequestId,
    forwarded: Rc<ForwardedRequest>,
    deadline: Micros,
    idempotency: Idempotency,
    state: RequestState,
    responder: Option<Responder>,
    attempts: Vec<AttemptRecord>,
    held_cache: HeldCache,
    release: Option<Rc<ReleaseProgress>>,
}

/// One attempt of a request.
struct AttemptRecord {
    sent_at: Micros,
    worker: WorkerId,
    /// What the worker was asked to do. A prefill has no effect.
    stage: Stage,
    /// Cancels the attempt when it is dropped.
    cancel: Option<oneshot::Sender<()>>,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
    /// Set by the upstream client before it writes the first byte.
    write_started: Rc<Cell<bool>>,
    is_streaming: bool,
}

impl AttemptRecord {
    fn cancel(&mut self) {
        self.cancel = None;
    }

    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        match self.outcome {
            None => true,
            Some(outcome) => self.stage == Stage::Decode && !outcome.had_no_effect(),
        }
    }
}

/// What the policy wants sent.
pub(super) struct AttemptOrder {
    /// The worker.
    pub worker: WorkerId,
    /// What the worker is to do.
    pub stage: Stage,
    /// The attempt's timeout; `None`: the client's deadline.
    pub timeout: Option<Micros>,
    /// Its first byte must be written before this, so that it arrives inside its deduplication window.
    pub deduplication_deadline: Option<Micros>,
}

/// What it takes to pass an attempt's stream on to the client as the final answer.
pub(super) struct AnswerHandover {
    /// Gives the stream to the client.
    pub responder: Responder,
    /// When its attempt was sent.
    pub sent_at: Micros,
}

impl ActiveRequest {
    /// A request that has just been received.
    pub fn new(
        number: RequestId,
        forwarded: Rc<ForwardedRequest>,
        deadline: Micros,
        idempotency: Idempotency,
        responder: Responder,
    ) -> Self {
        ActiveRequest {
            number,
            forwarded,
            deadline,
            idempotency,
            state: responder.request_state(),
            responder: Some(responder),
            attempts: Vec::new(),
            held_cache: HeldCache::default(),
            release: None,
        }
    }

    /// The id under which clients and workers know the request; log lines carry it.
    pub fn id(&self) -> &str {
        &self.forwarded.id
    }

    /// The request as it is forwarded to workers.
    pub fn forwarded(&self) -> Rc<ForwardedRequest> {
        self.forwarded.clone()
    }

    /// Whether the request has its final answer.
    pub fn is_answered(&self) -> bool {
        self.responder.is_none()
    }

    /// Whether the request has its final answer and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.is_answered() && !self.has_attempt_in_flight()
    }

    /// Whether an attempt has been sent and has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::is_in_flight)
    }

    /// Whether the request may be rejected: a client may then retry without harm.
    pub fn is_rejection_harmless(&self) -> bool {
        is_rejection_harmless(self.idempotency, self.may_have_run())
    }

    /// For the log: the facts that decide between a rejection and a failure, see
    /// [`is_rejection_harmless`](Self::is_rejection_harmless).
    pub fn rejection_facts(&self) -> String {
        let may_have_run = if self.may_have_run() { "may have run" } else { "has not run" };
        format!("{may_have_run}, {:?}", self.idempotency)
    }

    /// Whether an attempt that has ended, or one in flight, may have had an effect.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// The facts on which another attempt is decided.
    pub fn facts(&self, settings: &Settings) -> RequestSnapshot {
        RequestSnapshot {
            is_answered: self.is_answered(),
            attempts: self.attempts.len(),
            max_attempts: settings.max_attempts as usize,
            attempts_in_flight: self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count(),
            hedging_allowed: settings.hedging_allowed,
            idempotency: self.idempotency,
            may_have_run: self.may_have_run(),
        }
    }

    /// Takes the responder, which gives the final answer; `None` if the request has its final answer already.
    pub fn take_responder(&mut self) -> Option<Responder> {
        let responder = self.responder.take()?;
        self.attempts
            .iter_mut()
            .filter(|attempt| !attempt.write_started.get())
            .for_each(AttemptRecord::cancel);
        Some(responder)
    }

    /// Records a new attempt and returns it for the upstream client. An attempt waits for a release under
    /// way: a release that arrives after it would take what the attempt leaves.
    pub fn start_attempt(&mut self, order: AttemptOrder, now: Micros) -> Attempt {
        let AttemptOrder { worker, stage, timeout, deduplication_deadline } = order;
        let deadline =
            timeout.map_or(self.deadline, |timeout| self.deadline.min(now.saturating_add(timeout)));
        let index = AttemptIndex(self.attempts.len() as u32);
        log::debug!(
            "request {}: attempt {} ({stage:?}{}) to {}, timeout {} us{}",
            self.id(),
            index.0,
            self.repetition_note(stage),
            worker.0,
            deadline.saturating_sub(now),
            self.previous_outcome_note()
        );
        let (cancel, cancelled) = oneshot::channel();
        let write_started = Rc::<Cell<bool>>::default();
        self.attempts.push(AttemptRecord {
            sent_at: now,
            worker: worker.clone(),
            stage,
            cancel: Some(cancel),
            outcome: None,
            write_started: write_started.clone(),
            is_streaming: false,
        });
        self.held_cache.attempt_sent();
        Attempt {
            request: self.number,
            request_state: self.state.clone(),
            index,
            worker,
            stage,
            forwarded: self.forwarded.clone(),
            deadline,
            deduplication_deadline,
            pending_release: self.release.take(),
            cancelled,
            write_started,
        }
    }

    /// For the log: whether an attempt of this stage, made now, would be a retry or a hedged request.
    fn repetition_note(&self, stage: Stage) -> &'static str {
        let mut earlier = self.attempts.iter().filter(|attempt| attempt.stage == stage);
        let Some(first) = earlier.next() else { return "" };
        if first.is_in_flight() || earlier.any(AttemptRecord::is_in_flight) { ", hedged" } else { ", retry" }
    }

    /// For the log: how the last attempt ended, if it has.
    fn previous_outcome_note(&self) -> String {
        let outcome = self.attempts.last().and_then(|attempt| attempt.outcome);
        outcome.map_or_else(String::new, |outcome| format!(", after {outcome:?}"))
    }

    /// Records that the answer of an attempt has begun to stream. `None` if there is no such attempt, or if
    /// the request has its final answer already: that one stands.
    pub fn start_stream(&mut self, index: AttemptIndex) -> Option<AnswerHandover> {
        let is_answered = self.is_answered();
        let attempt = self.attempts.get_mut(index.0 as usize)?;
        attempt.write_started.set(true);
        if is_answered {
            return None;
        }
        attempt.is_streaming = true;
        let sent_at = attempt.sent_at;
        self.held_cache.clear();
        let responder = self.take_responder()?;
        if let Some(release) = self.release.take() {
            release.cancel();
        }
        Some(AnswerHandover { responder, sent_at })
    }

    /// Records the end of an attempt; the time since it was sent. `None` if there is no such attempt in
    /// flight.
    pub fn end_attempt(&mut self, index: AttemptIndex, outcome: Outcome, now: Micros) -> Option<Micros> {
        let attempt = self.attempts.get_mut(index.0 as usize).filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        attempt.cancel();
        let elapsed = now.saturating_sub(attempt.sent_at);
        self.held_cache.attempt_ended(&attempt.worker, outcome, now);
        Some(elapsed)
    }

    /// Cancels an attempt, unless it streams.
    pub fn cancel_attempt(&mut self, index: AttemptIndex) {
        let attempt = self.attempts.get_mut(index.0 as usize);
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_streaming) {
            attempt.cancel();
        }
    }

    /// Cancels the attempts that stream. A client whose stream ends without the last chunk asks again for the
    /// rest.
    pub fn cancel_streams(&mut self) {
        self.attempts.iter_mut().filter(|attempt| attempt.is_streaming).for_each(AttemptRecord::cancel);
    }

    /// Cancels all attempts.
    pub fn cancel_all(&mut self) {
        self.attempts.iter_mut().for_each(AttemptRecord::cancel);
    }

    /// The KV cache that is held for the request.
    pub fn held_cache(&mut self) -> &mut HeldCache {
        &mut self.held_cache
    }

    /// Whether a KV cache is held that has not been released.
    pub fn holds_cache(&self) -> bool {
        self.held_cache.is_held()
    }

    /// Starts a release of the KV cache, which the next attempt waits for.
    pub fn start_release(&mut self) -> Rc<ReleaseProgress> {
        let release = Rc::new(ReleaseProgress::new(self.held_cache.holder()));
        self.release = Some(release.clone());
        release
    }
}
