//! Execution of the policy's actions.
//!
//! The policy decides on the events that it has received. The driver checks the invariants of
//! [`rules`](crate::rules) again, on its own state at the time of the action. An action that would violate
//! one is recorded and not executed.

use super::Driver;
use crate::interface::{Action, AttemptIndex, EndReason, Micros, RequestId, WorkerId};
use crate::rules::Invariant;
use crate::rules::send::check_attempt;
use crate::runtime::active_request::AttemptSpec;
use crate::runtime::timers::TimerEntry;

impl Driver {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, stage, timeout, deduplication_deadline } => {
                self.send(request, AttemptSpec { worker, stage, timeout, deduplication_deadline });
            }
            Action::Reject { request, retry_after, reason } => self.reject(request, retry_after, reason),
            Action::Fail { request, reason } => self.fail(request, reason),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::ReleaseCache { request } => self.release_cache(request),
            Action::ReserveSlot { request, worker } => self.reserve_slot(request, worker),
            Action::MigrateStream { request } => self.migrate_stream(request),
            Action::SetTimer { at, timer } => self.timers.push(at, TimerEntry::Policy(timer)),
            Action::CheckHealth { worker } => self.outbound.check_health(worker),
            Action::CloseIdleConnections { worker } => self.outbound.close_idle_connections(&worker),
            // The endpoint watcher runs from the start and reconnects by itself; a new watch would only
            // interrupt the current one.
            Action::WatchEndpoints => {}
            Action::PollEndpoints => self.outbound.poll_endpoints(),
            Action::Gossip { .. } => {
                log::debug!("gossip between routers is not supported: message to peers dropped")
            }
            Action::Log(text) => log::info!("policy: {text}"),
        }
    }

    fn send(&mut self, request: RequestId, spec: AttemptSpec) {
        let now = self.clock.now();
        let Some(active) = self.requests.get_mut(request) else { return };
        if let Err(invariant) = check_attempt(&active.snapshot(&self.settings)) {
            let detail = format!("attempt at {} not sent", spec.worker.0);
            self.counters.violations.record(invariant, active.id(), detail);
            return;
        }
        let attempt = active.start_attempt(spec, now);
        self.outbound.send(attempt);
    }

    /// Rejects a request, or fails it if a retry might be harmful.
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>, reason: EndReason) {
        let Some(active) = self.requests.get_mut(request) else { return };
        if !active.has_final_response() && !active.is_rejection_harmless() {
            let detail = format!("failed instead of rejected ({reason:?})");
            self.counters.violations.record(Invariant::RejectionSafeToRetry, active.id(), detail);
            return self.fail(request, reason);
        }
        let Some(responder) = active.take_responder() else { return };
        log::debug!(
            "request {}: rejected: reason {reason:?}, {}",
            active.id(),
            retry_after.map_or("no Retry-After".into(), |wait| format!("Retry-After {wait} us"))
        );
        self.counters.responses_rejected.increment();
        responder.reject(retry_after);
        self.responded.push(request);
    }

    fn fail(&mut self, request: RequestId, reason: EndReason) {
        let Some(active) = self.requests.get_mut(request) else { return };
        let Some(responder) = active.take_responder() else { return };
        log::debug!("request {}: failed: reason {reason:?}, {}", active.id(), active.rejection_note());
        self.counters.responses_failed.increment();
        responder.fail();
        self.responded.push(request);
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptIndex) {
        if let Some(active) = self.requests.get_mut(request) {
            active.cancel_attempt(attempt);
        }
    }

    fn migrate_stream(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get_mut(request) {
            active.cancel_streams();
        }
    }

    fn reserve_slot(&mut self, request: RequestId, worker: WorkerId) {
        if let Some(active) = self.requests.get(request) {
            self.outbound.reserve_slot(request, active.forwarded(), worker);
        }
    }

    /// Releases the KV cache that is held for a request.
    pub(super) fn release_cache(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(request) else { return };
        active.held_cache().clear();
        self.start_release(request);
    }

    /// Starts the calls that release the KV cache. The caller records whether the cache still counts as held.
    pub(super) fn start_release(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(request) else { return };
        match active.held_cache().holder().cloned() {
            Some(holder) => {
                log::debug!("request {}: releasing the KV cache at {}", active.id(), holder.0)
            }
            None => log::debug!("request {}: releasing the KV cache at an unknown worker", active.id()),
        }
        self.counters.cache_releases.increment();
        let release = active.start_release();
        self.outbound.release_cache(active.forwarded(), release);
    }
}
