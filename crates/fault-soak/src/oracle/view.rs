//! The records of a run, sorted by what they are about.

use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{
    CallKind, ConnectionEnd, ConnectionNumber, Entry, Idempotency, Record, RequestId, Role, RouterIndex,
    WorkerIndex,
};
use std::collections::{BTreeMap, HashMap};

/// Around a moment in which the stand-ins were late nothing is certain for so long.
const DOUBT: Micros = 300 * MILLISECOND;

/// One time that a client sent a request.
#[derive(Clone, Debug)]
pub struct Sending {
    /// When its first byte was written.
    pub begun: Micros,
    /// When its last byte was written, and the client's first_token_timeout.
    pub sent: Option<(Micros, Micros)>,
    /// Requests that the connection had carried before.
    pub prior_requests: u32,
    /// Whether it is sent again.
    pub is_resent: bool,
    /// How the connection ended, if without an answer.
    pub unanswered: Option<(Micros, ConnectionEnd)>,
}

/// The answer that a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When its head came.
    pub at: Micros,
    /// Its status.
    pub status: u16,
    /// Whether it tells when to come back.
    pub has_retry_after: bool,
}

/// The end of an answer.
#[derive(Clone, Debug)]
pub struct AnswerEnd {
    /// When.
    pub at: Micros,
    /// Whether it came to its proper end.
    pub is_complete: bool,
    /// Whether it is what one worker sent.
    pub is_intact: bool,
    /// The longest time that an event was under way.
    pub longest_delay: Micros,
}

/// A worker's answer to a call.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// When it was handed to the network.
    pub at: Micros,
    /// Its status; 0 where there was none.
    pub status: u16,
    /// Whether it proves that the request has not run.
    pub had_no_effect: bool,
    /// Whether it came to its proper end.
    pub is_complete: bool,
}

/// One attempt at a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its connection.
    pub connection: ConnectionNumber,
    /// The router.
    pub router: RouterIndex,
    /// The worker.
    pub worker: WorkerIndex,
    /// When its first byte was written.
    pub begun: Micros,
    /// The time that the worker was told.
    pub propagated_timeout: Option<Micros>,
    /// When its last byte reached the running worker.
    pub arrived: Option<Micros>,
    /// The worker's answer.
    pub answer: Option<CallAnswer>,
    /// When the router closed the connection.
    pub closed: Option<Micros>,
    /// When the network or the worker ended it.
    pub broken: Option<Micros>,
    /// Whether the link has been silent meanwhile.
    pub is_silenced: bool,
}

impl Attempt {
    /// When it was no longer out.
    pub fn over(&self) -> Micros {
        let answered = self.answer.as_ref().map(|answer| answer.at);
        [answered, self.closed, self.broken].into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Whether it may have had an idempotency.
    pub fn may_have_run(&self) -> bool {
        self.arrived.is_some() && !self.answer.as_ref().is_some_and(|answer| answer.had_no_effect)
    }
}

/// A request and all that is known of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub name: RequestId,
    /// The router.
    pub router: RouterIndex,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// The times it was sent.
    pub sendings: Vec<Sending>,
    /// When its client left.
    pub left: Option<Micros>,
    /// Its answer.
    pub answer: Option<Answer>,
    /// When the first event came.
    pub first_event: Option<Micros>,
    /// The answer's end.
    pub end: Option<AnswerEnd>,
    /// When its client gave up hearing anything.
    pub nothing_heard: Option<Micros>,
    /// Attempts, in the order of their first bytes.
    pub attempts: Vec<Attempt>,
    /// When a prefill worker held its KV cache.
    pub held: Vec<(Micros, WorkerIndex)>,
    /// When what was held was gone.
    pub gone: Vec<Micros>,
}

impl Request {
    /// The last time it was sent whole, and the client's first_token_timeout.
    pub fn sent(&self) -> Option<(Micros, Micros)> {
        self.sendings.iter().rev().find_map(|sending| sending.sent)
    }

