//! The promises that the router keeps, each decided on in one place, and checked while it runs.
//!
//! Whether an attempt may be made or written is decided in [`send`], whether a request may be repeated or refused in
//! [`idempotency`], and when a client's connection may end in [`close`]. These are functions of plain facts: whoever is about to
//! act gathers the facts of that moment and asks. Where two parts of the program have to agree, the driver asks again
//! behind the policy, and what it finds broken is counted in [`Violations`] and not done.

pub mod close;
pub mod idempotency;
pub mod send;

use std::cell::Cell;
use std::fmt;

/// A promise that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request has one attempt out at a time.
    OneAttemptOut,
    /// A request has no more attempts than the settings allow.
    AttemptLimit,
    /// Nothing is sent for a request that has its final answer.
    NothingAfterAnswer,
    /// What must not run twice is not sent twice.
    EffectOnce,
    /// A refusal promises that trying again is harmless.
    HonestRefusal,
    /// Each request has its final answer within the slack behind its deadline.
    AnswerInTime,
    /// Nothing is held for a request that is over.
    NothingLeftBehind,
}

impl Rule {
    const ALL: [Rule; 7] = [
        Rule::OneAttemptOut,
        Rule::AttemptLimit,
        Rule::NothingAfterAnswer,
        Rule::EffectOnce,
        Rule::HonestRefusal,
        Rule::AnswerInTime,
        Rule::NothingLeftBehind,
    ];
}

/// How often each promise was found broken, or would have been.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Rule::ALL.len()]);

impl Violations {
    /// Counts a violation and logs the request that it is about.
    pub fn note(&self, rule: Rule, request: &str, detail: impl fmt::Display) {
        self.0[rule as usize].set(self.count(rule) + 1);
        log::error!("violation: {rule:?}, request {request}: {detail}");
    }

    /// How often a promise was found broken.
    pub fn count(&self, rule: Rule) -> u64 {
        self.0[rule as usize].get()
    }

    /// All of them together.
    pub fn total(&self) -> u64 {
        Rule::ALL.iter().map(|rule| self.count(*rule)).sum()
    }
}
