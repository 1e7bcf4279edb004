//! What is reported of the load at a worker, and what other routers gossip of it.

use super::statistics::{DecayingSum, LOAD_HALF_LIFE};
use crate::interface::{LoadReport, Micros};

/// So few presumed tokens count as none.
const NEGLIGIBLE_TOKENS: f64 = 1e-9;

/// A load report and when it came.
#[derive(Clone, Copy)]
pub(super) struct ReceivedReport {
    /// When it came.
    pub received_at: Micros,
    /// What it says.
    pub report: LoadReport,
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
    /// Tokens that wait there according to other routers' gossip, and those presumed from this router's
    /// own prefills that timed out.
    presumed_tokens: DecayingSum,
}

impl LoadView {
    /// Records a load report. Values that are not finite or below zero count as not reported.
    pub fn record_report(&mut self, now: Micros, report: LoadReport) {
        let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
        let kv_cache_utilization = valid(report.kv_cache_utilization);
        let queued_tokens = valid(report.queued_tokens);
        let report = LoadReport { kv_cache_utilization, queued_tokens, ..report };
        self.report = Some(ReceivedReport { received_at: now, report });
    }

    /// Adds tokens that are presumed to wait there by gossip or by a timeout; negative when they are done.
    pub fn add_presumed_tokens(&mut self, now: Micros, tokens: f64) {
        self.presumed_tokens.add(now, tokens);
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

    /// The latest report, if there was one.
    pub fn latest_report(&self) -> Option<ReceivedReport> {
        self.report
    }

    /// Tokens that are presumed to wait there by gossip and timeouts.
    pub fn presumed_tokens(&self, now: Micros) -> f64 {
        self.presumed_tokens.value_at(now)
    }

    /// Whether nothing is known of the load, or no more than would make no difference.
    pub fn is_unknown(&self, now: Micros) -> bool {
        self.report.is_none() && self.presumed_tokens.value_at(now) < NEGLIGIBLE_TOKENS
    }

    /// The reported share of its memory in use.
    pub fn memory_utilization(&self) -> Option<f64> {
        self.report.and_then(|received| received.report.kv_cache_utilization)
    }
}
