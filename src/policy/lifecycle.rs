//! The life cycle of requests: the transitions between their phases.
//!
//! Only the methods of this module send attempts and close requests. The decisions themselves are made in
//! `admission`, `decode_choice`, `attempt_plan` and `local_reply`.

use super::Policy;
use super::admission::{self, Admission, PlannedStage, Route};
use super::attempt_plan::AttemptPlan;
use super::decode_choice::DecodeChooser;
use super::feedback::EndedAttempt;
use super::load_view::HealthCheckNeed;
use super::local_reply::{end_reason, local_reply};
use super::request::{HeldCache, Request, RequestPhase};
use super::sweep::sweep_margin;
use crate::interface::*;

/// The requests that [`Policy::advance_all`] advances.
#[derive(Clone, Copy)]
pub(super) enum AdvanceScope {
    /// Open requests without an attempt in flight.
    WithoutAttempt,
    /// Open requests whose response has not started, including those past their deadline with an attempt in
    /// flight.
    WithoutResponse,
}

impl AdvanceScope {
    fn includes(self, phase: &RequestPhase) -> bool {
        match phase {
            RequestPhase::Queued | RequestPhase::AwaitingDecode { .. } => true,
            RequestPhase::Prefilling | RequestPhase::DecodeRequested { .. } => {
                matches!(self, AdvanceScope::WithoutResponse)
            }
            RequestPhase::Streaming | RequestPhase::Closed => false,
        }
    }
}

/// Whether a prefill may be sent, or has to wait for a load report of its worker.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PrefillReadiness {
    /// The load is known, no report can be requested, or one is overdue.
    Ready,
    /// A report was requested and has not arrived yet.
    AwaitsReport,
}

impl Policy {
    /// Adds a new request, and starts it if possible.
    pub(super) fn request_received(&mut self, spec: RequestSpec, out: &mut Vec<Action>) {
        let id = spec.request;
        let classes = &self.settings.classes;
        // `Policy::new` appends the class for requests whose class is not configured.
        let class_index = classes.iter().position(|c| c.name == spec.class).unwrap_or(classes.len() - 1);
        let quota = self.quotas.charge(spec.tenant.as_deref(), self.now);
        self.latency.record_prompt(spec.prompt_tokens);
        self.requests.insert(Request::new(spec, class_index, self.now, quota));
        self.advance(id, out);
    }

    /// Advances requests by descending priority, after those whose KV cache is held at a prefill worker.
    pub(super) fn advance_all(&mut self, scope: AdvanceScope, out: &mut Vec<Action>) {
        let context = self.context();
        let rank = |request: &Request| match request.phase() {
            RequestPhase::AwaitingDecode { .. } => f64::MAX,
            _ => context.priority(request),
        };
        let mut requests: Vec<(RequestId, f64)> = (self.requests.iter())
            .filter(|(_, request)| scope.includes(request.phase()))
            .map(|(id, request)| (id, rank(request)))
            .collect();
        requests.sort_by(|(a, a_rank), (b, b_rank)| b_rank.total_cmp(a_rank).then(a.cmp(b)));
        for (id, _) in requests {
            self.advance(id, out);
        }
    }

