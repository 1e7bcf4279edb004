//! The records of a run, sorted by what they are about.

use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{
    Call, ConnectionEnd, ConnectionNumber, Effect, Entry, Record, RequestName, Role, RouterIndex, WorkerIndex,
};
use std::collections::{BTreeMap, HashMap};

/// Around a moment in which the stand-ins were late nothing is certain for so long.
const DOUBT: Micros = 300 * MILLISECOND;

/// One time that a client sent a request.
#[derive(Clone, Debug)]
pub struct Sending {
    /// When its first byte was written.
    pub begun: Micros,
    /// When its last byte was written, and the client's patience.
    pub sent: Option<(Micros, Micros)>,
    /// Requests that the connection had carried before.
    pub carried_before: u32,
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
    pub is_whole: bool,
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
    pub never_ran: bool,
    /// Whether it came to its proper end.
    pub is_whole: bool,
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
    pub told_time: Option<Micros>,
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

    /// Whether it may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.arrived.is_some() && !self.answer.as_ref().is_some_and(|answer| answer.never_ran)
    }
}

/// A request and all that is known of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub name: RequestName,
    /// The router.
    pub router: RouterIndex,
    /// What a repeat does.
    pub effect: Effect,
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
    /// The last time it was sent whole, and the client's patience.
    pub fn sent(&self) -> Option<(Micros, Micros)> {
        self.sendings.iter().rev().find_map(|sending| sending.sent)
    }

    /// When its time is up.
    pub fn deadline(&self) -> Option<Micros> {
        self.sent().map(|(at, patience)| at + patience)
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
    pub requests: BTreeMap<RequestName, Request>,
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
        let mut connections: HashMap<ConnectionNumber, RequestName> = HashMap::new();
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

    fn attempt(&mut self, request: &RequestName, connection: ConnectionNumber) -> Option<&mut Attempt> {
        let attempts = &mut self.requests.get_mut(request)?.attempts;
        attempts.iter_mut().rev().find(|attempt| attempt.connection == connection)
    }

    /// The last attempt that was made on a connection.
    fn attempt_on(
        &mut self,
        connection: ConnectionNumber,
        connections: &HashMap<ConnectionNumber, RequestName>,
    ) -> Option<&mut Attempt> {
        self.attempt(connections.get(&connection)?, connection)
    }

    fn take(
        &mut self,
        at: Micros,
        record: &Record,
        connections: &mut HashMap<ConnectionNumber, RequestName>,
    ) {
        match record {
            Record::RequestBegun { request, router, effect, carried_before, is_resent } => {
                let fresh = || Request {
                    name: request.clone(),
                    router: *router,
                    effect: *effect,
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
                let (carried_before, is_resent) = (*carried_before, *is_resent);
                let sending = Sending { begun: at, sent: None, carried_before, is_resent, unanswered: None };
                self.requests.entry(request.clone()).or_insert_with(fresh).sendings.push(sending);
            }
            Record::CallBegun { call: Call::Attempt, request, router, worker, connection, told_time } => {
                connections.insert(*connection, request.clone());
                let attempt = Attempt {
                    connection: *connection,
                    router: *router,
                    worker: *worker,
                    begun: at,
                    told_time: *told_time,
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
            Record::CallArrived { call: Call::Attempt, request, connection, .. } => {
                if let Some(attempt) = self.attempt(request, *connection) {
                    attempt.arrived = Some(at);
                }
            }
            Record::CallAnswered { request, connection, status, never_ran, is_whole, .. } => {
                let answer = CallAnswer { at, status: *status, never_ran: *never_ran, is_whole: *is_whole };
                if let Some(attempt) = self.attempt(request, *connection) {
                    // Later answers on the connection are to other calls.
                    attempt.answer.get_or_insert(answer);
                }
            }
            Record::ConnectionEnded { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.closed.get_or_insert(at);
                }
            }
            Record::ConnectionSilenced { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.is_silenced = true;
                }
            }
            Record::ConnectionBroken { connection } => {
                if let Some(attempt) = self.attempt_on(*connection, connections) {
                    attempt.broken.get_or_insert(at);
                }
            }
            Record::WorkerStarted { worker, role, zone, cell, .. } => {
                self.workers.insert(*worker, WorkerFacts { role: *role, zone: *zone, cell: *cell });
            }
            Record::HarnessLate { by } => self.lateness.push((at, *by)),
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
            Record::RequestSent { patience, .. } => {
                if let Some(sending) = request.sendings.last_mut() {
                    sending.sent = Some((at, *patience));
                }
            }
            Record::ClientLeft { .. } => request.left = Some(at),
            Record::AnswerBegun { status, has_retry_after, .. } => {
                request.answer = Some(Answer { at, status: *status, has_retry_after: *has_retry_after });
            }
            Record::FirstEvent { .. } => request.first_event = Some(at),
            Record::AnswerEnded { is_whole, is_intact, longest_delay, .. } => {
                let (is_whole, is_intact, longest_delay) = (*is_whole, *is_intact, *longest_delay);
                request.end = Some(AnswerEnd { at, is_whole, is_intact, longest_delay });
            }
            Record::Unanswered { end, .. } => {
                if let Some(sending) = request.sendings.last_mut() {
                    sending.unanswered = Some((at, *end));
                }
            }
            Record::NothingHeard { .. } => request.nothing_heard = Some(at),
            Record::CacheHeld { worker, .. } => request.held.push((at, *worker)),
            Record::CacheGone { .. } => request.gone.push(at),
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
            Record::RouterExited { is_orderly, how, .. } => life.ended = Some((at, *is_orderly, how.clone())),
            _ => {}
        }
    }
}
