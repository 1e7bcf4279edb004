//! Limits that the driver enforces independently of the policy: the response deadline of each request and the
//! hold limit of KV caches.

use super::Driver;
use crate::interface::{Event, Micros, RequestId};
use crate::rules::Invariant;
use crate::runtime::timers::TimerEntry;

/// Why the driver, and not the policy, ends a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum DriverEndReason {
    /// The client has disconnected.
    ClientDisconnected,
    /// The policy has not ended the request by its response deadline.
    ResponseDeadlineExceeded,
}

impl Driver {
    /// Ends a request that has no final response by its response deadline. The policy may have lost track of
    /// it in a panic.
    pub(super) fn enforce_response_deadline(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(request).filter(|active| !active.has_final_response())
        else {
            return;
        };
        let detail = "no final response by the response deadline; ended by the driver";
        self.counters.violations.record(Invariant::FinalResponse, active.id(), detail);
        active.cancel_all();
        self.release_cache(request);
        self.end_request(request, DriverEndReason::ResponseDeadlineExceeded);
    }

    /// Releases the KV cache of a request if its hold limit has expired.
    pub(super) fn enforce_cache_hold_limit(&mut self, request: RequestId, now: Micros) {
        let Some(active) = self.requests.get_mut(request) else { return };
        let hold_limit = self.settings.cache_hold_limit;
        let Some(release_due) = active.held_cache().release_due(hold_limit) else { return };
        if release_due > now {
            self.timers.push(release_due, TimerEntry::CacheHoldLimit(request));
            return;
        }
        let attempt_note =
            if active.has_attempt_in_flight() { ", an attempt awaits its response" } else { "" };
        let holder = active.held_cache().holder().map_or("an unknown worker", |worker| &worker.0).to_owned();
        log::debug!(
            "request {}: the KV cache at {holder} has reached its hold limit{attempt_note}",
            active.id()
        );
        self.counters.cache_releases_forced.increment();
        active.held_cache().mark_released();
        self.start_release(request);
    }

    /// Sends the final response of a request, if it has none yet, and notifies the policy that the request
    /// needs no response any more. [`Event::ClientDisconnected`] says so for a passed deadline too.
    pub(super) fn end_request(&mut self, request: RequestId, reason: DriverEndReason) {
        self.respond_without_policy(request, reason);
        self.notify_policy(Event::ClientDisconnected { request });
        self.remove_if_finished(request);
    }

    /// Rejects the request if a retry is harmless, and fails it otherwise.
    fn respond_without_policy(&mut self, request: RequestId, reason: DriverEndReason) {
        let Some(active) = self.requests.get_mut(request) else { return };
        let Some(responder) = active.take_responder() else { return };
        if active.is_rejection_harmless() {
            log::debug!("request {}: rejected by the driver: reason {reason:?}", active.id());
            self.counters.responses_rejected.increment();
            let settings = &self.settings;
            responder.reject(settings.retry_after_allowed.then_some(settings.max_retry_after));
        } else {
            log::debug!(
                "request {}: failed by the driver: reason {reason:?}, {}",
                active.id(),
                active.rejection_note()
            );
            self.counters.responses_failed.increment();
            responder.fail();
        }
    }
}
