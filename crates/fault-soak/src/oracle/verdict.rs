//! What the oracle finds: violated invariants, and a summary of what was served.

use super::observations::{Observations, Request};
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{RequestId, RouterIndex};
use std::collections::BTreeMap;
use std::fmt;

/// An invariant of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each request that the router accepts gets one final response, in time.
    FinalResponse,
    /// A connection on which a request was read and forwarded does not end without a response.
    ForwardedThenAnswered,
    /// A streamed response consists of what one worker sent, unaltered.
    StreamIntact,
    /// A stream that its worker completed is forwarded to its end.
    StreamComplete,
    /// When a stream stalls for good, the connection of its client is closed in time.
    DeadStreamClosed,
    /// No attempt starts for a client that has disconnected.
    NoAttemptAfterDisconnect,
    /// No attempt starts for a request that has its response.
    NoAttemptAfterResponse,
    /// The time limit that a worker gets does not exceed the time that the client has left.
    DeadlinePropagated,
    /// The number of attempts for one request is limited.
    AttemptLimit,
    /// At most one attempt for a request is in flight.
    SingleAttemptInFlight,
    /// A request that must not be executed twice is not.
    IdempotencyRespected,
    /// A rejection implies that sending the request again is harmless.
    RejectionSafeToRetry,
    /// A rejection has a `Retry-After` header.
    RetryAfterPresent,
    /// A draining worker, or one that is gone, gets no new calls.
    DrainRespected,
    /// A reserved KV cache is fetched or released in time.
    CacheReleased,
    /// A cold worker gets no more calls than it can serve.
    SlowStart,
    /// A misbehaving client gets an error, or its connection is closed, in time.
    MisbehavingClientsRejected,
    /// A process exits only when asked, and reports success then.
    NoCrash,
    /// A router that starts becomes ready in time.
    ReadyInTime,
    /// Memory and file descriptors of a router stay within their limits.
    ResourceLimits,
    /// The router logs neither a panic nor a violation that it detected itself.
    CleanLog,
    /// Service is back to normal soon after the last fault.
    Recovery,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was violated.
    pub at: Timestamp,
    /// The router.
    pub router: RouterIndex,
    /// The request, if the violation concerns one.
    pub request: Option<RequestId>,
    /// What was observed.
    pub detail: String,
    /// Whether the harness was delayed around that time, which may explain the observation.
    pub is_doubtful: bool,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { invariant, router, detail, .. } = self;
        let request = self.request.as_deref().unwrap_or("-");
        let doubt = if self.is_doubtful { " (doubtful: the harness was delayed)" } else { "" };
        write!(formatter, "{invariant:?}: router {router}, request {request}: {detail}{doubt}")
    }
}

/// The violations that the checks have found so far.
pub(super) struct Findings<'a> {
    run: &'a Observations,
    violations: Vec<Violation>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(run: &'a Observations) -> Self {
        Findings { run, violations: Vec::new() }
    }

    /// Adds a violation that concerns a router as a whole.
    pub(super) fn add(
        &mut self,
        invariant: Invariant,
        at: Timestamp,
        router: RouterIndex,
        detail: impl Into<String>,
    ) {
        let is_doubtful = self.run.was_harness_delayed_around(at);
        let detail = detail.into();
        self.violations.push(Violation { invariant, at, router, request: None, detail, is_doubtful });
    }

    /// Adds a violation that concerns a request.
    pub(super) fn add_for(
        &mut self,
        request: &Request,
        invariant: Invariant,
        at: Timestamp,
        router: RouterIndex,
        detail: impl Into<String>,
    ) {
        self.add(invariant, at, router, detail);
        if let Some(violation) = self.violations.last_mut() {
            violation.request = Some(request.id.clone());
        }
    }

    /// All violations, by invariant and then by time.
    pub(super) fn into_violations(self) -> Vec<Violation> {
        let mut violations = self.violations;
        violations.sort_by_key(|violation| (violation.invariant, violation.at));
        violations
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The client got the whole stream.
    Completed,
    /// The stream ended early.
    Truncated,
    /// The router rejected the request with 429 or 503.
    Rejected,
    /// The client got another error.
    Failed,
    /// The client got no response.
    Unanswered,
    /// The client disconnected.
    Disconnected,
}

/// How many streams had an event that reached its client late.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamDelays {
    /// Streams with such an event.
    pub delayed: usize,
    /// All streams.
    pub total: usize,
}

/// What was served, in numbers.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests with each outcome.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// The share of requests that were served after the recovery.
    pub recovered_share: f64,
    /// Streams with late events.
    pub stream_delays: StreamDelays,
}

/// The result of judging a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The violations, by invariant and then by time.
    pub violations: Vec<Violation>,
    /// What was served.
    pub summary: Summary,
}
