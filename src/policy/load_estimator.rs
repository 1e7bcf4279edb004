//! Estimates the load of workers from this router's attempts, load reports and the gossip of other routers.

use super::context::DecisionContext;
use super::load_view::ReceivedReport;
use super::statistics::decay_factor;
use super::worker::Worker;
use crate::interface::{LoadReport, Stage};

/// Queue length from a worker's load report, with the confidence in it.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedQueue {
    /// Queued uncached prompt tokens.
    pub tokens: f64,
    /// Confidence between 0 and 1, which decreases with the age of the report; 0 without a report.
    pub confidence: f64,
}

/// Estimates the load of workers from all sources.
#[derive(Clone, Copy)]
pub(super) struct LoadEstimator<'a> {
    context: DecisionContext<'a>,
}

impl<'a> LoadEstimator<'a> {
    /// Creates an estimator for one decision.
    pub fn new(context: DecisionContext<'a>) -> Self {
        LoadEstimator { context }
    }

    /// Estimates the prompt tokens queued at a worker: the sum of this router's prefills, the tokens presumed
    /// from gossip and timeouts, and the reported queue.
    ///
    /// The estimate from an old report decays towards `mean_queue` rather than 0, because a queue that seems
    /// empty would attract prompts that are cached elsewhere.
    pub fn queued_tokens(&self, worker: &'a Worker, mean_queue: f64) -> f64 {
        let now = self.context.now;
        let own: f64 = (self.context.in_flight_at(worker))
            .filter(|attempt| attempt.stage == Stage::Prefill)
            .map(|attempt| attempt.added_tokens)
            .sum();
        let ReportedQueue { tokens, confidence } = self.reported_queue(worker);
        let presumed = worker.activity().map_or(0.0, |activity| activity.load.presumed_tokens(now));
        own + presumed + confidence * tokens + (1.0 - confidence) * mean_queue
    }

    /// The queue length that a worker has reported. Reports include cached tokens, so the result is reduced
    /// by the average share of cached tokens.
    pub fn reported_queue(&self, worker: &Worker) -> ReportedQueue {
        let report = worker.activity().and_then(|activity| activity.load.latest_report());
        let Some(received) = report else { return ReportedQueue::default() };
        let Some(tokens) = received.report.queued_tokens else { return ReportedQueue::default() };
        let latency = self.context.latency;
        let prompt_tokens = latency.prompt_tokens().value_or(1.0).max(1.0);
        let uncached_share = latency.uncached_tokens().value_or(1.0) / prompt_tokens;
        let confidence = decay_factor(self.context.now, received.received_at);
        ReportedQueue { tokens: tokens * uncached_share.min(1.0), confidence }
    }

    /// Projects the KV cache utilization of a worker, weighted by its slowness.
    ///
    /// A fresh load report determines the result, together with the attempts that this router has sent since.
    /// As the report ages, and without one, the estimate assumes that each other router uses as much of the
    /// worker's KV cache as this one.
    pub fn projected_utilization(&self, worker: &'a Worker) -> f64 {
        let in_flight = || self.context.in_flight_at(worker);
        let own = in_flight().map(|attempt| attempt.added_tokens).sum::<f64>();
        let extrapolated = own * f64::from(self.context.settings.replica_count);
        let report = worker.activity().and_then(|activity| activity.load.latest_report());
        let projected_tokens = match report {
            Some(ReceivedReport {
                received_at,
                report: LoadReport { kv_cache_utilization: Some(utilization), .. },
            }) => {
                let sent_since: f64 =
                    in_flight().filter(|a| a.sent_at >= received_at).map(|a| a.added_tokens).sum();
                // Other routers' attempts since the report are unknown, so its weight decreases with its age.
                let confidence = decay_factor(self.context.now, received_at);
                confidence * (utilization * worker.kv_cache_tokens + sent_since)
                    + (1.0 - confidence) * extrapolated
            }
            _ => extrapolated,
        };
        projected_tokens / worker.kv_cache_tokens * self.context.relative_slowness(worker)
    }
}
