//! Observed load of a worker: its own load reports and the gossip of other routers.

use super::statistics::{DecayingSum, LOAD_HALF_LIFE};
use crate::interface::{LoadReport, Micros};

/// Presumed tokens below this number are treated as none.
const NEGLIGIBLE_TOKENS: f64 = 1e-9;

/// A load report with the time of its receipt.
#[derive(Clone, Copy)]
pub(super) struct ReceivedReport {
    pub received_at: Micros,
    pub report: LoadReport,
}

/// Whether a health check has to fetch a load report before a prefill is sent to a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthCheckNeed {
    /// A fresh report is available, or the latest health check is overdue. The prefill does not wait.
    NotNeeded,
    /// A health check is in progress. The prefill waits for its report.
    InProgress,
    /// There is neither a fresh report nor a recent health check, so a health check has to be sent.
    Required,
}

/// Load of one worker, as observed by this router.
#[derive(Default)]
pub(super) struct LoadView {
    report: Option<ReceivedReport>,
    health_check_sent_at: Option<Micros>,
    /// Queued tokens according to the gossip of other routers, and those presumed from prefills of this
    /// router that timed out.
    presumed_tokens: DecayingSum,
}

impl LoadView {
    /// Records a load report. Values that are negative or not finite are treated as not reported.
    pub fn record_report(&mut self, now: Micros, report: LoadReport) {
        let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
        let kv_cache_utilization = valid(report.kv_cache_utilization);
        let queued_tokens = valid(report.queued_tokens);
        let report = LoadReport { kv_cache_utilization, queued_tokens, ..report };
        self.report = Some(ReceivedReport { received_at: now, report });
    }

    /// Adds queued tokens presumed from gossip or a timeout; removes them if `tokens` is negative.
    pub fn add_presumed_tokens(&mut self, now: Micros, tokens: f64) {
        self.presumed_tokens.add(now, tokens);
    }

    /// Whether a health check has to be sent, is in progress, or is not needed.
    ///
    /// A report is fresh if it was received at `fresh_since` or later. A health check without a report is
    /// overdue if it was sent before `fresh_since`, and is repeated after [`LOAD_HALF_LIFE`].
    pub fn health_check_need(&self, now: Micros, fresh_since: Micros) -> HealthCheckNeed {
        let received_at = self.report.map(|received| received.received_at);
        if received_at.is_some_and(|at| at >= fresh_since) {
            return HealthCheckNeed::NotNeeded;
        }
        let pending_since = (self.health_check_sent_at)
            .filter(|sent_at| Some(*sent_at) > received_at && sent_at + LOAD_HALF_LIFE >= now);
        match pending_since {
            Some(sent_at) if sent_at >= fresh_since => HealthCheckNeed::InProgress,
            Some(_) => HealthCheckNeed::NotNeeded,
            None => HealthCheckNeed::Required,
        }
    }

    /// Records that a health check has been sent.
    pub fn health_check_sent(&mut self, now: Micros) {
        self.health_check_sent_at = Some(now);
    }

    pub fn latest_report(&self) -> Option<ReceivedReport> {
        self.report
    }

    /// The queued tokens presumed from gossip and timeouts, decayed to `now`.
    pub fn presumed_tokens(&self, now: Micros) -> f64 {
        self.presumed_tokens.value_at(now)
    }

    /// Whether there is no load report and the presumed tokens are negligible.
    pub fn is_unknown(&self, now: Micros) -> bool {
        self.report.is_none() && self.presumed_tokens.value_at(now) < NEGLIGIBLE_TOKENS
    }

    /// The KV cache utilization from the latest report; `None` if it was not reported.
    pub fn kv_cache_utilization(&self) -> Option<f64> {
        self.report.and_then(|received| received.report.kv_cache_utilization)
    }
}
