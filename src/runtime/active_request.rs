//! A request in the driver's request table, and its attempts.

use super::exchange::{ForwardedRequest, RequestState, Responder};
use super::held_cache::HeldCache;
use super::outbound::{Attempt, ReleaseProgress};
use crate::interface::{AttemptIndex, Idempotency, Micros, Outcome, RequestId, Settings, Stage, WorkerId};
use crate::rules::idempotency::is_rejection_harmless;
use crate::rules::send::RequestSnapshot;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that has no final response yet, or has attempts in flight.
///
/// The [`Responder`] is taken out to send the final response, so a request without a responder has its final
/// response. Taking it cancels every attempt of which nothing has been written, even if the settings do not
/// allow cancellation: no attempt starts after the final response.
pub(super) struct ActiveRequest {
    number: RequestId,
    forwarded: Rc<ForwardedRequest>,
    deadline: Micros,
    idempotency: Idempotency,
    state: RequestState,
    responder: Option<Responder>,
    attempts: Vec<AttemptRecord>,
    held_cache: HeldCache,
    client_disconnected: bool,
    /// A cache release that the next attempt has to wait for.
    pending_release: Option<Rc<ReleaseProgress>>,
}

/// One attempt of a request.
struct AttemptRecord {
    sent_at: Micros,
    worker: WorkerId,
    /// The stage that the worker executes. A prefill has no effect.
    stage: Stage,
    /// Dropping it cancels the attempt.
    cancel_sender: Option<oneshot::Sender<()>>,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
    /// Set by the upstream client before it writes the first byte.
    write_started: Rc<Cell<bool>>,
    is_streaming: bool,
}

