//! The records of a run, grouped by request, router process and worker.

mod builder;

use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::{
    ConnectionEnd, ConnectionId, Idempotency, RequestId, Role, RouterIndex, WorkerIndex,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Observations within this time of a harness delay are doubtful.
const DOUBTFUL_MARGIN: Duration = Duration::from_millis(300);

/// The end of the transmission of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSent {
    /// When the client wrote the last byte.
    pub at: Timestamp,
    /// The time within which the client expects the first token.
    pub first_token_timeout: Duration,
}

impl RequestSent {
    /// The deadline for the first token.
    pub fn deadline(&self) -> Timestamp {
        self.at + self.first_token_timeout
    }
}

/// The failure of a client's connection before any byte of a response.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionFailure {
    /// When the connection failed.
    pub at: Timestamp,
    /// Whether the router closed or reset the connection, or it could not be opened.
    pub kind: ConnectionEnd,
}

/// One transmission of a request by its client.
#[derive(Clone, Debug)]
pub struct Transmission {
    /// When the first byte was written.
    pub started: Timestamp,
    /// The end of the transmission, if the last byte was written.
    pub sent: Option<RequestSent>,
    /// The number of earlier requests on the connection.
    pub prior_requests: u32,
    /// Whether the client resent the request because its first connection ended without a response.
    pub is_resent: bool,
    /// The failure of the connection, if it failed before any byte of a response.
    pub connection_failure: Option<ConnectionFailure>,
}

/// The head of the response that a client received.
#[derive(Clone, Debug)]
pub struct Response {
    /// When the response arrived.
    pub at: Timestamp,
    /// The HTTP status that the router responded with.
    pub status: u16,
    /// Whether the response has a valid `Retry-After` header.
    pub has_retry_after: bool,
}

impl Response {
    /// Whether the router shed the request, so that the client may retry it.
    pub fn is_rejection(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// The end of the response that a client received.
#[derive(Clone, Debug)]
pub struct ResponseEnd {
    /// When the last byte arrived, or when the client found the response truncated.
    pub at: Timestamp,
    /// Whether the response reached its regular end.
    pub is_complete: bool,
    /// Whether the events are exactly those of one worker, in order.
    pub is_intact: bool,
    /// The longest delay of an event between its worker and the client.
    pub longest_delay: Duration,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResponse {
    /// When the worker finished the call: before it wrote the response or the end of the stream, or when it
    /// abandoned the call.
    pub at: Timestamp,
    /// The HTTP status code, or 0 if the response is missing, truncated or malformed.
    pub status: u16,
    /// Whether it proves that the request was not executed, or belongs to a prefill, which has no effect
    /// outside its worker.
    pub was_not_executed: bool,
    /// Whether the worker sent it up to its regular end.
    pub is_complete: bool,
}

/// One attempt of a router to have a worker serve a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The connection that carries the attempt.
    pub connection: ConnectionId,
    /// The router that made the attempt.
    pub router: RouterIndex,
    /// The worker that the router selected.
    pub worker: WorkerIndex,
    /// When the router wrote the first byte.
    pub started: Timestamp,
    /// The timeout that the router sent to the worker.
    pub propagated_timeout: Option<Duration>,
    /// When the last byte reached the worker, if its process was running.
    pub received: Option<Timestamp>,
    /// The worker's first response on the connection after the start of the attempt.
    pub response: Option<AttemptResponse>,
    /// When the router closed the connection.
    pub closed_by_router: Option<Timestamp>,
    /// When the worker or the network closed the connection.
    pub closed_by_worker: Option<Timestamp>,
    /// Whether the connection stalled at any time.
    pub was_stalled: bool,
}

impl Attempt {
    /// The time until which the attempt was in flight, or [`Timestamp::MAX`] if it did not end.
    pub fn ended(&self) -> Timestamp {
        let answered = self.response.as_ref().map(|response| response.at);
        let ends = [answered, self.closed_by_router, self.closed_by_worker];
        ends.into_iter().flatten().min().unwrap_or(Timestamp::MAX)
    }

    /// Whether the worker may have executed the request.
    pub fn may_have_been_executed(&self) -> bool {
        self.received.is_some() && !self.response.as_ref().is_some_and(|response| response.was_not_executed)
    }
}

/// The reservation of a request's KV cache by a prefill worker.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// When the reservation began.
    pub at: Timestamp,
    /// The prefill worker that holds the cache.
    pub worker: WorkerIndex,
}

/// A request and all observations of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The value of the `x-request-id` header.
    pub id: RequestId,
    /// The router to which the client sent the request.
    pub router: RouterIndex,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The transmissions by the client.
    pub transmissions: Vec<Transmission>,
    /// When the client disconnected before the end of the response.
    pub client_disconnected: Option<Timestamp>,
    /// The head of the response, if the client received one.
    pub response: Option<Response>,
    /// When the first event of the stream arrived.
    pub first_event: Option<Timestamp>,
    /// The end of the response, whether it was complete or truncated.
    pub response_end: Option<ResponseEnd>,
    /// When the client timed out, long after the deadline.
    pub timed_out: Option<Timestamp>,
    /// The attempts, in the order of their first bytes.
    pub attempts: Vec<Attempt>,
    /// The reservations of the KV cache at prefill workers.
    pub reservations: Vec<Reservation>,
    /// The times at which reservations ended.
    pub reservation_ends: Vec<Timestamp>,
}