    /// Ends a request that has to end now; otherwise tries to send its next attempt if none is in flight.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(reason) = end_reason(self.context(), request) {
            self.reply_locally(id, reason, out);
            return;
        }
        match request.phase() {
            RequestPhase::Queued => self.admit(id, out),
            RequestPhase::AwaitingDecode { cache } => {
                let cache = cache.clone();
                self.send_decode(id, &cache, out);
            }
            _ => {}
        }
    }

    /// Starts a queued request, keeps it in the queue or rejects it.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(route) = Route::choose(self.context(), request) else { return };
        let is_prefill = matches!(route.stage, PlannedStage::Prefill { .. });
        if is_prefill && self.request_load_report(&route.worker, id, out) == PrefillReadiness::AwaitsReport {
            return;
        }
        let Some(request) = self.requests.get(id) else { return };
        match admission::decide(self.context(), request, &route) {
            Admission::Start => self.send(id, &route.worker, route.stage, out),
            Admission::Reject(reason) => self.reply_locally(id, reason, out),
            Admission::Wait => {}
        }
    }

    /// Sends a request whose KV cache is held to a decode worker. If the hold limit is near, releases the
    /// cache and queues the request again instead.
    fn send_decode(&mut self, id: RequestId, cache: &HeldCache, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let margin = sweep_margin(&self.settings) + self.settings.event_interval;
        let release_at = cache.idle_since + self.settings.cache_hold_limit.saturating_sub(margin);
        if self.now >= release_at {
            self.requests.release_cache(id, out);
            return;
        }
        let chooser = DecodeChooser::new(self.context(), request);
        if let Some(worker) = chooser.choose(Some(&cache.worker)) {
            self.send(id, &worker, PlannedStage::Decode, out);
        }
    }

    /// Sends a health check to a prefill worker whose load is not known, if health checks return load
    /// reports.
    ///
    /// The reports reveal queues that no router sees. They cost the health checks and the wait for them.
    fn request_load_report(
        &mut self,
        worker_id: &WorkerId,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> PrefillReadiness {
        let health_checks_report_load =
            self.settings.health_checks_allowed && self.settings.load_reporting != LoadReporting::None;
        let Some(worker) = self.membership.activity_mut(worker_id).filter(|_| health_checks_report_load)
        else {
            return PrefillReadiness::Ready;
        };
        let fresh_since = self.now.saturating_sub(self.settings.connect_timeout);
        match worker.load.health_check_need(self.now, fresh_since) {
            HealthCheckNeed::NotNeeded => return PrefillReadiness::Ready,
            HealthCheckNeed::InProgress => return PrefillReadiness::AwaitsReport,
            HealthCheckNeed::Required => {}
        }
        let request = self.requests.get_mut(id);
        if request.is_none_or(|request| request.take_health_check().is_none()) {
            return PrefillReadiness::Ready;
        }
        worker.load.health_check_sent(self.now);
        out.push(Action::CheckHealth { worker: worker_id.clone() });
        PrefillReadiness::AwaitsReport
    }

    /// Sends an attempt to a worker if [`AttemptPlan`] allows it. All attempts are sent here.
    fn send(&mut self, id: RequestId, worker_id: &WorkerId, stage: PlannedStage, out: &mut Vec<Action>) {
        let Some(plan) = AttemptPlan::new(self.context(), id, worker_id, stage) else { return };
        let AttemptPlan { attempt, timeout, deduplication_deadline } = plan;
        let (stage, added_tokens) = (attempt.stage, attempt.added_tokens);
        if let (Some(request), Some(worker)) =
            (self.requests.get_mut(id), self.membership.activity_mut(worker_id))
        {
            if stage == Stage::Prefill {
                self.prefixes.record(&request.spec, worker_id, self.now);
            }
            let index = request.begin_attempt(attempt);
            worker.in_flight.insert((id, index));
            worker.slow_start.take_permit();
        }
        if stage == Stage::Prefill {
            self.gossip_queue_change(worker_id, added_tokens, out);
        }
        out.push(Action::Send {
            request: id,
            worker: worker_id.clone(),
            stage,
            timeout,
            deduplication_deadline,
        });
    }

    /// Records that an attempt's response stream has started.
    pub(super) fn stream_started(&mut self, id: RequestId, index: AttemptIndex, elapsed: Micros) {
        let now = self.now;
        let request = self.requests.get_mut(id);
        if let Some(attempt) = request.and_then(|request| request.start_stream(index, now)) {
            self.feedback().stream_started(&attempt, elapsed);
        }
    }

    /// Records an attempt's outcome and advances its request.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let AttemptEnd { request: id, outcome, .. } = end;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.end_attempt(end.attempt, outcome, self.now) else { return };
        if let Some(worker) = self.membership.activity_mut(&attempt.worker) {
            worker.in_flight.remove(&(id, end.attempt));
        }
        let is_finished = end.request_finished || matches!(request.phase(), RequestPhase::Closed);
        if is_finished && outcome != Outcome::Completed {
            // The attempt may have left a KV cache or a slot behind, even if it was cancelled or late.
            request.assume_cache_at(attempt.worker.clone(), self.now);
        }
        let uncached_tokens = request.spec.prompt_tokens.saturating_sub(end.cached_tokens) as f64;
        let traffic = request.traffic_key();
        self.record_load_report(&attempt.worker, end.report);
        if attempt.stage == Stage::Prefill {
            self.gossip_queue_change(&attempt.worker, -attempt.added_tokens, out);
            // The prefill may have completed just as it timed out or lost its connection, and left a KV
            // cache.
            if !outcome.had_no_effect() {
                out.push(Action::ReleaseCache { request: id });
            }
        }
        let ended = EndedAttempt { attempt, outcome, elapsed: end.elapsed, uncached_tokens, traffic };
        self.feedback().attempt_ended(&ended);
        if is_finished {
            self.close(id, out);
        } else {
            self.advance(id, out);
        }
    }

    /// Rejects or fails a request and closes it, unless its response has started. All local replies are sent
    /// here.
    fn reply_locally(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.phase().is_streaming_or_closed() {
            out.push(local_reply(self.context(), request, reason));
            self.close(id, out);
        }
    }

    /// Closes a request that has its final response or whose client has disconnected.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.close(id, self.settings.cancellation_allowed, out);
    }
}