    /// When its time is up.
    pub fn deadline(&self) -> Option<Micros> {
        self.sent().map(|(at, first_token_timeout)| at + first_token_timeout)
    }
}

/// One life of a router's process.
#[derive(Clone, Debug)]
pub struct Life {
    /// Its start.
    pub started: Micros,
    /// When it was ready.
    pub ready: Option<Micros>,
    /// When it was told to end.
    pub told_to_end: Option<Micros>,
    /// When it was killed.
    pub killed: Option<Micros>,
    /// When it ended, whether in order, and how.
    pub ended: Option<(Micros, bool, String)>,
}

/// A worker of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFacts {
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: u64,
    /// Its cell.
    pub cell: u64,
}

/// The records of a run, sorted.
#[derive(Debug, Default)]
pub struct View {
    /// All records.
    pub entries: Vec<Entry>,
    /// Requests by their ids.
    pub requests: BTreeMap<RequestId, Request>,
    /// The lives of each router's process.
    pub lives: BTreeMap<RouterIndex, Vec<Life>>,
    /// Workers.
    pub workers: HashMap<WorkerIndex, WorkerFacts>,
    /// Moments in which the stand-ins were late, and by how much.
    lateness: Vec<(Micros, Micros)>,
}

impl View {
    /// Sorts records, which are in the order of their moments.
    pub fn new(entries: &[Entry]) -> Self {
        let mut view = View { entries: entries.to_vec(), ..View::default() };
        let mut connections: HashMap<ConnectionNumber, RequestId> = HashMap::new();
        for entry in entries {
            view.take(entry.at, &entry.record, &mut connections);
        }
        view
    }

    /// Whether the stand-ins were late around a moment.
    pub fn harness_was_late_around(&self, at: Micros) -> bool {
        self.lateness.iter().any(|(late, by)| late.saturating_sub(by + DOUBT) <= at && at <= late + DOUBT)
    }

    /// The life of a router's process at a moment.
    pub fn life(&self, router: RouterIndex, at: Micros) -> Option<&Life> {
        self.lives.get(&router)?.iter().rev().find(|life| life.started <= at)
    }

    fn attempt(&mut self, request: &RequestId, connection: ConnectionNumber) -> Option<&mut Attempt> {
        let attempts = &mut self.requests.get_mut(request)?.attempts;
        attempts.iter_mut().rev().find(|attempt| attempt.connection == connection)
    }

    /// The last attempt that was made on a connection.
    fn attempt_on(
        &mut self,
        connection: ConnectionNumber,
        connections: &HashMap<ConnectionNumber, RequestId>,
    ) -> Option<&mut Attempt> {
        self.attempt(connections.get(&connection)?, connection)
    }

