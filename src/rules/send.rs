//! Whether an attempt may be made, and whether its bytes may be written.

use super::Invariant;
use crate::interface::{Idempotency, Micros, Outcome};
use std::fmt;

/// The state of a request when another attempt is decided.
#[derive(Clone, Copy, Debug)]
pub struct RequestSnapshot {
    /// Whether the request has its final response.
    pub has_final_response: bool,
    /// The number of attempts of the request so far, those in flight included.
    pub attempts: usize,
    /// The number of attempts that the settings allow per request.
    pub max_attempts: usize,
    /// The number of attempts of the request that have no outcome yet.
    pub attempts_in_flight: usize,
    /// Whether more than one attempt may be in flight.
    pub hedging_allowed: bool,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Whether an earlier attempt may have had an effect.
    pub may_have_run: bool,
}

/// Checks whether another attempt may be made for a request.
///
/// # Errors
/// The invariant that the attempt would violate.
pub fn check_attempt(request: &RequestSnapshot) -> Result<(), Invariant> {
    if request.has_final_response {
        return Err(Invariant::NoAttemptAfterResponse);
    }
    if request.attempts_in_flight > 0 && !request.hedging_allowed {
        return Err(Invariant::SingleAttemptInFlight);
    }
    if request.attempts >= request.max_attempts {
        return Err(Invariant::AttemptLimit);
    }
    if request.idempotency == Idempotency::NonIdempotent && request.may_have_run {
        return Err(Invariant::AtMostOnce);
    }
    Ok(())
}

/// The state of an attempt when bytes of it are about to be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSnapshot {
    /// Whether the request has no final response yet.
    pub is_request_open: bool,
    /// Whether the client has disconnected.
    pub client_disconnected: bool,
    /// The time of the check.
    pub now: Micros,
    /// The time at which the attempt times out.
    pub deadline: Micros,
    /// The time before which the first byte and each later part must be written, so that the attempt arrives
    /// inside its deduplication window; `None`: no limit.
    pub deduplication_deadline: Option<Micros>,
    /// Whether the worker is in service.
    pub worker_is_ready: bool,
}

/// Why an attempt is withheld: it may not start, or the rest of it may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// The request has its final response.
    HasFinalResponse,
    /// The client of the request has disconnected.
    ClientDisconnected,
    /// The attempt's deadline has passed.
    TimedOut,
    /// Workers would no longer recognize the attempt as a duplicate.
    DeduplicationWindowExpired,
    /// The worker is draining or removed.
    WorkerNotReady,
}

impl WithholdReason {
    /// The outcome of a withheld attempt of which no byte was written.
    pub fn outcome(self) -> Outcome {
        match self {
            WithholdReason::HasFinalResponse | WithholdReason::ClientDisconnected => Outcome::Cancelled,
            // The time before the first byte is mostly spent on connecting, so this counts as a failure of
            // the worker, like a connection that is not established in time.
            WithholdReason::TimedOut => Outcome::ConnectFailed,
            WithholdReason::DeduplicationWindowExpired | WithholdReason::WorkerNotReady => Outcome::NotSent,
        }
    }
}

impl fmt::Display for WithholdReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WithholdReason::HasFinalResponse => "the request has its final response",
            WithholdReason::ClientDisconnected => "the client has disconnected",
            WithholdReason::TimedOut => "the attempt has timed out",
            WithholdReason::DeduplicationWindowExpired => "the deduplication window has expired",
            WithholdReason::WorkerNotReady => "the worker is draining or removed",
        })
    }
}

/// Checks whether bytes of an attempt may be written now.
///
/// # Errors
/// The reason for withholding the attempt.
pub fn check_write(attempt: &AttemptSnapshot) -> Result<(), WithholdReason> {
    if !attempt.is_request_open {
        return Err(WithholdReason::HasFinalResponse);
    }
    if attempt.client_disconnected {
        return Err(WithholdReason::ClientDisconnected);
    }
    if attempt.now >= attempt.deadline {
        return Err(WithholdReason::TimedOut);
    }
    if attempt.deduplication_deadline.is_some_and(|end| attempt.now >= end) {
        return Err(WithholdReason::DeduplicationWindowExpired);
    }
    if !attempt.worker_is_ready {
        return Err(WithholdReason::WorkerNotReady);
    }
    Ok(())
}
