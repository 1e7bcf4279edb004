//! Holds what was seen against the router's promises.
//!
//! Each invariant has a check of its own in a module beside this one; [`View`] sorts the records for them.

mod answers;
mod attempts;
mod caches;
mod clients;
mod membership;
mod processes;
mod recovery;
mod slow_start;
mod view;

pub use view::View;

use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{Entry, RequestId, RouterIndex};
use std::collections::BTreeMap;
use std::fmt;

/// The stand-ins see things this much late, in the ordinary course.
pub const TOLERANCE: Micros = 20 * MILLISECOND;

/// A invariant of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each request taken gets one final answer, in time.
    FinalResponse,
    /// A request is read only by the connection that answers it.
    ForwardedThenAnswered,
    /// A stream is what one worker sent, whole.
    StreamIntact,
    /// A stream that its worker finished is forwarded to its end.
    StreamComplete,
    /// A stream that died ends its client's connection in time.
    DeadStreamClosed,
    /// Nothing begins for a client that has left.
    NoAttemptAfterDisconnect,
    /// Nothing begins for a request that has been answered.
    NoAttemptAfterResponse,
    /// A worker is told no more time than the client has left.
    DeadlinePropagated,
    /// No more attempts than allowed.
    AttemptLimit,
    /// One attempt at a time.
    SingleAttemptInFlight,
    /// What must not run twice does not.
    IdempotencyRespected,
    /// A refusal promises that trying again is harmless.
    RejectionSafeToRetry,
    /// A refusal tells when to come back.
    RetryAfterPresent,
    /// Nothing new to a worker that drains or is gone.
    DrainRespected,
    /// What is held is taken over or released in time.
    CacheReleased,
    /// Cold workers get what they can take.
    SlowStart,
    /// Misbehaving clients get an error or a close in time.
    MisbehavingClientsRejected,
    /// The process ends only when told, and in order.
    NoCrash,
    /// A router that starts is ready in time.
    ReadyInTime,
    /// Memory and descriptors stay within their limits.
    ResourceLimits,
    /// The program itself counted no violation and caught no panic.
    CleanLog,
    /// Service is back soon after the troubles.
    Recovery,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was broken.
    pub at: Micros,
    /// The router.
    pub router: RouterIndex,
    /// The request, if it is about one.
    pub request: Option<RequestId>,
    /// What was seen.
    pub detail: String,
    /// The stand-ins were late around that moment: it may be their doing.
    pub is_doubtful: bool,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = self.request.as_deref().unwrap_or("-");
        let doubt = if self.is_doubtful { " (doubtful: the harness was late)" } else { "" };
        write!(f, "{:?}: router {}, request {request}: {}{doubt}", self.invariant, self.router, self.detail)
    }
}

/// Collects violations.
pub struct Findings<'a> {
    view: &'a View,
    found: Vec<Violation>,
}

impl Findings<'_> {
    fn add(
        &mut self,
        invariant: Invariant,
        at: Micros,
        router: RouterIndex,
        request: Option<&RequestId>,
        detail: impl Into<String>,
    ) {
        let is_doubtful = self.view.harness_was_late_around(at);
        let (request, detail) = (request.cloned(), detail.into());
        self.found.push(Violation { invariant, at, router, request, detail, is_doubtful });
    }
}

/// What was served, in numbers.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests by what became of them.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// The share of requests served in the time after the recovery.
    pub recovered_share: f64,
    /// Streams with an event that came over 0.3 s late, and all streams.
    pub held_back: (usize, usize),
}

/// Judges a run.
pub fn judge(
    entries: &[Entry],
    deployment: &Deployment,
    watched: (Micros, Micros),
) -> (Vec<Violation>, Summary) {
    let view = View::new(entries);
    let mut findings = Findings { view: &view, found: Vec::new() };
    answers::check(&view, &mut findings);
    attempts::check(&view, deployment, &mut findings);
    caches::check(&view, deployment, &mut findings);
    membership::check(&view, deployment, &mut findings);
    slow_start::check(&view, deployment, &mut findings);
    clients::check(&view, &mut findings);
    processes::check(&view, deployment, &mut findings);
    let recovered_share = recovery::check(&view, watched, &mut findings);
    let mut found = findings.found;
    found.sort_by_key(|violation| (violation.invariant, violation.at));
    let summary =
        Summary { outcomes: answers::outcomes(&view), recovered_share, held_back: answers::held_back(&view) };
    (found, summary)
}