impl AttemptRecord {
    fn cancel(&mut self) {
        self.cancel_sender = None;
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

    /// Whether the worker may have received the request, and not rejected it.
    fn may_have_been_accepted(&self) -> bool {
        let was_not_accepted = |outcome| {
            use Outcome::{CacheMissing, ConnectFailed, NotSent, Rejected};
            matches!(outcome, CacheMissing | ConnectFailed | NotSent | Rejected)
        };
        self.write_started.get() && !self.outcome.is_some_and(was_not_accepted)
    }
}

/// The policy's specification of an attempt.
pub(super) struct AttemptSpec {
    /// The worker that receives the attempt.
    pub worker: WorkerId,
    /// The stage that the worker executes.
    pub stage: Stage,
    /// The attempt's timeout, from the time it is sent; `None`: the client's deadline applies.
    pub timeout: Option<Micros>,
    /// No byte of the attempt may be written from this time on, so that it arrives inside the deduplication
    /// window of the earlier attempts; `None`: no limit.
    pub deduplication_deadline: Option<Micros>,
}

/// An attempt whose stream becomes the final response.
pub(super) struct StartedStream {
    /// Passes the stream to the client.
    pub responder: Responder,
    /// When the attempt was sent.
    pub sent_at: Micros,
}

impl ActiveRequest {
    /// Creates the entry of a request that has just been received, without attempts.
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
            client_disconnected: false,
            pending_release: None,
        }
    }

    /// The request id that clients, workers and log lines use.
    pub fn id(&self) -> &str {
        &self.forwarded.id
    }

    pub fn forwarded(&self) -> Rc<ForwardedRequest> {
        self.forwarded.clone()
    }

    pub fn has_final_response(&self) -> bool {
        self.responder.is_none()
    }

    /// Whether the request has its final response and no attempt in flight.
    pub fn is_finished(&self) -> bool {
        self.has_final_response() && !self.has_attempt_in_flight()
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::is_in_flight)
    }

    /// Whether the request may be rejected: a rejection invites the client to retry, which must be harmless.
    pub fn is_rejection_harmless(&self) -> bool {
        is_rejection_harmless(self.idempotency, self.may_have_run())
    }

    /// Describes for the log why the request may or may not be rejected, see
    /// [`is_rejection_harmless`](Self::is_rejection_harmless).
    pub fn rejection_note(&self) -> String {
        let may_have_run = if self.may_have_run() { "may have run" } else { "has not run" };
        format!("{may_have_run}, {:?}", self.idempotency)
    }

    /// Whether any attempt, ended or in flight, may have had an effect.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// The state on which another attempt is decided.
    pub fn snapshot(&self, settings: &Settings) -> RequestSnapshot {
        RequestSnapshot {
            has_final_response: self.has_final_response(),
            attempts: self.attempts.len(),
            max_attempts: settings.max_attempts as usize,
            attempts_in_flight: self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count(),
            hedging_allowed: settings.hedging_allowed,
            idempotency: self.idempotency,
            may_have_run: self.may_have_run(),
        }
    }

    /// Takes the responder to send the final response; `None` if the request has its final response already.
    /// Cancels the attempts of which nothing has been written.
    pub fn take_responder(&mut self) -> Option<Responder> {
        let responder = self.responder.take()?;
        self.attempts
            .iter_mut()
            .filter(|attempt| !attempt.write_started.get())
            .for_each(AttemptRecord::cancel);
        Some(responder)
    }

    /// Records a new attempt and returns it for the upstream client.
    ///
    /// The attempt waits for a release in progress, since a release that reaches the worker after the attempt
    /// would remove the KV cache that the attempt leaves.
    pub fn start_attempt(&mut self, spec: AttemptSpec, now: Micros) -> Attempt {
        let AttemptSpec { worker, stage, timeout, deduplication_deadline } = spec;
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
        let (cancel_sender, cancelled) = oneshot::channel();
        let write_started = Rc::<Cell<bool>>::default();
        self.attempts.push(AttemptRecord {
            sent_at: now,
            worker: worker.clone(),
            stage,
            cancel_sender: Some(cancel_sender),
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
            pending_release: self.pending_release.take(),
            cancelled,
            write_started,
        }
    }

    /// Describes for the log whether a new attempt of this stage is a retry or a hedged request.
    fn repetition_note(&self, stage: Stage) -> &'static str {
        let mut earlier = self.attempts.iter().filter(|attempt| attempt.stage == stage);
        let Some(first) = earlier.next() else { return "" };
        if first.is_in_flight() || earlier.any(AttemptRecord::is_in_flight) { ", hedged" } else { ", retry" }
    }

    /// Describes for the log the outcome of the last attempt, if it has ended.
    fn previous_outcome_note(&self) -> String {
        let outcome = self.attempts.last().and_then(|attempt| attempt.outcome);
        outcome.map_or_else(String::new, |outcome| format!(", after {outcome:?}"))
    }

    /// Records that an attempt has started to stream its response. `None` if there is no such attempt, or if
    /// the request has its final response already.
    pub fn start_stream(&mut self, index: AttemptIndex) -> Option<StartedStream> {
        let has_final_response = self.has_final_response();
        let attempt = self.attempts.get_mut(index.0 as usize)?;
        attempt.write_started.set(true);
        if has_final_response {
            return None;
        }
        attempt.is_streaming = true;
        let sent_at = attempt.sent_at;
        self.held_cache.clear();
        let responder = self.take_responder()?;
        if let Some(release) = self.pending_release.take() {
            release.cancel();
        }
        Some(StartedStream { responder, sent_at })
    }

    /// Records the end of an attempt and returns the time since it was sent; `None` if no such attempt is in
    /// flight.
    pub fn end_attempt(&mut self, index: AttemptIndex, outcome: Outcome, now: Micros) -> Option<Micros> {
        let attempt = self.attempts.get_mut(index.0 as usize).filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        attempt.cancel();
        let elapsed = now.saturating_sub(attempt.sent_at);
        self.held_cache.attempt_ended(&attempt.worker, outcome, now);
        Some(elapsed)
    }

    /// Cancels an attempt, unless it is streaming.
    pub fn cancel_attempt(&mut self, index: AttemptIndex) {
        let attempt = self.attempts.get_mut(index.0 as usize);
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_streaming) {
            attempt.cancel();
        }
    }

    /// Records that the client has disconnected, and cancels the attempts that are streaming.
    pub fn record_disconnect(&mut self) {
        self.client_disconnected = true;
        self.cancel_streams();
    }

    /// Whether the client has left the request at a worker.
    pub fn is_abandoned(&self) -> bool {
        self.client_disconnected && self.attempts.iter().any(AttemptRecord::may_have_been_accepted)
    }

    /// Cancels the attempts that are streaming. The client sees a stream without its last chunk, and requests
    /// the rest.
    pub fn cancel_streams(&mut self) {
        self.attempts.iter_mut().filter(|attempt| attempt.is_streaming).for_each(AttemptRecord::cancel);
    }

    pub fn cancel_all(&mut self) {
        self.attempts.iter_mut().for_each(AttemptRecord::cancel);
    }

    pub fn held_cache(&mut self) -> &mut HeldCache {
        &mut self.held_cache
    }

    /// Whether a KV cache is held that has not been released.
    pub fn holds_cache(&self) -> bool {
        self.held_cache.is_held()
    }

    /// Creates a release of the KV cache; the next attempt waits for it.
    pub fn start_release(&mut self) -> Rc<ReleaseProgress> {
        let release = Rc::new(ReleaseProgress::new(self.held_cache.holder()));
        self.pending_release = Some(release.clone());
        release
    }
}
