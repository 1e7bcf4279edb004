//! The driver between a module and a client side that only notes what it is asked.

use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot::error::TryRecvError;
use whinhaven::core::{Attempt, Clock, Core, CoreHandle, Input, Outbound, Releasing};
use whinhaven::exchange::{Answer, Call, ServerSide};
use whinhaven::interface::*;

#[derive(Default)]
struct Notes {
    attempts: RefCell<Vec<Attempt>>,
}

impl Outbound for Notes {
    fn send(&self, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }
    fn release(&self, _: Rc<Call>, _: Rc<Releasing>) {}
    fn hold(&self, _: RequestId, _: Rc<Call>, _: WorkerId) {}
    fn probe(&self, _: WorkerId) {}
    fn hang_up(&self, _: &WorkerId) {}
    fn fetch_list(&self) {}
}

fn settings() -> Settings {
    let kind = |name: &str, role| Kind { name: name.into(), role, memory_tokens: None };
    Settings {
        routers: 1,
        kinds: vec![kind("r", Role::Reader), kind("w", Role::Writer)],
        classes: vec![Class { name: "safe".into(), aim: 1_000_000, ..Class::default() }],
        max_attempts: 4,
        connect_timeout: 250_000,
        release: 500_000,
        may_drop: false,
        ..Settings::default()
    }
}

/// A driver with a request of which an attempt is out.
struct Driver {
    notes: Rc<Notes>,
    client: ServerSide,
    /// The driver runs for as long as there is one.
    handle: CoreHandle,
}

impl Driver {
    async fn start(settings: Settings, time: Micros) -> Driver {
        let (notes, clock) = (Rc::new(Notes::default()), Clock::start());
        let (handle, queue) = CoreHandle::channel(clock);
        let core = Core::new(settings, 1, clock, notes.clone(), Rc::default());
        let entries = ["r", "w"].map(|kind| Entry {
            worker: WorkerId(kind.into()),
            zone: String::new(),
            kind: kind.into(),
            cell: 0,
            status: Status::Ready,
            weight: 1.0,
            started: None,
        });
        handle.tell(Input::List { kind: ListKind::Saved, entries: entries.to_vec() });
        tokio::task::spawn_local(core.run(queue));
        let client = handle.ask(ask(clock.now() + time), call());
        while notes.attempts.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        Driver { notes, client, handle }
    }

    /// What the attempt that is out was told.
    fn cancelled(&self) -> TryRecvError {
        self.notes.attempts.borrow_mut()[0].cancelled.try_recv().unwrap_err()
    }
}

fn ask(deadline: Micros) -> Ask {
    Ask {
        request: RequestId(0),
        deadline,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 1,
        hint: None,
        class: "safe".into(),
        tenant: None,
    }
}

fn call() -> Call {
    Call {
        id: "id-1".into(),
        target: String::new(),
        headers: Default::default(),
        body: "".into(),
        client: Default::default(),
        keeps: None,
    }
}

/// One thread: by then the driver has taken in all that it was told.
async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

/// Guards against an attempt that begins after its client has left, from a connection that comes up late, say: also
/// where attempts may not be dropped. What has begun there goes on.
#[rstest]
#[case::that_has_not_begun_ends(false, TryRecvError::Closed)]
#[case::that_has_begun_goes_on(true, TryRecvError::Empty)]
#[tokio::test]
async fn when_the_client_leaves_an_attempt(#[case] begun: bool, #[case] wanted: TryRecvError) {
    let story = async {
        let driver = Driver::start(settings(), 600_000_000).await;
        let Driver { notes, client, handle: _handle } = driver;
        notes.attempts.borrow()[0].begun.set(begun);
        drop(client);
        settle().await;
        assert_eq!(notes.attempts.borrow_mut()[0].cancelled.try_recv(), Err(wanted));
        assert!(!notes.attempts.borrow()[0].state.is_open());
        assert_eq!(notes.attempts.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Guards against an attempt that begins for a request that has its final answer: by the module, or by the driver's own
/// guard where the module decides too late.
#[rstest]
#[case::of_the_module(60_000_000)]
#[case::of_the_guard(0)]
#[tokio::test(start_paused = true)]
async fn the_final_answer_ends_an_attempt_that_has_not_begun(#[case] answer_slack: Micros) {
    let story = async {
        let driver = Driver::start(Settings { answer_slack, ..settings() }, 1_000_000).await;
        assert_eq!(driver.cancelled(), TryRecvError::Empty);
        let state = driver.notes.attempts.borrow()[0].state.clone();
        assert!(state.is_open());
        let Driver { notes, client, handle: _handle } = driver;
        assert!(matches!(client.answer().await.0, Answer::Refused { .. }));
        assert!(!state.is_open());
        settle().await;
        assert_eq!(notes.attempts.borrow_mut()[0].cancelled.try_recv(), Err(TryRecvError::Closed));
    };
    tokio::task::LocalSet::new().run_until(story).await;
}

/// Hundreds of requests whose time ends in one instant, with attempts out that never end: each has its answer by then.
#[tokio::test(start_paused = true)]
async fn many_requests_that_end_in_one_instant_are_each_answered_in_time() {
    const REQUESTS: usize = 500;
    const ANSWER_SLACK: Micros = 16_000;
    let story = async {
        let driver = Driver::start(Settings { answer_slack: ANSWER_SLACK, ..settings() }, 600_000_000).await;
        let handle = driver.handle.clone();
        let deadline = handle.clock.now() + 2_000_000;
        let mut waiting = Vec::new();
        for _ in 0..REQUESTS {
            let (client, clock) = (handle.ask(ask(deadline), call()), handle.clock);
            waiting.push(tokio::task::spawn_local(async move {
                let (answer, _presence) = client.answer().await;
                (matches!(answer, Answer::Refused { .. }), clock.now())
            }));
        }
        for client in waiting {
            let (is_refused, at) = client.await.unwrap();
            // The runtime's timers are good to a millisecond.
            assert!(is_refused && at <= deadline + ANSWER_SLACK + 1_000, "{} us late", at - deadline);
        }
    };
    tokio::task::LocalSet::new().run_until(story).await;
}
