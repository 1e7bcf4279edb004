//! The records of a run, grouped by request, router process and worker.

mod builder;

use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::{
    ConnectionEnd, ConnectionId, Idempotency, RequestId, Role, RouterIndex, WorkerIndex,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Observations this close to a delay of the harness are doubtful.
const DOUBTFUL_PERIOD: Duration = Duration::from_millis(300);

/// The last byte of a request, as its client wrote it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When the byte was written.
    pub at: Timestamp,
    /// The time within which the client expects the first token.
    pub first_token_timeout: Duration,
}

impl Sent {
    /// The deadline of the request.
    pub fn deadline(&self) -> Timestamp {
        self.at + self.first_token_timeout
    }
}

/// The end of a client's connection on which no response had arrived.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// When the connection ended.
    pub at: Timestamp,
    /// How it ended.
    pub end: ConnectionEnd,
}

/// One transmission of a request by its client.
#[derive(Clone, Debug)]
pub struct Transmission {
    /// When the first byte was written.
    pub started: Timestamp,
    /// The last byte, if it was written.
    pub sent: Option<Sent>,
    /// The number of requests that the connection had carried before.
    pub prior_requests: u32,
    /// Whether the request is sent again because its first connection ended without a response.
    pub is_resent: bool,
    /// The end of the connection, if no response had arrived by then.
    pub unanswered: Option<Unanswered>,
}

/// The head of the response that a client got.
#[derive(Clone, Debug)]
pub struct Response {
    /// When it arrived.
    pub at: Timestamp,
    /// The status.
    pub status: u16,
    /// Whether there is a valid `Retry-After` header.
    pub has_retry_after: bool,
}

impl Response {
    /// Whether the router shed the request and the client may try again.
    pub fn is_rejection(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// The end of the response that a client got.
#[derive(Clone, Debug)]
pub struct ResponseEnd {
    /// When it arrived.
    pub at: Timestamp,
    /// Whether the response reached its proper end.
    pub is_complete: bool,
    /// Whether all events are those that one worker sent, in order.
    pub is_intact: bool,
    /// The longest time that an event took from its worker to the client.
    pub longest_delay: Duration,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResponse {
    /// When it was handed to the network.
    pub at: Timestamp,
    /// The status, or 0 if the worker broke the connection instead.
    pub status: u16,
    /// Whether it proves that the request was not executed.
    pub had_no_effect: bool,
    /// Whether it reached its proper end.
    pub is_complete: bool,
}

/// One attempt to have a worker serve a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The connection that carries the attempt.
    pub connection: ConnectionId,
    /// The router.
    pub router: RouterIndex,
    /// The worker.
    pub worker: WorkerIndex,
    /// When the router wrote the first byte.
    pub started: Timestamp,
    /// The time limit that the worker got.
    pub propagated_timeout: Option<Duration>,
    /// When the last byte reached the running worker.
    pub received: Option<Timestamp>,
    /// The worker's response.
    pub response: Option<AttemptResponse>,
    /// When the router closed the connection.
    pub closed_by_router: Option<Timestamp>,
    /// When the worker or the network closed the connection.
    pub closed_by_worker: Option<Timestamp>,
    /// Whether the connection stalled at some time.
    pub was_stalled: bool,
}

impl Attempt {
    /// When the attempt was no longer in flight.
    pub fn ended(&self) -> Timestamp {
        let answered = self.response.as_ref().map(|response| response.at);
        let ends = [answered, self.closed_by_router, self.closed_by_worker];
        ends.into_iter().flatten().min().unwrap_or(Timestamp::MAX)
    }

    /// Whether the worker may have executed the request.
    pub fn may_have_had_effect(&self) -> bool {
        self.received.is_some() && !self.response.as_ref().is_some_and(|response| response.had_no_effect)
    }
}

/// The reservation of a request's KV cache.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// When it began.
    pub at: Timestamp,
    /// The prefill worker that holds the cache.
    pub worker: WorkerIndex,
}

/// A request with everything that was observed of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The router.
    pub router: RouterIndex,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The transmissions by the client.
    pub transmissions: Vec<Transmission>,
    /// When the client disconnected.
    pub client_disconnected: Option<Timestamp>,
    /// The head of the response.
    pub response: Option<Response>,
    /// When the first event arrived.
    pub first_event: Option<Timestamp>,
    /// The end of the response.
    pub response_end: Option<ResponseEnd>,
    /// When the client stopped waiting, long after the deadline.
    pub timed_out: Option<Timestamp>,
    /// The attempts, in the order of their first bytes.
    pub attempts: Vec<Attempt>,
    /// The reservations of the KV cache at prefill workers.
    pub reservations: Vec<Reservation>,
    /// When reservations ended.
    pub reservation_ends: Vec<Timestamp>,
}

impl Request {
    /// The last transmission that was complete.
    pub fn sent(&self) -> Option<Sent> {
        self.transmissions.iter().rev().find_map(|transmission| transmission.sent)
    }

    /// Whether the client got the whole stream.
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
    /// Whether it was killed, or was asked to terminate and reported success.
    pub was_expected: bool,
    /// The exit status as text.
    pub status: String,
}

/// One process of a router, from its start to its exit.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// When the process started.
    pub started: Timestamp,
    /// When it was ready.
    pub ready: Option<Timestamp>,
    /// When it was asked to terminate.
    pub terminated: Option<Timestamp>,
    /// When it was killed.
    pub killed: Option<Timestamp>,
    /// Its exit.
    pub exit: Option<Exit>,
}

/// The properties of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProperties {
    /// The role.
    pub role: Role,
    /// The zone.
    pub zone: u64,
    /// The cell.
    pub cell: u64,
}

/// A delay of the harness.
#[derive(Clone, Copy, Debug)]
struct HarnessDelay {
    /// When the delay ended.
    at: Timestamp,
    by: Duration,
}

/// The records of a run, grouped.
#[derive(Debug, Default)]
pub struct Observations {
    /// All records, in the order of their timestamps.
    pub entries: Vec<Entry>,
    /// The requests.
    pub requests: BTreeMap<RequestId, Request>,
    /// The processes of each router, in the order of their starts.
    pub incarnations: BTreeMap<RouterIndex, Vec<Incarnation>>,
    /// The workers.
    pub workers: HashMap<WorkerIndex, WorkerProperties>,
    harness_delays: Vec<HarnessDelay>,
}

impl Observations {
    /// Groups records, which have to be in the order of their timestamps.
    pub fn new(entries: &[Entry]) -> Self {
        builder::build(entries)
    }

    /// Whether the harness was delayed around a time, so that what it observed then is doubtful.
    pub fn was_harness_delayed_around(&self, at: Timestamp) -> bool {
        self.harness_delays.iter().any(|delay| {
            let from = delay.at - (delay.by + DOUBTFUL_PERIOD);
            (from..=delay.at + DOUBTFUL_PERIOD).contains(&at)
        })
    }

    /// The process of a router that ran, or had run last, at a time.
    pub fn incarnation(&self, router: RouterIndex, at: Timestamp) -> Option<&Incarnation> {
        self.incarnations.get(&router)?.iter().rev().find(|incarnation| incarnation.started <= at)
    }
}
