//! The test harness: an upstream client, the driver inputs that it submits, and scripted workers.

use crate::support::{Message, Peer, PeerConnection};
use bytes::Bytes;
use llm_router::interface::*;
use llm_router::net::buffer_limit::BufferLimit;
use llm_router::net::discovery::{AddressedEndpoint, Directory, EndpointUpdate};
use llm_router::net::memory_budget::MemoryBudget;
use llm_router::net::upstream::client::UpstreamClient;
use llm_router::net::upstream::pool::{Pool, PoolLimits};
use llm_router::runtime::counters::Counters;
use llm_router::runtime::exchange::{ClientConnection, ForwardedRequest, RequestState};
use llm_router::runtime::{Attempt, Clock, DriverHandle, DriverInput, Outbound};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, mpsc};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{mpsc as async_mpsc, oneshot};

pub const SECOND: Micros = 1_000_000;
/// The id of the only worker.
pub const WORKER: &str = "a";
/// The number of scheduler turns after which an expected event counts as missing.
pub const MAX_SCHEDULER_TURNS: usize = 100_000;

fn addressed_endpoint(worker: &str, address: SocketAddr) -> AddressedEndpoint {
    AddressedEndpoint { endpoint: endpoint(worker), address: Some(address) }
}

/// An upstream client and the inputs that it submits to the driver.
pub struct UpstreamHarness {
    pub client: UpstreamClient,
    pub inputs: async_mpsc::UnboundedReceiver<DriverInput>,
    /// Cancels the latest attempt when dropped.
    pub cancel: Option<oneshot::Sender<()>>,
}

impl UpstreamHarness {
    /// Creates a client with these workers in its directory and a pool of `max_connections`.
    pub fn start(workers: &[(&str, SocketAddr)], max_connections: usize) -> UpstreamHarness {
        let (driver, inputs) = DriverHandle::channel(Clock::start());
        let directory = Rc::<Directory>::default();
        directory.apply(&EndpointUpdate {
            sequence: 1,
            complete: true,
            endpoints: workers.iter().map(|(worker, address)| addressed_endpoint(worker, *address)).collect(),
        });
        let counters = Rc::<Counters>::default();
        // Longer than any test, so that no test reuses a connection.
        let timeout = Duration::from_secs(10);
        let limits = PoolLimits {
            max_connections,
            connect_timeout: timeout,
            idle_timeout: 2 * timeout,
            reuse_delay: timeout,
            buffer_limit: BufferLimit::MAX,
        };
        let client = UpstreamClient {
            directory,
            pool: Pool::new(limits, counters.clone()),
            driver,
            load_reporting: LoadReporting::None,
            counters,
            event_memory: MemoryBudget::new(usize::MAX),
            poll_requested: Rc::default(),
        };
        UpstreamHarness { client, inputs, cancel: None }
    }

    pub fn now(&self) -> Micros {
        self.client.driver.clock.now()
    }

    /// Creates a prefill attempt for a request with this id.
    pub fn attempt(&mut self, worker: &str, id: &str) -> Attempt {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel = Some(cancel);
        Attempt {
            request: RequestId(1),
            request_state: RequestState::default(),
            index: AttemptIndex(0),
            worker: WorkerId(worker.into()),
            stage: Stage::Prefill,
            forwarded: Rc::new(forwarded_request(id)),
            deadline: self.now() + 10 * SECOND,
            deduplication_deadline: None,
            pending_release: None,
            cancelled,
            write_started: Rc::default(),
        }
    }

    /// Sends an attempt and waits for its outcome.
    pub async fn outcome_of(&mut self, attempt: Attempt) -> Outcome {
        self.client.send(attempt);
        self.next_outcome().await
    }

    /// Waits until all connections are closed. `max_connections` is the size of the pool.
    pub async fn wait_until_all_closed(&self, max_connections: usize) {
        while self.client.pool.available_connections() < max_connections {
            tokio::task::yield_now().await;
        }
    }

    /// Waits for the outcome of the attempt in flight.
    pub async fn next_outcome(&mut self) -> Outcome {
        loop {
            if let DriverInput::AttemptEnded { result, .. } = self.inputs.recv().await.unwrap() {
                return result.outcome;
            }
        }
    }
}

fn endpoint(worker: &str) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker.into()),
        zone: String::new(),
        kind: "answer".into(),
        cell: 0,
        status: WorkerStatus::Ready,
        weight: 1.0,
        started_at: None,
    }
}

pub fn forwarded_request(id: &str) -> ForwardedRequest {
    ForwardedRequest {
        id: id.into(),
        target: "/".into(),
        headers: Default::default(),
        body: Bytes::from("hello").into(),
        max_output_tokens: None,
        client: ClientConnection::default(),
        abandonment: Default::default(),
        resources: None,
    }
}

/// Starts a worker that records the requests it receives and answers them by calling `handle`.
pub fn recording_worker(
    handle: impl Fn(&Message, &mut PeerConnection) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<Message>) {
    let (record, received) = mpsc::channel();
    let record = Mutex::new(record);
    let worker = Peer::start(move |message, conn| {
        record.lock().unwrap().send(message.clone()).unwrap();
        handle(message, conn)
    });
    (worker, received)
}

/// The time until the deadline that an attempt states.
pub fn stated_remaining_time(message: &Message) -> Micros {
    message.header("x-deadline").unwrap().trim_end_matches('u').parse().unwrap()
}

/// Answers a prefill request successfully.
pub fn complete_prefill(_: &Message, conn: &mut PeerConnection) -> bool {
    conn.respond("202 Accepted", "", "{}");
    true
}

/// Waits until every other runnable task has run once.
pub async fn yield_to_all_tasks() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Runs a test in a `LocalSet`, as the router runs its tasks.
pub async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}
