//! What happened, as everybody but the router saw it.

use crate::clock::{self, Micros};
use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};

/// A request's id on the wire.
pub type RequestName = Arc<str>;
/// A router's place in the fleet, from 0.
pub type RouterIndex = usize;
/// A worker's place in the fleet, from 0.
pub type WorkerIndex = usize;
/// The number of a connection that a router opened to a worker.
pub type ConnectionNumber = u64;

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// May be repeated for a time, at workers of the group only.
    Keyed(Group),
    /// Must not run twice.
    Unsafe,
}

/// The workers that recognize each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Group {
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
pub enum Call {
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
    RequestBegun {
        /// Its id.
        request: RequestName,
        /// The router it was sent to.
        router: RouterIndex,
        /// What a repeat does.
        effect: Effect,
        /// Requests that its connection had carried before.
        carried_before: u32,
        /// Whether it is sent again, its first connection having ended without an answer.
        is_resent: bool,
    },
    /// A client wrote the last byte of a request; its time runs from here.
    RequestSent {
        /// Its id.
        request: RequestName,
        /// How long the client will wait for the first token.
        patience: Micros,
    },
    /// A client closed its connection before the end of its answer.
    ClientLeft {
        /// The request.
        request: RequestName,
    },
    /// The head of an answer has come.
    AnswerBegun {
        /// The request.
        request: RequestName,
        /// Its status.
        status: u16,
        /// Whether it tells when to come back.
        has_retry_after: bool,
    },
    /// The first event of an answer has come.
    FirstEvent {
        /// The request.
        request: RequestName,
    },
    /// An answer has ended.
    AnswerEnded {
        /// The request.
        request: RequestName,
        /// Whether it came to its proper end.
        is_whole: bool,
        /// Whether each part is what a worker sent for this request, in order.
        is_intact: bool,
        /// The longest time that an event took from its worker to the client.
        longest_delay: Micros,
    },
    /// A connection ended before any byte of the answer.
    Unanswered {
        /// The request.
        request: RequestName,
        /// How.
        end: ConnectionEnd,
    },
    /// Nothing came until long after the request's time was up.
    NothingHeard {
        /// The request.
        request: RequestName,
    },
    /// A misbehaving client connected.
    BadClientBegun {
        /// The router.
        router: RouterIndex,
        /// What it does wrong.
        kind: &'static str,
        /// Its number.
        number: u64,
    },
    /// A misbehaving client got its error or close; `None`: a success, which it must not get.
    BadClientEnded {
        /// Its number.
        number: u64,
        /// Whether it got an error or a close.
        got_its_due: bool,
    },
    /// A router wrote the first byte of a call to a worker.
    CallBegun {
        /// What it asks.
        call: Call,
        /// The request.
        request: RequestName,
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
        /// The time that the router told the worker, from now on.
        told_time: Option<Micros>,
    },
    /// A router closed or reset a connection to a worker.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// The worker or the network ended a connection.
    ConnectionBroken {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// A connection's link fell silent: what its worker says does not reach the router for now.
    ConnectionSilenced {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// The last byte of a call has reached a running worker.
    CallArrived {
        /// What it asks.
        call: Call,
        /// The request.
        request: RequestName,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
    },
    /// A worker's answer, or its stream's end, has been handed to the network.
    CallAnswered {
        /// The request.
        request: RequestName,
        /// The worker.
        worker: WorkerIndex,
        /// The connection.
        connection: ConnectionNumber,
        /// The status; 0 where the connection was broken instead.
        status: u16,
        /// Whether the answer proves that the request has not run.
        never_ran: bool,
        /// Whether it came to its proper end.
        is_whole: bool,
    },
    /// A worker has written the first event of a stream.
    StreamBegun {
        /// The request.
        request: RequestName,
        /// The worker.
        worker: WorkerIndex,
    },
    /// A prefill worker holds the KV cache of a request.
    CacheHeld {
        /// The request.
        request: RequestName,
        /// The worker.
        worker: WorkerIndex,
    },
    /// What was held for a request is gone: taken over, released, or lost with its worker.
    CacheGone {
        /// The request.
        request: RequestName,
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
    WorkerDied {
        /// The worker.
        worker: WorkerIndex,
    },
    /// A router's agent has learned that a worker wants nothing new.
    Withdrawn {
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
    },
    /// A router's agent has learned that a worker is in service.
    InService {
        /// The router.
        router: RouterIndex,
        /// The worker.
        worker: WorkerIndex,
    },
    /// The router's watches fell silent, its agent was moved, or its agent went down: what it is told may be late.
    AgentDisturbed {
        /// The router.
        router: RouterIndex,
        /// How much later than usual it may hear of changes, from now on.
        excused: Micros,
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
        is_orderly: bool,
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
    /// A router's log told of a broken promise or a panic.
    RouterComplained {
        /// The router.
        router: RouterIndex,
        /// The line.
        line: String,
    },
    /// A trouble began.
    TroubleBegun {
        /// What it is.
        name: String,
    },
    /// A trouble ended.
    TroubleEnded {
        /// What it was.
        name: String,
    },
    /// The stand-ins themselves were held up for so long: what they saw then may be late.
    HarnessLate {
        /// How late.
        by: Micros,
    },
}

impl Record {
    /// The request that it is about, if it is about one.
    pub fn request(&self) -> Option<&RequestName> {
        match self {
            Record::RequestBegun { request, .. }
            | Record::RequestSent { request, .. }
            | Record::ClientLeft { request }
            | Record::AnswerBegun { request, .. }
            | Record::FirstEvent { request }
            | Record::AnswerEnded { request, .. }
            | Record::Unanswered { request, .. }
            | Record::NothingHeard { request }
            | Record::CallBegun { request, .. }
            | Record::CallArrived { request, .. }
            | Record::CallAnswered { request, .. }
            | Record::StreamBegun { request, .. }
            | Record::CacheHeld { request, .. }
            | Record::CacheGone { request } => Some(request),
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
