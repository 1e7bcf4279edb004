//! Handling of the driver's inputs: updates of the request table and notification of the policy.

use super::limits::DriverEndReason;
use super::{Driver, MICROS_PER_MS};
use crate::interface::{
    AttemptEnd, AttemptIndex, Event, Idempotency, Micros, Outcome, RequestId, RequestSpec,
};
use crate::runtime::active_request::{ActiveRequest, StartedStream};
use crate::runtime::counters::Counter;
use crate::runtime::exchange::{ForwardedRequest, Responder, ResponseStream};
use crate::runtime::handle::{AttemptResult, DriverInput};
use crate::runtime::lag::LATE_TIMER_THRESHOLD;
use crate::runtime::timers::TimerEntry;
use std::rc::Rc;

impl Driver {
    pub(super) fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestReceived { spec, received_at, forwarded, responder } => {
                self.request_received(spec, received_at, forwarded, responder)
            }
            DriverInput::ClientDisconnected(request) => self.client_disconnected(request),
            DriverInput::StreamStarted { request, attempt, stream } => {
                self.stream_started(request, attempt, stream)
            }
            DriverInput::AttemptEnded { request, attempt, result } => {
                self.attempt_ended(request, attempt, result)
            }
            DriverInput::EndpointsUpdated { kind, endpoints } => {
                self.counters.endpoint_updates.increment();
                self.notify_policy(Event::EndpointsUpdated { kind, endpoints });
            }
            DriverInput::SlotReservationAnswered { request, worker, reserved } => {
                if self.requests.contains(request) {
                    self.notify_policy(Event::SlotReservationAnswered { request, worker, reserved });
                }
            }
            DriverInput::HealthChecked { worker, outcome, report } => {
                self.notify_policy(Event::HealthChecked { worker, outcome, report })
            }
        }
    }

    /// Adds a request to the table, sets its response deadline, and notifies the policy.
    fn request_received(
        &mut self,
        spec: RequestSpec,
        received_at: Micros,
        forwarded: Rc<ForwardedRequest>,
        responder: Responder,
    ) {
        self.counters.requests_received.increment();
        let now = self.clock.now();
        log::debug!(
            "request {}: received as number {}, queued for {} us, {} ms until deadline, class {}, \
             {} prompt tokens",
            forwarded.id,
            spec.request.0,
            now.saturating_sub(received_at),
            spec.deadline.saturating_sub(now) / MICROS_PER_MS,
            spec.class,
            spec.prompt_tokens
        );
        let queue_time = now.saturating_sub(received_at);
        if !responder.request_state().is_open()
            || queue_time > LATE_TIMER_THRESHOLD
            || self.lag.is_overloaded(now)
        {
            return self.shed(&forwarded.id, queue_time, responder);
        }
        let class = self.settings.classes.iter().find(|class| class.name == spec.class);
        // A request of an unknown class is treated as non-idempotent.
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let (number, deadline) = (spec.request, spec.deadline);
        let request = ActiveRequest::new(number, forwarded, deadline, idempotency, responder);
        self.requests.insert(number, request);
        self.timers.push(deadline + self.settings.response_grace, TimerEntry::ResponseDeadline(number));
        self.timers.prune(&self.requests);
        self.notify_policy(Event::RequestReceived(spec));
    }

    /// Rejects a request before any work was done for it: its client has disconnected, or CPU time is too
    /// short for the requests in progress, and accepting another one would make more of them miss their
    /// deadline.
    fn shed(&mut self, id: &str, queue_time: Micros, responder: Responder) {
        log::debug!(
            "request {id}: shed after {queue_time} us in the queue, {} requests in progress",
            self.requests.len()
        );
        self.counters.requests_shed.increment();
        let settings = &self.settings;
        responder.reject(settings.retry_after_allowed.then_some(settings.max_retry_after));
    }

    /// Handles a client that has disconnected, or that has shut down its sending side and may still read the
    /// response.
    fn client_disconnected(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(request) else { return };
        self.counters.client_disconnects.increment();
        active.record_disconnect();
        self.end_request(request, DriverEndReason::ClientDisconnected);
    }

    /// Passes a stream to the client as the final response, unless the request has one already.
    fn stream_started(&mut self, request: RequestId, attempt: AttemptIndex, stream: ResponseStream) {
        let Some(active) = self.requests.get_mut(request) else { return };
        // If the request has its final response, the stream is dropped, which cancels its attempt.
        let Some(StartedStream { responder, sent_at }) = active.start_stream(attempt) else { return };
        let elapsed = self.clock.now().saturating_sub(sent_at);
        log::debug!("request {}: attempt {} started to stream after {elapsed} us", active.id(), attempt.0);
        self.counters.responses_streamed.increment();
        responder.stream(stream);
        self.notify_policy(Event::StreamStarted { request, attempt, elapsed });
    }

    /// Records the result of an attempt and notifies the policy. Ignored for an attempt that is not in
    /// flight.
    fn attempt_ended(&mut self, request: RequestId, attempt: AttemptIndex, result: AttemptResult) {
        let AttemptResult { outcome, cached_tokens, report } = result;
        let now = self.clock.now();
        let Some(active) = self.requests.get_mut(request) else { return };
        let Some(elapsed) = active.end_attempt(attempt, outcome, now) else { return };
        log::debug!(
            "request {}: attempt {} ended: {outcome:?} after {elapsed} us, {cached_tokens} cached tokens",
            active.id(),
            attempt.0
        );
        let request_finished = active.has_final_response();
        let release_due = active.held_cache().release_due(self.settings.cache_hold_limit);
        if let Some(at) = release_due {
            self.timers.push(at, TimerEntry::CacheHoldLimit(request));
        }
        self.outcome_counter(outcome).increment();
        self.notify_policy(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
            cached_tokens,
            report,
        }));
        self.remove_if_finished(request);
    }

    fn outcome_counter(&self, outcome: Outcome) -> &Counter {
        let counters = &self.counters;
        match outcome {
            Outcome::PrefillCompleted => &counters.attempts_prefill_completed,
            Outcome::Completed => &counters.attempts_completed,
            Outcome::Rejected | Outcome::CacheMissing => &counters.attempts_rejected,
            Outcome::ConnectFailed => &counters.attempts_connect_failed,
            Outcome::ConnectionLost => &counters.attempts_connection_lost,
            Outcome::TimedOut => &counters.attempts_timed_out,
            Outcome::WorkerError => &counters.attempts_worker_error,
            Outcome::Cancelled => &counters.attempts_cancelled,
            Outcome::NotSent => &counters.attempts_not_sent,
        }
    }
}
