//! The driver between a policy and a client side that only notes what it is asked.
#![allow(dead_code)]

use llm_router::interface::*;
use llm_router::runtime::exchange::{ForwardedRequest, PendingResponse};
use llm_router::runtime::{Attempt, Clock, Driver, DriverHandle, DriverInput, Outbound, ReleaseProgress};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot::error::TryRecvError;

/// What the client side was asked.
#[derive(Default)]
pub struct Notes {
    pub attempts: RefCell<Vec<Attempt>>,
    /// Releases.
    pub releases: RefCell<Vec<Rc<ReleaseProgress>>>,
}

impl Outbound for Notes {
    fn send(&self, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }
    fn release_cache(&self, _: Rc<ForwardedRequest>, releasing: Rc<ReleaseProgress>) {
        self.releases.borrow_mut().push(releasing);
    }
    fn reserve_slot(&self, _: RequestId, _: Rc<ForwardedRequest>, _: WorkerId) {}
    fn check_health(&self, _: WorkerId) {}
    fn close_idle_connections(&self, _: &WorkerId) {}
    fn poll_endpoints(&self) {}
}

pub fn settings() -> Settings {
    let kind = |name: &str, role| WorkerKind { name: name.into(), role, memory_tokens: None };
    Settings {
        replica_count: 1,
        worker_kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode)],
        classes: vec![Class { name: "safe".into(), first_token_objective: 1_000_000, ..Class::default() }],
        max_attempts: 4,
        connect_timeout: 250_000,
        cache_hold_limit: 500_000,
        cancellation_allowed: false,
        ..Settings::default()
    }
}

/// A driver with a request of which an attempt is out.
pub struct DriverHarness {
    pub notes: Rc<Notes>,
    pub client: PendingResponse,
    /// The driver runs for as long as there is one.
    pub handle: DriverHandle,
}

impl DriverHarness {
    pub async fn start(settings: Settings, time: Micros) -> DriverHarness {
        let (notes, clock) = (Rc::new(Notes::default()), Clock::start());
        let (handle, queue) = DriverHandle::channel(clock);
        let driver = Driver::new(settings, 1, clock, notes.clone(), Rc::default());
        let entries = ["r", "w"].map(|kind| Endpoint {
            worker: WorkerId(kind.into()),
            zone: String::new(),
            kind: kind.into(),
            cell: 0,
            status: WorkerStatus::Ready,
            weight: 1.0,
            started_at: None,
        });
        handle.submit(DriverInput::EndpointsUpdated {
            kind: UpdateKind::Restored,
            endpoints: entries.to_vec(),
        });
        tokio::task::spawn_local(driver.run(queue));
        let client = handle.submit_request(ask(clock.now() + time), call());
        while notes.attempts.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        DriverHarness { notes, client, handle }
    }

    /// What the attempt that is out was told.
    pub fn cancelled(&self) -> TryRecvError {
        self.notes.attempts.borrow_mut()[0].cancelled.try_recv().unwrap_err()
    }
}

pub fn ask(deadline: Micros) -> RequestSpec {
    RequestSpec {
        request: RequestId(0),
        deadline,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 1,
        expected_decode_time: None,
        class: "safe".into(),
        tenant: None,
    }
}

pub fn call() -> ForwardedRequest {
    ForwardedRequest {
        id: "id-1".into(),
        target: String::new(),
        headers: Default::default(),
        body: "".into(),
        client: Default::default(),
        resources: None,
    }
}

/// One thread: by then the driver has taken in all that it was told.
pub async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}
