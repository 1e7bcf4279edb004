//! Checks whether an attempt may be made, and whether it may be written.

use super::Invariant;
use crate::interface::{Idempotency, Micros, Outcome};
use std::fmt;

/// A request at the moment in which an attempt is decided on.
#[derive(Clone, Copy, Debug)]
pub struct RequestSnapshot {
    /// Whether it has its final answer.
    pub is_answered: bool,
    /// How many attempts there have been.
    pub attempts: usize,
    /// How many attempts are allowed.
    pub max_attempts: usize,
    /// How many attempts are in flight.
    pub attempts_in_flight: usize,
    /// Whether more than one may be in flight.
    pub hedging_allowed: bool,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Whether an earlier attempt may have had an effect.
    pub may_have_run: bool,
}

/// Checks whether another attempt may be made for a request.
///
/// # Errors
/// The invariant that the attempt would break.
pub fn check_attempt(request: &RequestSnapshot) -> Result<(), Invariant> {
    if request.is_answered {
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

/// An attempt at the moment in which bytes of it are about to be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSnapshot {
    /// Whether its request still waits for its final answer.
    pub is_request_open: bool,
    /// Whether its client has disconnected.
    pub client_disconnected: bool,
    /// The present time.
    pub now: Micros,
    /// When the attempt times out.
    pub deadline: Micros,
    /// The attempt must be written before this, its first byte and every later part, so that it arrives
    /// inside its deduplication window; `None`: at any time.
    pub deduplication_deadline: Option<Micros>,
    /// Whether its worker is in service.
    pub worker_is_ready: bool,
}

/// Why an attempt may not begin, or not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// Its request has its final answer.
    Answered,
    /// Its client has disconnected.
    ClientDisconnected,
    /// It has timed out.
    TimedOut,
    /// Workers would not recognize it as a repeat any more.
    DeduplicationWindowExpired,
    /// Its worker is draining or removed.
    WorkerNotReady,
}

impl WithholdReason {
    /// The outcome of an attempt of which nothing was written.
    pub fn outcome(self) -> Outcome {
        match self {
            WithholdReason::Answered | WithholdReason::ClientDisconnected => Outcome::Cancelled,
            // Its time was spent before the first byte, which for the most part means on connecting: it counts
            // against the worker like a connection that is not established in time.
            WithholdReason::TimedOut => Outcome::ConnectFailed,
            WithholdReason::DeduplicationWindowExpired | WithholdReason::WorkerNotReady => Outcome::NotSent,
        }
    }
}

impl fmt::Display for WithholdReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WithholdReason::Answered => "its request has been answered",
            WithholdReason::ClientDisconnected => "its client has disconnected",
            WithholdReason::TimedOut => "it has timed out",
            WithholdReason::DeduplicationWindowExpired => "the deduplication window is over",
            WithholdReason::WorkerNotReady => "its worker is draining or removed",
        })
    }
}

/// Checks whether bytes of an attempt may be written now.
///
/// # Errors
/// Why not.
pub fn check_write(attempt: &AttemptSnapshot) -> Result<(), WithholdReason> {
    if !attempt.is_request_open {
        return Err(WithholdReason::Answered);
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