impl Request {
    /// The last transmission of the request that the client wrote completely; `None` if there is none.
    pub fn sent(&self) -> Option<RequestSent> {
        self.transmissions.iter().rev().find_map(|transmission| transmission.sent)
    }

    /// Whether the client received the complete stream.
    pub fn is_completed(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.status == 200)
            && self.response_end.as_ref().is_some_and(|end| end.is_complete)
    }
}

/// The exit of a router process.
#[derive(Clone, Debug)]
pub struct Exit {
    /// When the process exited.
    pub at: Timestamp,
    /// Whether the process was killed, or exited successfully after SIGTERM.
    pub was_expected: bool,
    /// The exit status as text.
    pub status: String,
}

/// The lifetime of one router process.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// When the process started.
    pub started: Timestamp,
    /// When the process became ready.
    pub ready: Option<Timestamp>,
    /// When the process received SIGTERM.
    pub terminated: Option<Timestamp>,
    /// When the process received SIGKILL.
    pub killed: Option<Timestamp>,
    /// The exit of the process, if it exited during the run.
    pub exit: Option<Exit>,
}

/// The role and location of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProperties {
    /// Whether the worker serves prefill or decode calls.
    pub role: Role,
    /// The zone, which shares idempotency keys of scope `DeduplicationScope::Zone`.
    pub zone: u64,
    /// The cell, which shares idempotency keys of scope `DeduplicationScope::Cell`.
    pub cell: u64,
}

/// A period in which the timers of the test harness fired late.
#[derive(Clone, Copy, Debug)]
struct HarnessDelay {
    ended: Timestamp,
    duration: Duration,
}

/// The records of a run, grouped by subject.
#[derive(Debug, Default)]
pub struct Observations {
    /// All records, in the order of their timestamps.
    pub entries: Vec<Entry>,
    /// The requests that clients sent, by id.
    pub requests: BTreeMap<RequestId, Request>,
    /// The processes of each router, in starting order.
    pub incarnations: BTreeMap<RouterIndex, Vec<Incarnation>>,
    /// The role and location of each worker that has started.
    pub workers: HashMap<WorkerIndex, WorkerProperties>,
    harness_delays: Vec<HarnessDelay>,
}

impl Observations {
    /// Groups the records of a run, which must be in the order of their timestamps.
    pub fn new(entries: &[Entry]) -> Self {
        builder::build(entries)
    }

    /// Whether the test harness was delayed around a time, so that observations of that time are doubtful.
    pub fn was_harness_delayed_around(&self, at: Timestamp) -> bool {
        self.harness_delays.iter().any(|delay| {
            let from = delay.ended - (delay.duration + DOUBTFUL_MARGIN);
            (from..=delay.ended + DOUBTFUL_MARGIN).contains(&at)
        })
    }

    /// The latest process of a router that had started by a given time.
    pub fn incarnation(&self, router: RouterIndex, at: Timestamp) -> Option<&Incarnation> {
        self.incarnations.get(&router)?.iter().rev().find(|incarnation| incarnation.started <= at)
    }
}
