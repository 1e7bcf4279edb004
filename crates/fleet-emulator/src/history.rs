//! What happened, as everybody but the router saw it.

use crate::clock::{self, Micros};
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// A request's id on the wire.
pub type RequestId = Arc<str>;
/// A router's place in the fleet, from 0.
pub type RouterIndex = usize;
/// A worker's place in the fleet, from 0.
pub type WorkerIndex = usize;
/// The number of a connection that a router opened to a worker.
pub type ConnectionNumber = u64;

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Idempotency {
    /// May be repeated at will.
    Idempotent,
    /// May be repeated for a time, at workers of the group only.
    Keyed(DeduplicationScope),
    /// Must not run twice.
    NonIdempotent,
}

/// The workers that recognize each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Role {
    /// Reads prompts and keeps their KV cache for a decode worker.
    Prefill,
    /// Streams answers.
    Decode,
}

/// What a router asked of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CallKind {
    /// To serve a request.
    Attempt,
    /// To release what is held for it.
    Release,
    /// Anything else.
    Other,
}

/// How a client's connection ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ConnectionEnd {
    /// The router closed it in order.
    Closed,
    /// The router reset it.
    Reset,
    /// It could not be opened.
    NotOpened,
}

/// Something that was seen.
#[derive(Clone, Debug, Serialize)]
pub enum Record {
    /// A client wrote the first byte of a request.
    RequestStarted {
        /// Its id.
        request: RequestId,
        /// The router it was sent to.
        router: RouterIndex,
        /// What a repeat does.
        idempotency: Idempotency,
        /// Requests that its connection had carried before.
        prior_requests: u32,
        /// Whether it is sent again, its first connection having ended without an answer.
        is_resent: bool,
    },
    /// A client wrote the last byte of a request; its time runs from here.
    RequestSent {
        /// Its id.
        request: RequestId,
        /// How long the client will wait for the first token.
        first_token_timeout: Micros,
    },
    /// A client closed its connection before the end of its answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The head of an answer has come.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Its status.
        status: u16,
        /// Whether it tells when to come back.
        has_retry_after: bool,
    },
    /// The first event of an answer has come.
    FirstEventReceived {
        /// The request.
        request: RequestId,
    },
    /// An answer has ended.
    ResponseEnded {
        /// The request.
        request: RequestId,
        /// Whether it came to its proper end.
        is_complete: bool,
        /// Whether each part is what a worker sent for this request, in order.
        is_intact: bool,
        /// The longest time that an event took from its worker to the client.
        longest_delay: Micros,
    },
    /// A connection ended before any byte of the answer.
    ConnectionEndedUnanswered {
        /// The request.
        request: RequestId,
        /// How.
        end: ConnectionEnd,
    },
    /// Nothing came until long after the request's time was up.
    ResponseTimedOut {
        /// The request.
        request: RequestId,
    },
    /// A misbehaving client connected.
    MisbehavingClientConnected {
        /// The router.
        router: RouterIndex,
        /// What it does wrong.
        kind: &'static str,
        /// Its number.
        number: u64,
    },
    /// A misbehaving client got its error or close; `None`: a success, which it must not get.
    MisbehavingClientEnded {
        /// Its number.
        number: u64,
        /// Whether it got an error or a close.
        was_rejected: bool,
    },
    /// A router wrote the first byte of a call to a worker.
    CallStarted {
        /// What it asks.
        call: CallKind,
        /// The request.
        request: RequestId,
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
        /// The time that the router told the worker, from now on.
        propagated_timeout: Option<Micros>,
    },
    /// A router closed or reset a connection to a worker.
    ConnectionClosedByRouter {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// The worker or the network ended a connection.
    ConnectionClosedByWorker {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// A connection's link fell silent: what its worker says does not reach the router for now.
    ConnectionStalled {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// The last byte of a call has reached a running worker.
    CallReceived {
        /// What it asks.
        call: CallKind,
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
    },
    /// A worker's answer, or its stream's end, has been handed to the network.
    CallCompleted {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
        /// The status; 0 where the connection was broken instead.
        status: u16,
        /// Whether the answer proves that the request has not run.
        had_no_effect: bool,
        /// Whether it came to its proper end.
        is_complete: bool,
    },
    /// A worker has written the first event of a stream.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerIndex,
    },
    /// A prefill worker holds the KV cache of a request.
    CacheReserved {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerIndex,
    },
    /// What was held for a request is gone: taken over, released, or lost with its worker.
    CacheReservationEnded {
        /// The request.
        request: RequestId,
    },
    /// A worker started: cold until it has warmed up.
    WorkerStarted {
        /// The worker.
        worker: WorkerIndex,
        /// Its role.
        role: Role,
        /// Its zone.
        zone: u64,
        /// Its cell.
        cell: u64,
        /// Whether it is cold.
        is_cold: bool,
    },
    /// A worker's process died.
    WorkerCrashed {
        /// The worker.
        worker: WorkerIndex,
    },
    /// A router's agent has learned that a worker wants nothing new.
    WorkerWithdrawn {
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
    },
    /// A router's agent has learned that a worker is in service.
    WorkerInService {
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
    },
    /// The router's watches fell silent, its agent was moved, or its agent went down: what it is told may be late.
    DiscoveryDisturbed {
        /// The router.
        router: RouterIndex,
        /// How much later than usual it may hear of changes, from now on.
        allowance: Micros,
    },
    /// A router's process started.
    RouterStarted {
        /// The router.
        router: RouterIndex,
    },
    /// A router answered that it is ready.
    RouterReady {
        /// The router.
        router: RouterIndex,
    },
    /// A signal was sent to a router.
    RouterSignalled {
        /// The router.
        router: RouterIndex,
        /// Its name.
        signal: &'static str,
    },
    /// A router's process ended.
    RouterExited {
        /// The router.
        router: RouterIndex,
        /// Whether it was to end, and ended in order.
        was_expected: bool,
        /// How it ended.
        how: String,
    },
    /// What a router takes of the machine.
    RouterResources {
        /// The router.
        router: RouterIndex,
        /// Resident memory in kilobytes.
        memory_kb: u64,
        /// Open descriptors.
        descriptors: usize,
    },
    /// A router's log told of a broken invariant or a panic.
    RouterErrorLogged {
        /// The router.
        router: RouterIndex,
        /// The line.
        line: String,
    },
    /// A trouble began.
    FaultStarted {
        /// What it is.
        name: String,
    },
    /// A trouble ended.
    FaultEnded {
        /// What it was.
        name: String,
    },
    /// The stand-ins themselves were held up for so long: what they saw then may be late.
    HarnessDelayed {
        /// How late.
        by: Micros,
    },
}

impl Record {
    /// The request that it is about, if it is about one.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            Record::RequestStarted { request, .. }
            | Record::RequestSent { request, .. }
            | Record::ClientDisconnected { request }
            | Record::ResponseStarted { request, .. }
            | Record::FirstEventReceived { request }
            | Record::ResponseEnded { request, .. }
            | Record::ConnectionEndedUnanswered { request, .. }
            | Record::ResponseTimedOut { request }
            | Record::CallStarted { request, .. }
            | Record::CallReceived { request, .. }
            | Record::CallCompleted { request, .. }
            | Record::StreamStarted { request, .. }
            | Record::CacheReserved { request, .. }
            | Record::CacheReservationEnded { request } => Some(request),
            _ => None,
        }
    }
}

/// A record and its moment.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// When.
    pub at: Micros,
    /// What.
    pub record: Record,
}

/// The records of one run, shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Adds a record of this moment.
    pub fn add(&self, record: Record) {
        self.add_at(clock::now(), record);
    }

    /// Adds a record of an earlier moment.
    pub fn add_at(&self, at: Micros, record: Record) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(Entry { at, record });
    }

    /// All records so far, in the order of their moments.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
