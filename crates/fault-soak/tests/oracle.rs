//! The oracle on scripted histories: what keeps the promises passes, and each broken one is found.

use fault_soak::deployment::Deployment;
use fault_soak::oracle::{Invariant, judge};
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::Entry;
use fleet_emulator::record::{CallKind, ConnectionEnd, Idempotency, Record, Role, RouterSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;

const PREFILL: usize = 0;
const DECODE: usize = 1;
const OTHER_DECODE: usize = 2;

/// A history that is written down one record after another.
struct Story {
    now: Micros,
    entries: Vec<Entry>,
}

impl Story {
    /// A fleet of one router and three workers.
    fn new() -> Self {
        let mut story = Story { now: 10 * SECOND, entries: Vec::new() };
        for (worker, role) in [(PREFILL, Role::Prefill), (DECODE, Role::Decode), (OTHER_DECODE, Role::Decode)]
        {
            story.add(Record::WorkerStarted { worker, role, zone: 0, cell: worker as u64, is_cold: false });
        }
        story.add(Record::RouterStarted { router: 0 }).add(Record::RouterReady { router: 0 });
        story
    }

    fn add(&mut self, record: Record) -> &mut Self {
        self.entries.push(Entry { at: self.now, record });
        self
    }

    fn after(&mut self, milliseconds: u64) -> &mut Self {
        self.now += milliseconds * MILLISECOND;
        self
    }

    /// A request that comes, on a connection that has carried none before.
    fn asks(&mut self, idempotency: Idempotency) -> &mut Self {
        let begun = Record::RequestStarted {
            request: "q".into(),
            router: 0,
            idempotency,
            prior_requests: 0,
            is_resent: false,
        };
        self.add(begun).add(Record::RequestSent { request: "q".into(), first_token_timeout: 2 * SECOND })
    }

    /// An attempt that begins, on a connection of its own, and is told so much time.
    fn begins(&mut self, worker: usize, connection: u64, told: Micros) -> &mut Self {
        let (call, request, propagated_timeout) = (CallKind::Attempt, "q".into(), Some(told));
        self.add(Record::CallStarted { call, request, router: 0, worker, connection, propagated_timeout })
    }

    fn arrives(&mut self, worker: usize, connection: u64) -> &mut Self {
        self.add(Record::CallReceived { call: CallKind::Attempt, request: "q".into(), worker, connection })
    }

    fn answers(&mut self, worker: usize, connection: u64, status: u16, had_no_effect: bool) -> &mut Self {
        let (request, is_complete) = ("q".into(), status != 0);
        self.add(Record::CallCompleted { request, worker, connection, status, had_no_effect, is_complete })
    }

    /// A prompt that is read, and whose state is held.
    fn is_read(&mut self) -> &mut Self {
        self.begins(PREFILL, 1, SECOND).arrives(PREFILL, 1).after(50);
        self.add(Record::CacheReserved { request: "q".into(), worker: PREFILL });
        self.answers(PREFILL, 1, 202, true)
    }

    fn is_answered(&mut self, status: u16) -> &mut Self {
        self.add(Record::ResponseStarted { request: "q".into(), status, has_retry_after: true });
        let (is_intact, longest_delay) = (true, 0);
        self.add(Record::ResponseEnded { request: "q".into(), is_complete: true, is_intact, longest_delay })
    }

    /// A decode worker that takes the state over and streams the whole answer.
    fn is_served(&mut self, worker: usize, connection: u64) -> &mut Self {
        self.begins(worker, connection, SECOND).arrives(worker, connection);
        self.add(Record::CacheReservationEnded { request: "q".into() })
            .after(20)
            .answers(worker, connection, 200, false);
        self.add(Record::FirstEventReceived { request: "q".into() }).is_answered(200)
    }

    fn found(&mut self) -> Vec<Invariant> {
        let deployment = Deployment::draw(&mut StdRng::seed_from_u64(1), 1);
        let verdict = judge(&self.entries, &deployment, self.now..self.now);
        verdict.violations.into_iter().map(|violation| violation.invariant).collect()
    }
}

#[test]
fn a_request_that_is_served_breaks_nothing() {
    assert_eq!(
        Story::new().asks(Idempotency::NonIdempotent).is_read().after(5).is_served(DECODE, 2).found(),
        []
    );
}

#[test]
fn a_request_without_an_answer_is_lost_unless_its_router_was_killed() {
    let unanswered = || Record::ConnectionEndedUnanswered { request: "q".into(), end: ConnectionEnd::Reset };
    let mut story = Story::new();
    story.asks(Idempotency::Idempotent).after(10).add(unanswered());
    assert_eq!(story.found(), [Invariant::FinalResponse]);
    let mut story = Story::new();
    story
        .asks(Idempotency::Idempotent)
        .after(10)
        .add(Record::RouterSignalled { router: 0, signal: RouterSignal::Kill });
    assert_eq!(story.add(unanswered()).found(), []);
}

#[test]
fn a_late_answer_and_a_refusal_without_advice_are_found() {
    assert_eq!(
        Story::new().asks(Idempotency::Idempotent).after(2_600).is_answered(503).found(),
        [Invariant::FinalResponse]
    );
    let mut story = Story::new();
    story.asks(Idempotency::Idempotent).add(Record::ResponseStarted {
        request: "q".into(),
        status: 503,
        has_retry_after: false,
    });
    assert_eq!(story.found(), [Invariant::RetryAfterPresent]);
}

#[test]
fn an_attempt_for_a_client_that_left_is_found() {
    let mut story = Story::new();
    story.asks(Idempotency::Idempotent).add(Record::ClientDisconnected { request: "q".into() });
    assert_eq!(story.after(200).begins(PREFILL, 1, SECOND).found(), [Invariant::NoAttemptAfterDisconnect]);
}

#[test]
fn an_attempt_behind_the_answer_is_found() {
    let mut story = Story::new();
    story.asks(Idempotency::Idempotent).is_answered(503).after(50).begins(PREFILL, 1, SECOND);
    assert_eq!(story.found(), [Invariant::NoAttemptAfterResponse]);
}

#[test]
fn a_worker_that_is_told_too_much_time_is_found() {
    assert_eq!(
        Story::new().asks(Idempotency::Idempotent).begins(PREFILL, 1, 3 * SECOND).found(),
        [Invariant::DeadlinePropagated]
    );
}

#[test]
fn a_second_copy_is_found_and_a_closed_first_one_is_none() {
    let two = |closes: bool| {
        let mut story = Story::new();
        story.asks(Idempotency::Idempotent).begins(PREFILL, 1, SECOND).arrives(PREFILL, 1).after(300);
        if closes {
            story.add(Record::ConnectionClosedByRouter { connection: 1 });
        }
        story.after(1).begins(DECODE, 2, SECOND).arrives(DECODE, 2).after(100);
        story.add(Record::ConnectionClosedByRouter { connection: 1 }).found()
    };
    assert_eq!(two(true), []);
    assert_eq!(two(false), [Invariant::SingleAttemptInFlight]);
}

#[test]
fn what_ran_twice_or_is_refused_though_it_may_have_run_is_found() {
    let mut story = Story::new();
    story.asks(Idempotency::NonIdempotent).is_read().begins(DECODE, 2, SECOND).arrives(DECODE, 2);
    story.add(Record::CacheReservationEnded { request: "q".into() }).after(20).answers(DECODE, 2, 500, false);
    let entries = story.entries.clone();
    assert_eq!(
        story.after(5).begins(OTHER_DECODE, 3, SECOND).arrives(OTHER_DECODE, 3).found(),
        [Invariant::IdempotencyRespected]
    );
    story.entries = entries;
    assert_eq!(story.is_answered(503).found(), [Invariant::RejectionSafeToRetry]);
}

#[test]
fn a_state_that_is_held_while_nothing_arrives_is_found() {
    let held = |arrives: bool| {
        let mut story = Story::new();
        story.asks(Idempotency::Idempotent).is_read().begins(DECODE, 2, SECOND);
        if arrives {
            story.arrives(DECODE, 2);
        }
        story.after(1_000).add(Record::CacheReservationEnded { request: "q".into() }).found()
    };
    assert_eq!(held(true), []);
    assert_eq!(held(false), [Invariant::CacheReleased]);
}

#[test]
fn a_send_to_a_worker_that_drains_is_found_once_the_grace_is_over() {
    let drained = |silent: bool| {
        let mut story = Story::new();
        if silent {
            story.add(Record::DiscoveryDisturbed { router: 0, allowance: 6 * SECOND });
        }
        story.add(Record::WorkerWithdrawn { router: 0, worker: PREFILL }).after(1_500);
        story.asks(Idempotency::Idempotent).begins(PREFILL, 1, SECOND).found()
    };
    assert_eq!(drained(true), []);
    assert_eq!(drained(false), [Invariant::DrainRespected]);
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let mut story = Story::new();
    story.add(Record::RouterExited { router: 0, was_expected: false, status: "signal: 6".into() });
    assert_eq!(story.found(), [Invariant::NoCrash]);
}
