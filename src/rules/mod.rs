//! The invariants of the router. Each is decided in one place and checked at run time.
//!
//! [`send`] decides whether an attempt may be made and whether its bytes may be written, [`idempotency`]
//! whether a request may be retried or rejected, and [`close`] when a client connection is closed. All are
//! pure functions of the state that the caller passes in when it is about to act. The driver repeats the
//! checks of the policy: an action that would break an invariant is counted in [`Violations`] and not
//! executed.

pub mod close;
pub mod idempotency;
pub mod send;

use std::cell::Cell;
use std::fmt;

/// An invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request has at most one attempt in flight, unless hedging is allowed.
    SingleAttemptInFlight,
    /// A request has no more attempts than the settings allow.
    AttemptLimit,
    /// No attempt is sent for a request that has its final response.
    NoAttemptAfterResponse,
    /// A non-idempotent request does not run twice.
    AtMostOnce,
    /// A request is rejected only if a retry is harmless.
    RejectionSafeToRetry,
    /// Each request has its final response at most
    /// [`response_grace`](crate::interface::Settings::response_grace) after its deadline.
    FinalResponse,
    /// No KV cache is held for a request that has ended.
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

/// Counts the violations of each invariant, prevented ones included.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Invariant::ALL.len()]);

impl Violations {
    /// Counts a violation and logs it with its request. Monitoring matches the prefix of the log line.
    pub fn record(&self, invariant: Invariant, request: &str, detail: impl fmt::Display) {
        self.0[invariant as usize].set(self.count(invariant) + 1);
        log::error!("violation: {invariant:?}, request {request}: {detail}");
    }

    /// The number of violations of an invariant.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }

    /// The number of violations of all invariants.
    pub fn total(&self) -> u64 {
        Invariant::ALL.iter().map(|invariant| self.count(*invariant)).sum()
    }
}
