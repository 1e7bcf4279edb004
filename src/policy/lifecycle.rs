//! The life of a request: how it moves from one phase to the next, until it ends.
//!
//! The methods here are the only ones that send attempts and that end requests. The decisions themselves are
//! made in `admission`, `decode_choice`, `attempt_plan` and `final_answer`.

use super::Policy;
use super::admission::{self, Admission, PlannedStage, Route};
use super::attempt_plan::AttemptPlan;
use super::decode_choice::DecodeChooser;
use super::feedback::EndedAttempt;
use super::final_answer::{end_reason, final_answer};
use super::load_view::ReportNeed;
use super::request::{CacheHold, Request, RequestPhase};
use super::sweep::sweep_margin;
use crate::interface::*;

/// Which requests to advance.
#[derive(Clone, Copy)]
pub(super) enum AdvanceScope {
    /// Those without an attempt in flight.
    Waiting,
    /// All without an answer: attempts in flight may be overdue, too.
    Unanswered,
}

impl AdvanceScope {
    fn includes(self, phase: &RequestPhase) -> bool {
        match phase {
            RequestPhase::Queued | RequestPhase::AwaitingDecode { .. } => true,
            RequestPhase::Prefilling | RequestPhase::DecodeRequested { .. } => {
                matches!(self, AdvanceScope::Unanswered)
            }
            RequestPhase::Streaming | RequestPhase::Answered => false,
        }
    }
}

/// Whether enough is known of a worker's load to send it a prefill.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadKnowledge {
    /// It is, or no more can be learned.
    Sufficient,
    /// A report is awaited.
    Awaited,
}

impl Policy {
    /// Takes a new request in.
    pub(super) fn request_received(&mut self, spec: RequestSpec, out: &mut Vec<Action>) {
        let id = spec.request;
        let classes = &self.settings.classes;
        // A class that the settings don't name is the last one: see `new`.
        let class_index = classes.iter().position(|c| c.name == spec.class).unwrap_or(classes.len() - 1);
        let quota = self.quotas.charge(spec.tenant.as_deref(), self.now);
        self.latency.record_prompt(spec.prompt_tokens);
        self.requests.insert(Request::new(spec, class_index, self.now, quota));
        self.advance(id, out);
    }

    /// Advances requests in the order of their priority; those whose KV cache is held go first.
    pub(super) fn advance_all(&mut self, scope: AdvanceScope, out: &mut Vec<Action>) {
        let context = self.context();
        let order = |request: &Request| match request.phase() {
            RequestPhase::AwaitingDecode { .. } => f64::MAX,
            _ => context.priority(request),
        };
        let mut requests: Vec<(RequestId, f64)> = (self.requests.iter())
            .filter(|(_, request)| scope.includes(request.phase()))
            .map(|(id, request)| (id, order(request)))
            .collect();
        requests.sort_by(|(a, a_order), (b, b_order)| b_order.total_cmp(a_order).then(a.cmp(b)));
        for (id, _) in requests {
            self.advance(id, out);
        }
    }

    /// Takes a request as far as it can go now.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(reason) = end_reason(self.context(), request) {
            self.finish(id, reason, out);
            return;
        }
        match request.phase() {
            RequestPhase::Queued => self.start(id, out),
            RequestPhase::AwaitingDecode { cache } => {
                let cache = cache.clone();
                self.request_decode(id, &cache, out);
            }
            _ => {}
        }
    }

    /// Starts a queued request, leaves it in the queue or rejects it.
    fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(route) = Route::choose(self.context(), request) else { return };
        let is_prefill = matches!(route.stage, PlannedStage::Prefill { .. });
        if is_prefill && self.request_load_report(&route.worker, id, out) == LoadKnowledge::Awaited {
            return;
        }
        let Some(request) = self.requests.get(id) else { return };
        match admission::decide(self.context(), request, &route) {
            Admission::Start => self.send(id, &route.worker, route.stage, out),
            Admission::Reject(reason) => self.finish(id, reason, out),
            Admission::Wait => {}
        }
    }

    /// Sends a request whose KV cache is held to a decode worker, or releases the cache and queues the
    /// request again when the hold limit is near.
    fn request_decode(&mut self, id: RequestId, cache: &CacheHold, out: &mut Vec<Action>) {
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

    /// Where health checks bring load reports, requests the chosen worker's load before a prefill, unless it
    /// is known already. Guards against queues that no router sees; harms where health checks cost much.
    fn request_load_report(
        &mut self,
        worker_id: &WorkerId,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> LoadKnowledge {
        let reports_on_request =
            self.settings.health_checks_allowed && self.settings.load_reporting != LoadReporting::None;
        let Some(worker) = self.membership.activity_mut(worker_id).filter(|_| reports_on_request) else {
            return LoadKnowledge::Sufficient;
        };
        let fresh_since = self.now.saturating_sub(self.settings.connect_timeout);
        match worker.load.report_need(self.now, fresh_since) {
            ReportNeed::Satisfied => return LoadKnowledge::Sufficient,
            ReportNeed::Pending => return LoadKnowledge::Awaited,
            ReportNeed::Missing => {}
        }
        let request = self.requests.get_mut(id);
        if request.is_none_or(|request| request.take_health_check().is_none()) {
            return LoadKnowledge::Sufficient;
        }
        worker.load.health_check_sent(self.now);
        out.push(Action::CheckHealth { worker: worker_id.clone() });
        LoadKnowledge::Awaited
    }

    /// Sends a request to a worker if every rule allows it. Everything that goes to a worker goes through
    /// here.
    fn send(&mut self, id: RequestId, worker_id: &WorkerId, stage: PlannedStage, out: &mut Vec<Action>) {
        let Some(plan) = AttemptPlan::new(self.context(), id, worker_id, stage) else { return };
        let AttemptPlan { attempt, timeout, deduplication_deadline } = plan;
        let (stage, tokens) = (attempt.stage, attempt.tokens);
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
            self.gossip(worker_id, tokens, out);
        }
        out.push(Action::Send {
            request: id,
            worker: worker_id.clone(),
            stage,
            timeout,
            deduplication_deadline,
        });
    }

    /// Records that an attempt's stream has started.
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
        let is_over = end.request_finished || matches!(request.phase(), RequestPhase::Answered);
        if is_over && outcome != Outcome::Completed {
            // Whatever the attempt left behind is released, also by a cancelled or a late prefill.
            request.assume_cache_at(attempt.worker.clone(), self.now);
        }
        let uncached_tokens = request.spec.prompt_tokens.saturating_sub(end.cached_tokens) as f64;
        let traffic = request.traffic_key();
        self.record_load_report(&attempt.worker, end.report);
        if attempt.stage == Stage::Prefill {
            self.gossip(&attempt.worker, -attempt.tokens, out);
            // It may have completed just as it was given up or broke: what it left is held like any KV cache.
            if !outcome.had_no_effect() {
                out.push(Action::ReleaseCache { request: id });
            }
        }
        let ended = EndedAttempt { attempt, outcome, elapsed: end.elapsed, uncached_tokens, traffic };
        self.feedback().attempt_ended(&ended);
        if is_over {
            self.close(id, out);
        } else {
            self.advance(id, out);
        }
    }

    /// Gives a request its final answer, unless its answer has started. No other place ends requests.
    fn finish(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.phase().is_answer_started() {
            out.push(final_answer(self.context(), request, reason));
            self.close(id, out);
        }
    }

    /// Closes a request that has its final answer or whose client has left.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.close(id, self.settings.cancellation_allowed, out);
    }
}
