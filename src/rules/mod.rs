//! The invariants that the router keeps: each is decided in one place and checked while the router runs.
//!
//! [`send`] decides whether an attempt may be made and whether it may be written, [`idempotency`] whether a
//! request may be repeated or rejected, and [`close`] when a client's connection may end. All of these are
//! functions of plain facts: whoever is about to act collects the facts of that moment and asks. Where two
//! parts of the program have to agree, the driver asks again after the policy, and an action that would break
//! an invariant is counted in [`Violations`] and not executed.

pub mod close;
pub mod idempotency;
pub mod send;

use std::cell::Cell;
use std::fmt;

/// An invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has one attempt in flight at a time, unless hedging is allowed.
    SingleAttemptInFlight,
    /// A request has no more attempts than the settings allow.
    AttemptLimit,
    /// Nothing is sent for a request that has its final answer.
    NoAttemptAfterResponse,
    /// A request that is not idempotent does not run twice.
    AtMostOnce,
    /// A request is only rejected if retrying it is harmless.
    RejectionSafeToRetry,
    /// Each request has its final answer within the tolerance after its deadline.
    FinalResponse,
    /// No KV cache is held for a request that is over.
    CacheReleased,
}

impl Invariant {
    const ALL: [Invariant; 7] = [
        Invariant::SingleAttemptInFlight,
        Invariant::AttemptLimit,
        Invariant::NoAttemptAfterResponse,
        Invariant::AtMostOnce,
        Invariant::RejectionSafeToRetry,
        Invariant::FinalResponse,
        Invariant::CacheReleased,
    ];
}

/// How often each invariant was found broken, or would have been.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Invariant::ALL.len()]);

impl Violations {
    /// Counts a violation and logs it with the request that it concerns. Monitoring looks for the prefix of
    /// the line.
    pub fn record(&self, invariant: Invariant, request: &str, detail: impl fmt::Display) {
        self.0[invariant as usize].set(self.count(invariant) + 1);
        log::error!("violation: {invariant:?}, request {request}: {detail}");
    }

    /// How often an invariant was found broken.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }

    /// The violations of all invariants together.
    pub fn total(&self) -> u64 {
        Invariant::ALL.iter().map(|invariant| self.count(*invariant)).sum()
    }
}
