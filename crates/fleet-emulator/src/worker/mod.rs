//! Workers. Prefill workers process prompts and reserve their KV caches; decode workers fetch these and stream responses.

mod cache;
mod exchange;

pub use cache::CacheReservations;

use crate::clock::{self, Timestamp};
use crate::history::History;
use crate::http::{ConnectionUse, Head, MessageReader};
use crate::protocol::{classify, prompt_tokens, timeout};
use crate::record::{CallKind, ConnectionId, Record, Role, WorkerIndex};
use crate::sync::lock;
use exchange::{Exchange, RequestSize};
use serde::Deserialize;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, WriteHalf};
use tokio::sync::{Semaphore, watch};

/// The properties and the capacity of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// The position of the worker in the fleet.
    pub index: WorkerIndex,
    /// The role of the worker.
    pub role: Role,
    /// The zone of the worker.
    pub zone: u64,
    /// The cell of the worker.
    pub cell: u64,
    /// The number of requests that the worker serves at once.
    pub slots: usize,
    /// The number of requests that may wait for a slot. More are rejected.
    pub queue_capacity: usize,
    /// The shortest time of a prefill, and of a decode until its first event.
    pub base_latency: Duration,
    /// The prompt tokens that the worker processes per second.
    pub prefill_tokens_per_second: u32,
    /// The time between two events of a stream.
    pub event_interval: Duration,
}

/// How a worker misbehaves: the probability of each kind of misbehaviour per call, and a slowdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Misbehaviour {
    /// The worker responds 500.
    pub error: f64,
    /// The worker rejects the request although it has capacity.
    pub rejection: f64,
    /// The worker closes the connection before its response.
    pub close_before_response: f64,
    /// The worker closes the connection in the middle of its response.
    pub close_during_response: f64,
    /// The worker never responds.
    pub hang: f64,
    /// The response can't be parsed.
    pub malformed_response: f64,
    /// The worker sends a second response that nobody asked for.
    pub unsolicited_response: f64,
    /// The factor by which the worker is slower. Values below 1 count as 1.
    pub slowdown: f64,
}

/// A worker. Its process can crash and be started again.
#[derive(Debug)]
pub struct Worker {
    /// The properties and the capacity of the worker.
    pub settings: WorkerSettings,
    history: History,
    reservations: CacheReservations,
    misbehaviour: Mutex<Misbehaviour>,
    is_draining: AtomicBool,
    /// A permit for each request that is being served.
    slots: Semaphore,
    /// A permit for each request that is being served or waits for a slot.
    queue: Semaphore,
    /// The number of crashes. A connection ends with the process that accepted it.
    incarnation: watch::Sender<u64>,
    is_frozen: watch::Sender<bool>,
}

/// The part of a request's body that matters to a worker.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Body {
    max_tokens: u64,
}

impl Worker {
    /// Creates a worker whose process runs.
    pub fn new(settings: WorkerSettings, reservations: CacheReservations, history: History) -> Arc<Self> {
        Arc::new(Worker {
            settings,
            history,
            reservations,
            misbehaviour: Mutex::default(),
            is_draining: AtomicBool::new(false),
            slots: Semaphore::new(settings.slots),
            queue: Semaphore::new(settings.slots + settings.queue_capacity),
            incarnation: watch::Sender::new(0),
            is_frozen: watch::Sender::new(false),
        })
    }

    /// Sets how the worker misbehaves in calls that arrive from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Misbehaviour) {
        *lock(&self.misbehaviour) = misbehaviour;
    }

    /// Sets whether the worker rejects all new calls.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Suspends or resumes the process as SIGSTOP and SIGCONT do. Its machine still accepts connections and bytes.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.send_replace(is_frozen);
    }

    /// Crashes the process: its connections break and its reservations are lost.
    pub fn crash(&self) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        self.history.add(Record::WorkerCrashed { worker: self.settings.index });
        for request in self.reservations.remove_all_at(self.settings.index) {
            self.history.add(Record::CacheReservationEnded { request });
        }
    }

    /// Records that the process has started.
    pub fn record_start(&self, is_cold: bool) {
        let WorkerSettings { index: worker, role, zone, cell, .. } = self.settings;
        self.history.add(Record::WorkerStarted { worker, role, zone, cell, is_cold });
    }

    /// Serves a connection until it ends or the process crashes.
    pub async fn serve(self: Arc<Self>, io: impl AsyncRead + AsyncWrite + Send, connection: ConnectionId) {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        let (input, mut output) = tokio::io::split(io);
        tokio::select! {
            _ = incarnation.changed() => {}
            _ = self.serve_calls(MessageReader::new(input), &mut output, connection) => {}
        }
    }

    async fn serve_calls(
        &self,
        mut input: MessageReader<impl AsyncRead + Unpin>,
        output: &mut WriteHalf<impl AsyncRead + AsyncWrite>,
        connection: ConnectionId,
    ) -> io::Result<()> {
        loop {
            self.until_resumed().await;
            let Some(head) = input.read_request().await? else { return Ok(()) };
            let body = input.read_body(head.content_length()).await?;
            self.until_resumed().await;
            let after = self.serve_call(&head, &body, &mut input, output, connection).await?;
            if after == ConnectionUse::Close {
                return Ok(());
            }
        }
    }

    /// Waits until the process is not suspended.
    async fn until_resumed(&self) {
        let _ = self.is_frozen.subscribe().wait_for(|is_frozen| !is_frozen).await;
    }

    async fn serve_call(
        &self,
        head: &Head,
        body: &[u8],
        input: &mut MessageReader<impl AsyncRead + Unpin>,
        output: &mut WriteHalf<impl AsyncRead + AsyncWrite>,
        connection: ConnectionId,
    ) -> io::Result<ConnectionUse> {
        let (call, request) = classify(head);
        let worker = self.settings.index;
        self.history.add(Record::CallReceived { call, request: request.clone(), worker, connection });
        let misbehaviour = *lock(&self.misbehaviour);
        let mut exchange = Exchange { worker: self, output, request, connection, misbehaviour };
        match call {
            CallKind::Release => exchange.serve_release().await,
            CallKind::Other => exchange.respond_not_found().await,
            CallKind::Attempt => {
                let deadline = timeout(head).map_or(Timestamp::MAX, |timeout| clock::now() + timeout);
                let body: Body = serde_json::from_slice(body).unwrap_or_default();
                let size =
                    RequestSize { prompt_tokens: prompt_tokens(head), max_output_tokens: body.max_tokens };
                tokio::select! {
                    after = exchange.serve_attempt(size, deadline) => after,
                    // The router has closed the connection, so a wait for a slot or an unread stream ends.
                    _ = input.fill() => Ok(ConnectionUse::Close),
                }
            }
        }
    }

    /// A time span, extended by the slowdown of a misbehaving worker.
    fn slowed(&self, time: Duration, misbehaviour: &Misbehaviour) -> Duration {
        time.mul_f64(misbehaviour.slowdown.max(1.0))
    }
}