    fn take(&mut self, at: Micros, record: &Record, connections: &mut HashMap<ConnectionNumber, RequestId>) {
        match record {
            Record::RequestStarted { request, router, idempotency, prior_requests, is_resent } => {
                let fresh = || Request {
                    name: request.clone(),
                    router: *router,
                    idempotency: *idempotency,
                    sendings: Vec::new(),
                    left: None,
                    answer: None,
                    first_event: None,
                    end: None,
                    nothing_heard: None,
                    attempts: Vec::new(),
                    held: Vec::new(),
                    gone: Vec::new(),
                };
                let (prior_requests, is_resent) = (*prior_requests, *is_resent);
                let sending = Sending { begun: at, sent: None, prior_requests, is_resent, unanswered: None };
                self.requests.entry(request.clone()).or_insert_with(fresh).sendings.push(sending);
            }
            Record::CallStarted {
                call: CallKind::Attempt,
                request,
                router,
                worker,
                connection,
                propagated_timeout,
            } => {
                connections.insert(*connection, request.clone());
                let attempt = Attempt {
                    connection: *connection,
                    router: *router,
                    worker: *worker,
                    begun: at,
                    propagated_timeout: *propagated_timeout,
                    arrived: None,
                    answer: None,
                    closed: None,
                    broken: None,
                    is_silenced: false,
                };
                if let Some(request) = self.requests.get_mut(request) {
                    request.attempts.push(attempt);
                }
            }
            Record::CallReceived { call: CallKind::Attempt, request, connection, .. } => {
                if let Some(attempt) = self.attempt(request, *connection) {
                    attempt.arrived = Some(at);
                }
            }
            Record::CallCompleted { request, connection, status, had_no_effect, is_complete, .. } => {
                let answer = CallAnswer {
                    at,
                    status: *status,
                    had_no_effect: *had_no_effect,
                    is_complete: *is_complete,
                };
                if let Some(attempt) = self.attempt(request, *connection) {
                    // Later answers on the connection are to other calls.
                    attempt.answer.get_or_insert(answer);
                }
            }
            Record::ConnectionClosedByRouter { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.closed.get_or_insert(at);
                }
            }
            Record::ConnectionStalled { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.is_silenced = true;
                }
            }
            Record::ConnectionClosedByWorker { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.broken.get_or_insert(at);
                }
            }
            Record::WorkerStarted { worker, role, zone, cell, .. } => {
                self.workers.insert(*worker, WorkerFacts { role: *role, zone: *zone, cell: *cell });
            }
            Record::HarnessDelayed { by } => self.lateness.push((at, *by)),
            _ => {
                self.take_of_client(at, record);
                self.take_of_router(at, record);
            }
        }
    }

    fn take_of_client(&mut self, at: Micros, record: &Record) {
        let request = record.request().and_then(|request| self.requests.get_mut(request));
        let Some(request) = request else { return };
        match record {
            Record::RequestSent { first_token_timeout, .. } => {
                if let Some(sending) = request.sendings.last_mut() {
                    sending.sent = Some((at, *first_token_timeout));
                }
            }
            Record::ClientDisconnected { .. } => request.left = Some(at),
            Record::ResponseStarted { status, has_retry_after, .. } => {
                request.answer = Some(Answer { at, status: *status, has_retry_after: *has_retry_after });
            }
            Record::FirstEventReceived { .. } => request.first_event = Some(at),
            Record::ResponseEnded { is_complete, is_intact, longest_delay, .. } => {
                let (is_complete, is_intact, longest_delay) = (*is_complete, *is_intact, *longest_delay);
                request.end = Some(AnswerEnd { at, is_complete, is_intact, longest_delay });
            }
            Record::ConnectionEndedUnanswered { end, .. } => {
                if let Some(sending) = request.sendings.last_mut() {
                    sending.unanswered = Some((at, *end));
                }
            }
            Record::ResponseTimedOut { .. } => request.nothing_heard = Some(at),
            Record::CacheReserved { worker, .. } => request.held.push((at, *worker)),
            Record::CacheReservationEnded { .. } => request.gone.push(at),
            _ => {}
        }
    }

    fn take_of_router(&mut self, at: Micros, record: &Record) {
        let (Record::RouterStarted { router }
        | Record::RouterReady { router }
        | Record::RouterSignalled { router, .. }
        | Record::RouterExited { router, .. }) = record
        else {
            return;
        };
        let lives = self.lives.entry(*router).or_default();
        if let Record::RouterStarted { .. } = record {
            lives.push(Life { started: at, ready: None, told_to_end: None, killed: None, ended: None });
            return;
        }
        let Some(life) = lives.last_mut() else { return };
        match record {
            Record::RouterReady { .. } => life.ready = Some(at),
            Record::RouterSignalled { signal: "SIGTERM", .. } => life.told_to_end = Some(at),
            Record::RouterSignalled { signal: "SIGKILL", .. } => life.killed = Some(at),
            Record::RouterExited { was_expected, how, .. } => {
                life.ended = Some((at, *was_expected, how.clone()))
            }
            _ => {}
        }
    }
}
