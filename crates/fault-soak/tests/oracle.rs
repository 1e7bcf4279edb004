//! Tests of the oracle with scripted histories: it reports each violation, and none in a correct history.

use fault_soak::deployment::Deployment;
use fault_soak::oracle::{Invariant, judge};
use fault_soak::scenario::Scenario;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::{CallKind, ConnectionEnd, Idempotency, Record, Role, RouterSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const PREFILL: usize = 0;
const DECODE: usize = 1;
const OTHER_DECODE: usize = 2;
/// The timeout that the router propagates to workers.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// A history that a test scripts record by record.
struct ScriptedHistory {
    now: Timestamp,
    entries: Vec<Entry>,
}

impl ScriptedHistory {
    /// The start of a fleet of one router, one prefill worker and two decode workers.
    fn new() -> Self {
        let mut history = ScriptedHistory { now: Timestamp::from_micros(10_000_000), entries: Vec::new() };
        for (worker, role) in [(PREFILL, Role::Prefill), (DECODE, Role::Decode), (OTHER_DECODE, Role::Decode)]
        {
            history.add(Record::WorkerStarted { worker, role, zone: 0, cell: worker as u64, is_cold: false });
        }
        history.add(Record::RouterStarted { router: 0 }).add(Record::RouterReady { router: 0 });
        history
    }

    fn add(&mut self, record: Record) -> &mut Self {
        self.entries.push(Entry { at: self.now, record });
        self
    }

    /// Advances the clock of the history.
    fn after(&mut self, milliseconds: u64) -> &mut Self {
        self.now += Duration::from_millis(milliseconds);
        self
    }

    /// A client sends a request on a new connection.
    fn request_sent(&mut self, idempotency: Idempotency) -> &mut Self {
        let started = Record::RequestStarted {
            request: "q".into(),
            router: 0,
            idempotency,
            prior_requests: 0,
            is_resent: false,
        };
        self.add(started)
            .add(Record::RequestSent { request: "q".into(), first_token_timeout: Duration::from_secs(2) })
    }

    /// The router starts an attempt on a new connection and propagates a timeout.
    fn attempt_started(&mut self, worker: usize, connection: u64, timeout: Duration) -> &mut Self {
        let (call, request, propagated_timeout) = (CallKind::Attempt, "q".into(), Some(timeout));
        self.add(Record::CallStarted { call, request, router: 0, worker, connection, propagated_timeout })
    }

    /// The attempt reaches its worker.
    fn attempt_received(&mut self, worker: usize, connection: u64) -> &mut Self {
        self.add(Record::CallReceived { call: CallKind::Attempt, request: "q".into(), worker, connection })
    }

    /// The worker responds to the attempt.
    fn attempt_completed(
        &mut self,
        worker: usize,
        connection: u64,
        status: u16,
        was_not_executed: bool,
    ) -> &mut Self {
        let (request, is_complete) = ("q".into(), status != 0);
        self.add(Record::CallCompleted { request, worker, connection, status, was_not_executed, is_complete })
    }

    /// A prefill worker processes the prompt and reserves its KV cache.
    fn prefilled(&mut self) -> &mut Self {
        self.attempt_started(PREFILL, 1, ATTEMPT_TIMEOUT).attempt_received(PREFILL, 1).after(50);
        self.add(Record::CacheReserved { request: "q".into(), worker: PREFILL });
        self.attempt_completed(PREFILL, 1, 202, true)
    }

    /// The client receives a complete response.
    fn responded(&mut self, status: u16) -> &mut Self {
        self.add(Record::ResponseStarted { request: "q".into(), status, has_retry_after: true });
        let (is_intact, longest_delay) = (true, Duration::ZERO);
        self.add(Record::ResponseEnded { request: "q".into(), is_complete: true, is_intact, longest_delay })
    }

    /// A decode worker fetches the KV cache and streams the complete response.
    fn served_by(&mut self, worker: usize, connection: u64) -> &mut Self {
        self.attempt_started(worker, connection, ATTEMPT_TIMEOUT).attempt_received(worker, connection);
        self.add(Record::CacheReservationEnded { request: "q".into() })
            .after(20)
            .attempt_completed(worker, connection, 200, false);
        self.add(Record::FirstEventReceived { request: "q".into() }).responded(200)
    }

    /// The invariants that the oracle reports as violated.
    fn violated_invariants(&mut self) -> Vec<Invariant> {
        let deployment = Deployment::draw(&mut StdRng::seed_from_u64(1), 1, Scenario::from_seed(1));
        let verdict = judge(&self.entries, &deployment, self.now..self.now);
        verdict.violations.into_iter().map(|violation| violation.invariant).collect()
    }
}

#[test]
fn a_correct_history_has_no_violation() {
    assert_eq!(
        ScriptedHistory::new()
            .request_sent(Idempotency::NonIdempotent)
            .prefilled()
            .after(5)
            .served_by(DECODE, 2)
            .violated_invariants(),
        []
    );
}

#[test]
fn a_request_without_a_response_is_reported_unless_its_router_was_killed() {
    let connection_reset =
        || Record::ConnectionEndedUnanswered { request: "q".into(), end: ConnectionEnd::Reset };
    let mut history = ScriptedHistory::new();
    history.request_sent(Idempotency::Idempotent).after(10).add(connection_reset());
    assert_eq!(history.violated_invariants(), [Invariant::FinalResponse]);
    let mut history = ScriptedHistory::new();
    history
        .request_sent(Idempotency::Idempotent)
        .after(10)
        .add(Record::RouterSignalled { router: 0, signal: RouterSignal::Kill });
    assert_eq!(history.add(connection_reset()).violated_invariants(), []);
}

#[test]
fn a_late_response_and_a_rejection_without_retry_after_are_reported() {
    assert_eq!(
        ScriptedHistory::new()
            .request_sent(Idempotency::Idempotent)
            .after(2_600)
            .responded(503)
            .violated_invariants(),
        [Invariant::FinalResponse]
    );
    let mut history = ScriptedHistory::new();
    history.request_sent(Idempotency::Idempotent).add(Record::ResponseStarted {
        request: "q".into(),
        status: 503,
        has_retry_after: false,
    });
    assert_eq!(history.violated_invariants(), [Invariant::RetryAfterPresent]);
}

#[test]
fn an_attempt_after_the_client_disconnected_is_reported() {
    let mut history = ScriptedHistory::new();
    history.request_sent(Idempotency::Idempotent).add(Record::ClientDisconnected { request: "q".into() });
    assert_eq!(
        history.after(200).attempt_started(PREFILL, 1, ATTEMPT_TIMEOUT).violated_invariants(),
        [Invariant::NoAttemptAfterDisconnect]
    );
}

#[test]
fn an_attempt_after_the_response_is_reported() {
    let mut history = ScriptedHistory::new();
    history.request_sent(Idempotency::Idempotent).responded(503).after(50).attempt_started(
        PREFILL,
        1,
        ATTEMPT_TIMEOUT,
    );
    assert_eq!(history.violated_invariants(), [Invariant::NoAttemptAfterResponse]);
}

#[test]
fn a_propagated_timeout_beyond_the_deadline_is_reported() {
    assert_eq!(
        ScriptedHistory::new()
            .request_sent(Idempotency::Idempotent)
            .attempt_started(PREFILL, 1, Duration::from_secs(3))
            .violated_invariants(),
        [Invariant::DeadlinePropagated]
    );
}

#[test]
fn a_concurrent_attempt_is_reported_unless_the_first_one_was_cancelled() {
    let violations = |is_cancelled: bool| {
        let mut history = ScriptedHistory::new();
        history
            .request_sent(Idempotency::Idempotent)
            .attempt_started(PREFILL, 1, ATTEMPT_TIMEOUT)
            .attempt_received(PREFILL, 1)
            .after(300);
        if is_cancelled {
            history.add(Record::ConnectionClosedByRouter { connection: 1 });
        }
        history.after(1).attempt_started(DECODE, 2, ATTEMPT_TIMEOUT).attempt_received(DECODE, 2).after(100);
        history.add(Record::ConnectionClosedByRouter { connection: 1 }).violated_invariants()
    };
    assert_eq!(violations(true), []);
    assert_eq!(violations(false), [Invariant::SingleAttemptInFlight]);
}

#[test]
fn repeating_or_rejecting_a_non_idempotent_request_that_may_have_been_executed_is_reported() {
    let mut history = ScriptedHistory::new();
    history
        .request_sent(Idempotency::NonIdempotent)
        .prefilled()
        .attempt_started(DECODE, 2, ATTEMPT_TIMEOUT)
        .attempt_received(DECODE, 2);
    history
        .add(Record::CacheReservationEnded { request: "q".into() })
        .after(20)
        .attempt_completed(DECODE, 2, 500, false);
    let entries_until_error = history.entries.clone();
    assert_eq!(
        history
            .after(5)
            .attempt_started(OTHER_DECODE, 3, ATTEMPT_TIMEOUT)
            .attempt_received(OTHER_DECODE, 3)
            .violated_invariants(),
        [Invariant::IdempotencyRespected]
    );
    history.entries = entries_until_error;
    assert_eq!(history.responded(503).violated_invariants(), [Invariant::RejectionSafeToRetry]);
}

#[test]
fn a_cache_that_stays_reserved_with_no_attempt_in_flight_is_reported() {
    let violations = |is_received: bool| {
        let mut history = ScriptedHistory::new();
        history.request_sent(Idempotency::Idempotent).prefilled().attempt_started(DECODE, 2, ATTEMPT_TIMEOUT);
        if is_received {
            history.attempt_received(DECODE, 2);
        }
        history.after(1_000).add(Record::CacheReservationEnded { request: "q".into() }).violated_invariants()
    };
    assert_eq!(violations(true), []);
    assert_eq!(violations(false), [Invariant::CacheReleased]);
}

#[test]
fn an_attempt_at_a_draining_worker_is_reported_after_the_grace_period() {
    let violations = |is_disrupted: bool| {
        let mut history = ScriptedHistory::new();
        if is_disrupted {
            history.add(Record::DiscoveryDisrupted { router: 0, allowance: Duration::from_secs(6) });
        }
        history.add(Record::WorkerWithdrawn { router: 0, worker: PREFILL }).after(1_500);
        history
            .request_sent(Idempotency::Idempotent)
            .attempt_started(PREFILL, 1, ATTEMPT_TIMEOUT)
            .violated_invariants()
    };
    assert_eq!(violations(true), []);
    assert_eq!(violations(false), [Invariant::DrainRespected]);
}

#[test]
fn a_crashed_process_is_reported() {
    let mut history = ScriptedHistory::new();
    history.add(Record::RouterExited { router: 0, was_expected: false, status: "signal: 6".into() });
    assert_eq!(history.violated_invariants(), [Invariant::NoCrash]);
}

#[test]
fn a_refused_connection_is_reported_once_the_new_process_is_ready() {
    let violations = |is_ready: bool| {
        let mut history = ScriptedHistory::new();
        history.add(Record::RouterStarted { router: 0 }).after(20);
        if is_ready {
            history.add(Record::RouterReady { router: 0 }).after(20);
        }
        let end = ConnectionEnd::NotOpened;
        history
            .request_sent(Idempotency::Idempotent)
            .add(Record::ConnectionEndedUnanswered { request: "q".into(), end });
        if !is_ready {
            history.after(20).add(Record::RouterReady { router: 0 });
        }
        history.violated_invariants()
    };
    assert_eq!(violations(false), []);
    assert_eq!(violations(true), [Invariant::FinalResponse]);
}

#[test]
fn a_stream_truncated_by_sigkill_is_reported_if_its_request_was_sent_late_in_the_shutdown() {
    let violations = |sent_after_ms: u64| {
        let mut history = ScriptedHistory::new();
        let signal = RouterSignal::Terminate;
        history.add(Record::RouterSignalled { router: 0, signal }).after(sent_after_ms);
        history
            .request_sent(Idempotency::Idempotent)
            .prefilled()
            .attempt_started(DECODE, 2, ATTEMPT_TIMEOUT)
            .attempt_received(DECODE, 2)
            .add(Record::CacheReservationEnded { request: "q".into() })
            .add(Record::FirstEventReceived { request: "q".into() })
            .add(Record::ResponseStarted { request: "q".into(), status: 200, has_retry_after: false })
            .after(100)
            .add(Record::RouterSignalled { router: 0, signal: RouterSignal::Kill });
        let (is_complete, is_intact, longest_delay) = (false, true, Duration::ZERO);
        history
            .add(Record::ResponseEnded { request: "q".into(), is_complete, is_intact, longest_delay })
            .violated_invariants()
    };
    assert_eq!(violations(600), []);
    assert_eq!(violations(800), [Invariant::StreamComplete]);
}
