//! Emulated workers. Prefill workers process prompts and reserve their KV caches; decode workers fetch the
//! caches and stream responses.

mod cache;
mod exchange;
mod malformed_response;

pub use cache::CacheReservations;

use crate::clock::{self, Timestamp};
use crate::history::History;
use crate::http::{ConnectionUse, Head, MessageReader};
use crate::protocol::{classify_call, prompt_tokens, propagated_timeout};
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
    /// The position of the worker in the fleet, which identifies it in records.
    pub index: WorkerIndex,
    /// Whether the worker serves prefill or decode calls.
    pub role: Role,
    /// The zone of the worker, as agents list it.
    pub zone: u64,
    /// The cell of the worker, as agents list it.
    pub cell: u64,
    /// The number of requests that the worker serves concurrently.
    pub slots: usize,
    /// The number of requests that may wait for a slot. Requests beyond it are rejected.
    pub queue_capacity: usize,
    /// The fixed part of a prefill's duration, and the time from the start of a decode to its first event.
    pub base_latency: Duration,
    /// The rate at which a prefill processes prompt tokens.
    pub prefill_tokens_per_second: u32,
    /// The interval between two events of a stream.
    pub event_interval: Duration,
}

/// The injected misbehaviour of a worker: the probability per call of each kind, from 0 to 1, and a slowdown
/// factor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Misbehaviour {
    /// The worker responds with status 500.
    pub error: f64,
    /// The worker rejects the request despite free capacity.
    pub rejection: f64,
    /// The worker closes the connection before it sends a response.
    pub close_before_response: f64,
    /// The worker closes the connection in the middle of its response.
    pub close_during_response: f64,
    /// The worker never responds.
    pub hang: f64,
    /// The worker sends a response that can't be parsed.
    pub malformed_response: f64,
    /// The worker sends a second, unsolicited response on the connection.
    pub unsolicited_response: f64,
    /// The factor by which the worker's processing times grow. Values below 1 count as 1.
    pub slowdown: f64,
}

/// An emulated worker. Its process can crash and be restarted.
#[derive(Debug)]
pub struct Worker {
    /// The properties and the capacity of the worker.
    pub settings: WorkerSettings,
    history: History,
    reservations: CacheReservations,
    misbehaviour: Mutex<Misbehaviour>,
    is_draining: AtomicBool,
    /// One permit for each request in service.
    slots: Semaphore,
    /// One permit for each request in service or waiting for a slot.
    queue: Semaphore,
    /// The number of crashes so far. Each crash ends the connections that were accepted before it.
    incarnation: watch::Sender<u64>,
    is_frozen: watch::Sender<bool>,
}

/// The fields of a request body that a worker reads.
#[derive(Deserialize, Default)]
#[serde(default)]
struct RequestBody {
    max_tokens: u64,
}

impl Worker {
    /// Creates a worker with a running process.
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

    /// Sets the misbehaviour for calls that arrive from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Misbehaviour) {
        *lock(&self.misbehaviour) = misbehaviour;
    }

    /// Sets whether the worker rejects new attempts.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Freezes or resumes the process, as SIGSTOP and SIGCONT do. The kernel of its host still accepts
    /// connections and buffers received data.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.send_replace(is_frozen);
    }

    /// Crashes the process: its connections close and its reservations are lost.
    pub fn crash(&self) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        self.history.add(Record::WorkerCrashed { worker: self.settings.index });
        for request in self.reservations.remove_all_of(self.settings.index) {
            self.history.add(Record::CacheReservationEnded { request });
        }
    }

    /// Records the start of the process. A cold process has yet to warm up.
    pub fn record_start(&self, is_cold: bool) {
        let WorkerSettings { index: worker, role, zone, cell, .. } = self.settings;
        self.history.add(Record::WorkerStarted { worker, role, zone, cell, is_cold });
    }

    /// Serves a connection until it closes or the process crashes.
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
            self.wait_until_resumed().await;
            let Some(head) = input.read_request().await? else { return Ok(()) };
            let body = input.read_body(head.content_length()).await?;
            self.wait_until_resumed().await;
            let connection_use = self.serve_call(&head, &body, &mut input, output, connection).await?;
            if connection_use == ConnectionUse::Close {
                return Ok(());
            }
        }
    }

    /// Waits while the process is frozen.
    async fn wait_until_resumed(&self) {
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
        let (call, request) = classify_call(head);
        let worker = self.settings.index;
        self.history.add(Record::CallReceived { call, request: request.clone(), worker, connection });
        let misbehaviour = *lock(&self.misbehaviour);
        let mut exchange = Exchange { worker: self, output, request, connection, misbehaviour };
        match call {
            CallKind::Release => exchange.serve_release().await,
            CallKind::Other => exchange.respond_not_found().await,
            CallKind::Attempt => {
                let deadline =
                    propagated_timeout(head).map_or(Timestamp::MAX, |timeout| clock::now() + timeout);
                let body: RequestBody = serde_json::from_slice(body).unwrap_or_default();
                let size =
                    RequestSize { prompt_tokens: prompt_tokens(head), max_output_tokens: body.max_tokens };
                tokio::select! {
                    connection_use = exchange.serve_attempt(size, deadline) => connection_use,
                    // Routers do not pipeline requests, so the router has closed the connection. That
                    // cancels the attempt, also while it waits for a slot or streams.
                    _ = input.fill() => Ok(ConnectionUse::Close),
                }
            }
        }
    }

    /// A processing time, multiplied by the slowdown factor of a misbehaving worker.
    fn slowed(&self, duration: Duration, misbehaviour: &Misbehaviour) -> Duration {
        duration.mul_f64(misbehaviour.slowdown.max(1.0))
    }
}
