//! The results of the oracle: violated invariants, and a summary of the request outcomes.

use super::observations::{Observations, Request};
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{RequestId, RouterIndex};
use std::collections::BTreeMap;
use std::fmt;

/// An invariant of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each request that the router accepts gets a final response in time.
    FinalResponse,
    /// A connection whose request was forwarded does not end without a response.
    ForwardedThenAnswered,
    /// A streamed response consists of the unaltered events of one worker.
    StreamIntact,
    /// A stream that its worker completed is forwarded to its end.
    StreamComplete,
    /// The client connection of a permanently stalled stream is closed in time.
    DeadStreamClosed,
    /// No attempt starts for a client that has disconnected.
    NoAttemptAfterDisconnect,
    /// No attempt starts after the response.
    NoAttemptAfterResponse,
    /// The timeout propagated to a worker does not exceed the remaining time of the client.
    DeadlinePropagated,
    /// The number of attempts for one request is limited.
    AttemptLimit,
    /// At most one attempt for a request is in flight.
    SingleAttemptInFlight,
    /// A request is not executed more than once, unless its idempotency allows it.
    IdempotencyRespected,
    /// A rejection implies that sending the request again is harmless.
    RejectionSafeToRetry,
    /// A rejection has a `Retry-After` header.
    RetryAfterPresent,
    /// A worker that is draining or gone gets no new calls.
    DrainRespected,
    /// A reserved KV cache is fetched or released in time.
    CacheReleased,
    /// A cold worker gets no more calls than it can serve while it warms up.
    SlowStart,
    /// A misbehaving client gets an error response, or its connection is closed, in time.
    MisbehavingClientsRejected,
    /// A router process exits only after SIGTERM or SIGKILL, and after SIGTERM successfully.
    NoCrash,
    /// A router process becomes ready in time after its start.
    ReadyInTime,
    /// Memory and file descriptors of a router stay within their limits.
    ResourceLimits,
    /// The router logs neither a panic nor a violation that it detected itself.
    CleanLog,
    /// The success rate is back to normal soon after the last fault.
    Recovery,
}

/// An observation that contradicts an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which invariant was violated.
    pub invariant: Invariant,
    /// When the invariant was violated.
    pub at: Timestamp,
    /// The router that violated the invariant; 0 for [`Invariant::SlowStart`], which concerns the calls of
    /// all routers together.
    pub router: RouterIndex,
    /// The affected request, if the violation concerns a single one.
    pub request: Option<RequestId>,
    /// What was observed and what was expected.
    pub detail: String,
    /// Whether the test harness was delayed around that time, which may explain the observation.
    pub is_doubtful: bool,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { invariant, router, detail, .. } = self;
        let request = self.request.as_deref().unwrap_or("-");
        let note = if self.is_doubtful { " (doubtful: the harness was delayed)" } else { "" };
        write!(formatter, "{invariant:?}: router {router}, request {request}: {detail}{note}")
    }
}

/// The collector of the violations that the checks find.
pub(super) struct Findings<'a> {
    run: &'a Observations,
    violations: Vec<Violation>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(run: &'a Observations) -> Self {
        Findings { run, violations: Vec::new() }
    }

    /// Adds a violation that concerns a router rather than a single request.
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

    /// Adds a violation that concerns a single request.
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

    /// All violations, ordered by invariant and then by time.
    pub(super) fn into_violations(self) -> Vec<Violation> {
        let mut violations = self.violations;
        violations.sort_by_key(|violation| (violation.invariant, violation.at));
        violations
    }
}

/// The outcome of a request, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The client received the complete stream.
    Completed,
    /// The router responded with 200, but the client did not receive the complete stream.
    Truncated,
    /// The router rejected the request with 429 or 503.
    Rejected,
    /// The client received another error status.
    Failed,
    /// The client received no response.
    Unanswered,
    /// The client disconnected before the end of the response.
    Disconnected,
}

/// The number of streams with late events.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamDelays {
    /// Streams with at least one event that reached its client late.
    pub delayed: usize,
    /// All streams.
    pub total: usize,
}

/// Statistics of the requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests with each outcome.
    pub outcomes: BTreeMap<RequestOutcome, usize>,
    /// The share of requests in the observation window that were completed.
    pub recovered_share: f64,
    /// The streams of the whole run, and those of them with late events.
    pub stream_delays: StreamDelays,
}

/// The oracle's result for a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The violations, ordered by invariant and then by time.
    pub violations: Vec<Violation>,
    /// Statistics of the requests of the run, whether or not they violated an invariant.
    pub summary: Summary,
}
