//! Estimates of the load at workers, from this router's own attempts, reports, and other routers' gossip.

use super::context::DecisionContext;
use super::load_view::ReceivedReport;
use super::statistics::decay;
use super::worker::Worker;
use crate::interface::{LoadReport, Stage};

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

    /// Prompt tokens that wait at a worker: this router's, those presumed by gossip and timeouts, and what is
    /// reported. An old report decays to `average`, the average one, never to an empty queue that would draw
    /// prompts away from where they are cached.
    pub fn queued_tokens(&self, worker: &'a Worker, average: f64) -> f64 {
        let now = self.context.now;
        let own: f64 = (self.context.in_flight_at(worker))
            .filter(|attempt| attempt.stage == Stage::Prefill)
            .map(|attempt| attempt.tokens)
            .sum();
        let ReportedQueue { tokens, trust } = self.reported_queue(worker);
        let presumed = worker.activity().map_or(0.0, |activity| activity.load.presumed_tokens(now));
        own + presumed + trust * tokens + (1.0 - trust) * average
    }

    /// The queue that a worker has reported. Cached tokens are reported to wait, too, and are taken off here.
    pub fn reported_queue(&self, worker: &Worker) -> ReportedQueue {
        let report = worker.activity().and_then(|activity| activity.load.latest_report());
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
    pub fn projected_memory(&self, worker: &'a Worker) -> f64 {
        let in_flight = || self.context.in_flight_at(worker);
        let own = in_flight().map(|attempt| attempt.tokens).sum::<f64>();
        let guess = own * f64::from(self.context.settings.replica_count);
        let report = worker.activity().and_then(|activity| activity.load.latest_report());
        let projected = match report {
            Some(ReceivedReport {
                received_at,
                report: LoadReport { kv_cache_utilization: Some(utilization), .. },
            }) => {
                // As the report ages, other routers' attempts have changed the memory in use.
                let sent_since: f64 =
                    in_flight().filter(|a| a.sent_at >= received_at).map(|a| a.tokens).sum();
                let trust = decay(self.context.now, received_at);
                trust * (utilization * worker.memory_tokens + sent_since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / worker.memory_tokens * self.context.relative_slowness(worker)
    }
}
