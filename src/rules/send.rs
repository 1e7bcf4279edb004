//! Whether an attempt may be made, and whether it may be written.

use super::Rule;
use crate::interface::{Idempotency, Micros, Outcome};
use std::fmt;

/// A request at the moment in which an attempt is decided on.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// Whether it has its final answer.
    pub is_answered: bool,
    /// Attempts so far.
    pub attempts: usize,
    /// Attempts allowed.
    pub max_attempts: usize,
    /// Attempts that are out.
    pub attempts_out: usize,
    /// Whether more than one may be out.
    pub hedging_allowed: bool,
    /// What a repeat does.
    pub effect: Idempotency,
    /// Whether an earlier attempt may have had an effect.
    pub may_have_run: bool,
}

/// Whether an attempt may be made for a request.
///
/// # Errors
/// The promise that it would break.
pub fn may_attempt(request: &RequestFacts) -> Result<(), Rule> {
    if request.is_answered {
        return Err(Rule::NothingAfterAnswer);
    }
    if request.attempts_out > 0 && !request.hedging_allowed {
        return Err(Rule::OneAttemptOut);
    }
    if request.attempts >= request.max_attempts {
        return Err(Rule::AttemptLimit);
    }
    if request.effect == Idempotency::NonIdempotent && request.may_have_run {
        return Err(Rule::EffectOnce);
    }
    Ok(())
}

/// An attempt at the moment in which bytes of it are written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether its request still waits for its final answer.
    pub is_open: bool,
    /// Whether its client has left.
    pub client_left: bool,
    /// Now.
    pub now: Micros,
    /// When its time is up.
    pub until: Micros,
    /// It may only begin before this.
    pub begin_before: Option<Micros>,
    /// Whether its worker is in service.
    pub worker_is_ready: bool,
}

/// Why an attempt may not begin, or not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Its request has been answered.
    Answered,
    /// Its client has left.
    ClientLeft,
    /// Its time is up.
    TimeUp,
    /// Workers would not recognize it as a repeat any more.
    WindowOver,
    /// Its worker drains or is gone.
    WorkerWithdrawn,
}

impl Withheld {
    /// The outcome of an attempt of which nothing was written.
    pub fn outcome(self) -> Outcome {
        match self {
            Withheld::Answered | Withheld::ClientLeft => Outcome::Cancelled,
            Withheld::TimeUp => Outcome::ConnectFailed,
            Withheld::WindowOver | Withheld::WorkerWithdrawn => Outcome::NotSent,
        }
    }
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Withheld::Answered => "its request has been answered",
            Withheld::ClientLeft => "its client has left",
            Withheld::TimeUp => "its time is up",
            Withheld::WindowOver => "the window for repeats is over",
            Withheld::WorkerWithdrawn => "its worker drains or is gone",
        })
    }
}

/// Whether bytes of an attempt may be written now.
///
/// # Errors
/// Why not.
pub fn may_write(attempt: &AttemptFacts) -> Result<(), Withheld> {
    if !attempt.is_open {
        return Err(Withheld::Answered);
    }
    if attempt.client_left {
        return Err(Withheld::ClientLeft);
    }
    if attempt.now >= attempt.until {
        return Err(Withheld::TimeUp);
    }
    if attempt.begin_before.is_some_and(|end| attempt.now >= end) {
        return Err(Withheld::WindowOver);
    }
    if !attempt.worker_is_ready {
        return Err(Withheld::WorkerWithdrawn);
    }
    Ok(())
}
