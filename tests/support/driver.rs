//! The driver between a policy and a client side that only notes what it is asked.
#![allow(dead_code)]

use llm_router::interface::*;
use llm_router::runtime::exchange::{Call, ServerSide};
use llm_router::runtime::{Attempt, Clock, Core, CoreHandle, Input, Outbound, Releasing};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot::error::TryRecvError;

/// What the client side was asked.
#[derive(Default)]
pub struct Notes {
    pub attempts: RefCell<Vec<Attempt>>,
    /// Releases.
    pub releases: RefCell<Vec<Rc<Releasing>>>,
}

impl Outbound for Notes {
    fn send(&self, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }
    fn release(&self, _: Rc<Call>, releasing: Rc<Releasing>) {
        self.releases.borrow_mut().push(releasing);
    }
    fn hold(&self, _: RequestId, _: Rc<Call>, _: WorkerId) {}
    fn probe(&self, _: WorkerId) {}
    fn hang_up(&self, _: &WorkerId) {}
    fn fetch_list(&self) {}
}

pub fn settings() -> Settings {
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
pub struct Driver {
    pub notes: Rc<Notes>,
    pub client: ServerSide,
    /// The driver runs for as long as there is one.
    pub handle: CoreHandle,
}

impl Driver {
    pub async fn start(settings: Settings, time: Micros) -> Driver {
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
    pub fn cancelled(&self) -> TryRecvError {
        self.notes.attempts.borrow_mut()[0].cancelled.try_recv().unwrap_err()
    }
}

pub fn ask(deadline: Micros) -> Ask {
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

pub fn call() -> Call {
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
pub async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}
