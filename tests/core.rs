//! The driver between a module and a client side that only notes what it is asked.

use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot::error::TryRecvError;
use whinhaven::core::{Attempt, Clock, Core, CoreHandle, Input, Outbound, Releasing};
use whinhaven::exchange::Call;
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

/// Guards against an attempt that begins after its client has left, from a connection that comes up late, say: also
/// where attempts may not be dropped. What has begun there goes on.
#[rstest]
#[case::that_has_not_begun_ends(false, TryRecvError::Closed)]
#[case::that_has_begun_goes_on(true, TryRecvError::Empty)]
#[tokio::test]
async fn when_the_client_leaves_an_attempt(#[case] begun: bool, #[case] wanted: TryRecvError) {
    let kind = |name: &str, role| Kind { name: name.into(), role, memory_tokens: None };
    let settings = Settings {
        routers: 1,
        kinds: vec![kind("r", Role::Reader), kind("w", Role::Writer)],
        classes: vec![Class { name: "safe".into(), aim: 1_000_000, ..Class::default() }],
        max_attempts: 4,
        connect_timeout: 250_000,
        release: 500_000,
        may_drop: false,
        ..Settings::default()
    };
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
    let ask = Ask {
        request: RequestId(0),
        deadline: clock.now() + 600_000_000,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 1,
        hint: None,
        class: "safe".into(),
        tenant: None,
    };
    let story = async {
        tokio::task::spawn_local(core.run(queue));
        let (id, target) = ("id-1".into(), String::new());
        let client = handle.ask(
            ask,
            Call {
                id,
                target,
                headers: Default::default(),
                body: "".into(),
                client: Default::default(),
                keeps: None,
            },
        );
        while notes.attempts.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        notes.attempts.borrow()[0].begun.set(begun);
        drop(client);
        // One thread: by then the driver has taken in all that it was told.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(notes.attempts.borrow_mut()[0].cancelled.try_recv(), Err(wanted));
        assert_eq!(notes.attempts.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(story).await;
}
