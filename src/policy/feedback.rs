//! Updates of worker health, learned latencies and timeout backoff from the outcomes of attempts.

use super::decode_timeouts::DecodeTimeouts;
use super::latency_model::{LatencyKind, LatencyModel, TimeoutBackoff};
use super::membership::Membership;
use super::request::TrackedAttempt;
use super::statistics::LOAD_HALF_LIFE;
use super::worker::TrafficKey;
use crate::interface::{Micros, Outcome, Settings, Stage, WorkerId};

/// Time for which a worker that has rejected a request is avoided for requests of the same class and tenant,
/// as long as another worker is eligible.
const REJECTION_PERIOD: Micros = LOAD_HALF_LIFE / 2;

/// An attempt that has ended, with the values that are learned from it.
pub(super) struct EndedAttempt {
    /// The attempt as it was in flight, without its outcome.
    pub attempt: TrackedAttempt,
    pub outcome: Outcome,
    /// The time from the sending of the attempt to its end, as measured by the caller of the policy.
    pub elapsed: Micros,
    /// Prompt tokens that the worker did not find cached.
    pub uncached_tokens: f64,
    /// The class and tenant of the attempt's request.
    pub traffic: TrafficKey,
}

/// The state that is updated from outcomes, borrowed for one event.
pub(super) struct Feedback<'a> {
    pub now: Micros,
    pub settings: &'a Settings,
    /// All listed workers, and removed workers that still have attempts in flight.
    pub membership: &'a mut Membership,
    /// Learned latencies and prompt sizes.
    pub latency: &'a mut LatencyModel,
    /// The backoff of timeouts, per stage.
    pub timeout_backoff: &'a mut TimeoutBackoff,
    /// Recent decode timeouts.
    pub decode_timeouts: &'a mut DecodeTimeouts,
}

impl Feedback<'_> {
    /// Records an attempt whose response stream has started after `elapsed`.
    pub fn stream_started(&mut self, attempt: &TrackedAttempt, elapsed: Micros) {
        self.timeout_backoff.record_success(Stage::Decode);
        self.record_success(&attempt.worker);
        self.record_latency(
            &attempt.worker,
            LatencyKind::FirstToken(attempt.distance),
            elapsed,
            attempt.work_tokens,
        );
    }

    /// Records an attempt that has ended.
    pub fn attempt_ended(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, .. } = ended;
        match ended.outcome {
            Outcome::PrefillCompleted => self.prefill_completed(ended),
            // A response stream counted as a success when it started; other responses count now.
            Outcome::Completed if attempt.stream_started_at.is_none() => self.record_success(&attempt.worker),
            Outcome::Rejected => {
                let until = self.now + REJECTION_PERIOD;
                if let Some(worker) = self.membership.activity_mut(&attempt.worker) {
                    worker.record_rejection(ended.traffic.clone(), self.now, until);
                }
            }
            Outcome::TimedOut => self.timed_out(ended),
            Outcome::WorkerError | Outcome::ConnectionLost => self.record_failure(attempt),
            Outcome::ConnectFailed => {
                if let Some(worker) = self.membership.activity_mut(&attempt.worker) {
                    worker.outlier.record_connect_failure(self.now, attempt.sent_at, self.settings);
                }
            }
            Outcome::Completed | Outcome::CacheMissing | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn prefill_completed(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, uncached_tokens, .. } = ended;
        self.timeout_backoff.record_success(Stage::Prefill);
        self.latency.record_uncached_tokens(*uncached_tokens);
        self.record_success(&attempt.worker);
        let work_tokens = attempt.work_tokens - attempt.added_tokens + uncached_tokens;
        self.record_latency(&attempt.worker, LatencyKind::Prefill, ended.elapsed, work_tokens);
    }

    fn timed_out(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, elapsed, .. } = ended;
        self.timeout_backoff.record_timeout(attempt.stage, attempt.stream_started_at.is_some());
        // The elapsed time is a lower bound of the latency. Without it, the learned latency would stay too
        // low under load, and timeouts would cause more timeouts.
        let kind = LatencyKind::of(attempt.stage, attempt.distance);
        self.record_latency(&attempt.worker, kind, *elapsed, attempt.work_tokens);
        self.record_failure(attempt);
        match attempt.stage {
            Stage::Decode => self.decode_timeouts.record(attempt.distance, self.now),
            Stage::Prefill if self.settings.is_load_unobservable() => {
                // In place of a load report, presume a queue that takes as long as the attempt took.
                let time_per_token = self.latency.prefill_time_per_token().value_or(f64::MAX).max(1e-9);
                if let Some(worker) = self.membership.activity_mut(&attempt.worker) {
                    worker.load.add_presumed_tokens(self.now, *elapsed as f64 / time_per_token);
                }
            }
            Stage::Prefill => {}
        }
    }

    fn record_success(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.membership.activity_mut(worker) {
            worker.record_success(self.now);
        }
    }

    fn record_failure(&mut self, attempt: &TrackedAttempt) {
        if let Some(worker) = self.membership.activity_mut(&attempt.worker) {
            worker.outlier.record_failure(self.now, attempt.sent_at, self.settings);
        }
    }

    fn record_latency(&mut self, worker: &WorkerId, kind: LatencyKind, elapsed: Micros, work_tokens: f64) {
        let ratio = self.latency.record(kind, elapsed, work_tokens);
        self.membership.record_slowness(worker, ratio);
    }
}
