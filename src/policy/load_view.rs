//! What this router knows of the load at workers: its own attempts, reports, and other routers' gossip.

use super::context::DecisionContext;
use super::statistics::{DecayingSum, LOAD_HALF_LIFE, decay};
use super::worker::Worker;
use crate::interface::{LoadReport, Micros, Stage, WorkerId};

/// A load report and when it came.
#[derive(Clone, Copy)]
struct ReceivedReport {
    received_at: Micros,
    report: LoadReport,
}

/// Whether a worker's load has to be asked for before it is sent a prefill.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportNeed {
    /// A fresh report is there, or the answer to a health check is overdue: go on with what is known.
    Satisfied,
    /// A health check is in progress: wait for its report.
    Pending,
    /// A health check ought to be sent.
    Missing,
}

/// The load at one worker, as it reports it and as other routers gossip.
#[derive(Default)]
pub(super) struct LoadView {
    report: Option<ReceivedReport>,
    health_check_sent_at: Option<Micros>,
    /// Tokens that wait there according to other routers' gossip and to prefills that timed out.
    peer_tokens: DecayingSum,
}

impl LoadView {
    /// Records a load report. Values that are not finite or below zero count as not reported.
    pub fn record_report(&mut self, now: Micros, report: LoadReport) {
        let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
        let memory_utilization = valid(report.memory_utilization);
        let queued_tokens = valid(report.queued_tokens);
        let report = LoadReport { memory_utilization, queued_tokens, ..report };
        self.report = Some(ReceivedReport { received_at: now, report });
    }

    /// Records tokens that wait there by gossip or by a timeout; negative when they are done.
    pub fn add_peer_tokens(&mut self, now: Micros, tokens: f64) {
        self.peer_tokens.add(now, tokens);
    }

    /// Whether a report that came at `fresh_since` or later is known, pending, or missing.
    pub fn report_need(&self, now: Micros, fresh_since: Micros) -> ReportNeed {
        let received_at = self.report.map(|received| received.received_at);
        if received_at.is_some_and(|at| at >= fresh_since) {
            return ReportNeed::Satisfied;
        }
        let unanswered = (self.health_check_sent_at)
            .filter(|sent_at| Some(*sent_at) > received_at && sent_at + LOAD_HALF_LIFE >= now);
        match unanswered {
            Some(sent_at) if sent_at >= fresh_since => ReportNeed::Pending,
            Some(_) => ReportNeed::Satisfied,
            None => ReportNeed::Missing,
        }
    }

    /// Records that a health check has been sent.
    pub fn health_check_sent(&mut self, now: Micros) {
        self.health_check_sent_at = Some(now);
    }

    /// The reported share of its memory in use.
    pub fn memory_utilization(&self) -> Option<f64> {
        self.report.and_then(|received| received.report.memory_utilization)
    }
}

/// Tokens that a report says to wait at a worker, and how far it is still trusted, between 0 and 1.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedQueue {
    /// The tokens.
    pub tokens: f64,
    /// The trust; 0 without a report.
    pub trust: f64,
}

/// Load of workers, estimated from all sources.
#[derive(Clone, Copy)]
pub(super) struct LoadEstimator<'a> {
    context: DecisionContext<'a>,
}

impl<'a> LoadEstimator<'a> {
    /// An estimator for one decision.
    pub fn new(context: DecisionContext<'a>) -> Self {
        LoadEstimator { context }
    }

    /// Prompt tokens that wait at a worker: this router's, what is gossiped of the others', and what is
    /// reported. An old report decays to `average`, the average one, never to an empty queue that would draw
    /// prompts away from where they are cached.
    pub fn queued_tokens(&self, worker: &WorkerId, average: f64) -> f64 {
        let now = self.context.now;
        let own: f64 = (self.context.requests.in_flight_at(worker))
            .filter(|attempt| attempt.stage == Stage::Prefill)
            .map(|attempt| attempt.tokens)
            .sum();
        let ReportedQueue { tokens, trust } = self.reported_queue(worker);
        let known = self.context.membership.get(worker);
        let gossiped = known.map_or(0.0, |worker| worker.load.peer_tokens.value_at(now));
        own + gossiped + trust * tokens + (1.0 - trust) * average
    }

    /// The queue that a worker has reported. Cached tokens are reported to wait, too, and are taken off here.
    pub fn reported_queue(&self, worker: &WorkerId) -> ReportedQueue {
        let report = self.context.membership.get(worker).and_then(|worker| worker.load.report);
        let Some(received) = report else { return ReportedQueue::default() };
        let Some(tokens) = received.report.queued_tokens else { return ReportedQueue::default() };
        let latency = self.context.latency;
        let prompt_tokens = latency.prompt_tokens().value_or(1.0).max(1.0);
        let uncached_share = latency.uncached_tokens().value_or(1.0) / prompt_tokens;
        let trust = decay(self.context.now, received.received_at);
        ReportedQueue { tokens: tokens * uncached_share.min(1.0), trust }
    }

    /// The projected share of a worker's memory in use, weighted by its slowness. The other routers are taken
    /// to use as much as this one, less so the fresher a report there is.
    pub fn projected_memory(&self, id: &WorkerId, worker: &Worker) -> f64 {
        let in_flight = || self.context.requests.in_flight_at(id);
        let own = in_flight().map(|attempt| attempt.tokens).sum::<f64>();
        let guess = own * f64::from(self.context.settings.replica_count);
        let projected = match worker.load.report {
            Some(ReceivedReport {
                received_at,
                report: LoadReport { memory_utilization: Some(utilization), .. },
            }) => {
                // As the report ages, other routers' attempts have changed the memory in use.
                let sent_since: f64 =
                    in_flight().filter(|a| a.sent_at >= received_at).map(|a| a.tokens).sum();
                let trust = decay(self.context.now, received_at);
                trust * (utilization * worker.memory_tokens + sent_since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / worker.memory_tokens * self.context.relative_slowness(id)
    }
}
