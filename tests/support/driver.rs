//! A driver whose upstream client only records the calls made through it.
#![allow(dead_code)]

use llm_router::interface::*;
use llm_router::runtime::exchange::{ForwardedRequest, PendingResponse};
use llm_router::runtime::{Attempt, Clock, Driver, DriverHandle, DriverInput, Outbound, ReleaseProgress};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot::error::TryRecvError;

/// An upstream client that records its calls and answers none of them.
#[derive(Default)]
pub struct RecordingUpstream {
    pub attempts: RefCell<Vec<Attempt>>,
    pub releases: RefCell<Vec<Rc<ReleaseProgress>>>,
}

impl Outbound for RecordingUpstream {
    fn send(&self, attempt: Attempt) {
        self.attempts.borrow_mut().push(attempt);
    }
    fn release_cache(&self, _: Rc<ForwardedRequest>, progress: Rc<ReleaseProgress>) {
        self.releases.borrow_mut().push(progress);
    }
    fn reserve_slot(&self, _: RequestId, _: Rc<ForwardedRequest>, _: WorkerId) {}
    fn check_health(&self, _: WorkerId) {}
    fn close_idle_connections(&self, _: &WorkerId) {}
    fn poll_endpoints(&self) {}
}

pub fn settings() -> Settings {
    let kind = |name: &str, role| WorkerKind { name: name.into(), role, kv_cache_tokens: None };
    Settings {
        replica_count: 1,
        worker_kinds: vec![kind("prefill", Role::Prefill), kind("decode", Role::Decode)],
        classes: vec![Class { name: "safe".into(), first_token_objective: 1_000_000, ..Class::default() }],
        max_attempts: 4,
        connect_timeout: 250_000,
        cache_hold_limit: 500_000,
        cancellation_allowed: false,
        ..Settings::default()
    }
}

/// A driver with one request, whose first attempt is in flight.
pub struct DriverHarness {
    pub upstream: Rc<RecordingUpstream>,
    pub client: PendingResponse,
    /// Keeps the driver running.
    pub handle: DriverHandle,
}

impl DriverHarness {
    pub async fn start(settings: Settings, client_timeout: Micros) -> DriverHarness {
        let (upstream, clock) = (Rc::new(RecordingUpstream::default()), Clock::start());
        let (handle, inputs) = DriverHandle::channel(clock);
        let driver = Driver::new(settings, 1, clock, upstream.clone(), Rc::default());
        let endpoints = ["prefill", "decode"].map(|kind| Endpoint {
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
            endpoints: endpoints.to_vec(),
        });
        tokio::task::spawn_local(driver.run(inputs));
        let client = handle.submit_request(request_spec(clock.now() + client_timeout), forwarded_request());
        while upstream.attempts.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        DriverHarness { upstream, client, handle }
    }

    /// The cancellation state of the first attempt: `Closed` if it was cancelled, `Empty` otherwise.
    pub fn cancellation(&self) -> TryRecvError {
        self.upstream.attempts.borrow_mut()[0].cancelled.try_recv().unwrap_err()
    }
}

pub fn request_spec(deadline: Micros) -> RequestSpec {
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

pub fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        id: "id-1".into(),
        target: String::new(),
        headers: Default::default(),
        body: Default::default(),
        max_output_tokens: None,
        client: Default::default(),
        abandonment: Default::default(),
        resources: None,
    }
}

/// Runs all ready tasks, which share this thread. Afterwards the driver has handled all submitted inputs.
pub async fn run_pending_tasks() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}
