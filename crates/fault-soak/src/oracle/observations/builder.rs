//! Builds [`Observations`] from the records of a run.

use super::{
    Attempt, AttemptResponse, ConnectionFailure, Exit, HarnessDelay, Incarnation, Observations, Request,
    RequestSent, Reservation, Response, ResponseEnd, Transmission, WorkerProperties,
};
use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::{CallKind, ConnectionId, Record, RequestId, RouterIndex, RouterSignal};
use std::collections::HashMap;

pub(super) fn build(entries: &[Entry]) -> Observations {
    let mut builder = Builder {
        observations: Observations { entries: entries.to_vec(), ..Observations::default() },
        last_request: HashMap::new(),
    };
    for entry in entries {
        builder.add(entry.at, &entry.record);
    }
    builder.observations
}

struct Builder {
    observations: Observations,
    /// The request of the latest attempt on each connection.
    last_request: HashMap<ConnectionId, RequestId>,
}

impl Builder {
    fn add(&mut self, at: Timestamp, record: &Record) {
        match record {
            Record::WorkerStarted { worker, role, zone, cell, .. } => {
                let properties = WorkerProperties { role: *role, zone: *zone, cell: *cell };
                self.observations.workers.insert(*worker, properties);
            }
            Record::HarnessDelayed { duration } => {
                self.observations.harness_delays.push(HarnessDelay { ended: at, duration: *duration });
            }
            Record::RequestStarted { .. } => self.add_transmission(at, record),
            Record::CallStarted { .. } | Record::CallReceived { .. } | Record::CallCompleted { .. } => {
                self.add_call(at, record);
            }
            Record::ConnectionClosedByRouter { .. }
            | Record::ConnectionClosedByWorker { .. }
            | Record::ConnectionStalled { .. } => self.add_connection_event(at, record),
            Record::RouterStarted { router }
            | Record::RouterReady { router }
            | Record::RouterSignalled { router, .. }
            | Record::RouterExited { router, .. } => self.add_router_event(at, *router, record),
            _ => self.add_request_event(at, record),
        }
    }

    fn add_transmission(&mut self, at: Timestamp, record: &Record) {
        let Record::RequestStarted { request, router, idempotency, prior_requests, is_resent } = record
        else {
            return;
        };
        let new_request = || Request {
            id: request.clone(),
            router: *router,
            idempotency: *idempotency,
            transmissions: Vec::new(),
            client_disconnected: None,
            response: None,
            first_event: None,
            response_end: None,
            timed_out: None,
            attempts: Vec::new(),
            reservations: Vec::new(),
            reservation_ends: Vec::new(),
        };
        let transmission = Transmission {
            started: at,
            sent: None,
            prior_requests: *prior_requests,
            is_resent: *is_resent,
            connection_failure: None,
        };
        let request = self.observations.requests.entry(request.clone()).or_insert_with(new_request);
        request.transmissions.push(transmission);
    }

    fn add_call(&mut self, at: Timestamp, record: &Record) {
        match record {
            Record::CallStarted {
                call: CallKind::Attempt,
                request,
                router,
                worker,
                connection,
                propagated_timeout,
            } => {
                self.last_request.insert(*connection, request.clone());
                let attempt = Attempt {
                    connection: *connection,
                    router: *router,
                    worker: *worker,
                    started: at,
                    propagated_timeout: *propagated_timeout,
                    received: None,
                    response: None,
                    closed_by_router: None,
                    closed_by_worker: None,
                    was_stalled: false,
                };
                if let Some(request) = self.observations.requests.get_mut(request) {
                    request.attempts.push(attempt);
                }
            }
            Record::CallReceived { call: CallKind::Attempt, request, connection, .. } => {
                if let Some(attempt) = self.attempt(request, *connection) {
                    attempt.received = Some(at);
                }
            }
            Record::CallCompleted { request, connection, status, was_not_executed, is_complete, .. } => {
                let (was_not_executed, is_complete) = (*was_not_executed, *is_complete);
                let response = AttemptResponse { at, status: *status, was_not_executed, is_complete };
                if let Some(attempt) = self.attempt(request, *connection) {
                    // Only the first response belongs to the attempt: the connection may carry other calls
                    // later.
                    attempt.response.get_or_insert(response);
                }
            }
            _ => {}
        }
    }

    fn add_connection_event(&mut self, at: Timestamp, record: &Record) {
        let (Record::ConnectionClosedByRouter { connection }
        | Record::ConnectionClosedByWorker { connection }
        | Record::ConnectionStalled { connection }) = record
        else {
            return;
        };
        let Some(request) = self.last_request.get(connection).cloned() else { return };
        let Some(attempt) = self.attempt(&request, *connection) else { return };
        match record {
            Record::ConnectionClosedByRouter { .. } => _ = attempt.closed_by_router.get_or_insert(at),
            Record::ConnectionClosedByWorker { .. } => _ = attempt.closed_by_worker.get_or_insert(at),
            _ => attempt.was_stalled = true,
        }
    }

    /// The latest attempt for a request on a connection.
    fn attempt(&mut self, request: &RequestId, connection: ConnectionId) -> Option<&mut Attempt> {
        let attempts = &mut self.observations.requests.get_mut(request)?.attempts;
        attempts.iter_mut().rev().find(|attempt| attempt.connection == connection)
    }

    fn add_request_event(&mut self, at: Timestamp, record: &Record) {
        let request = record.request().and_then(|request| self.observations.requests.get_mut(request));
        let Some(request) = request else { return };
        match record {
            Record::RequestSent { first_token_timeout, .. } => {
                if let Some(transmission) = request.transmissions.last_mut() {
                    transmission.sent = Some(RequestSent { at, first_token_timeout: *first_token_timeout });
                }
            }
            Record::ClientDisconnected { .. } => request.client_disconnected = Some(at),
            Record::ResponseStarted { status, has_retry_after, .. } => {
                let has_retry_after = *has_retry_after;
                request.response = Some(Response { at, status: *status, has_retry_after });
            }
            Record::FirstEventReceived { .. } => request.first_event = Some(at),
            Record::ResponseEnded { is_complete, is_intact, longest_delay, .. } => {
                let (is_complete, is_intact) = (*is_complete, *is_intact);
                let end = ResponseEnd { at, is_complete, is_intact, longest_delay: *longest_delay };
                request.response_end = Some(end);
            }
            Record::ConnectionEndedUnanswered { end, .. } => {
                if let Some(transmission) = request.transmissions.last_mut() {
                    transmission.connection_failure = Some(ConnectionFailure { at, kind: *end });
                }
            }
            Record::ResponseTimedOut { .. } => request.timed_out = Some(at),
            Record::CacheReserved { worker, .. } => {
                request.reservations.push(Reservation { at, worker: *worker });
            }
            Record::CacheReservationEnded { .. } => request.reservation_ends.push(at),
            _ => {}
        }
    }

    fn add_router_event(&mut self, at: Timestamp, router: RouterIndex, record: &Record) {
        let incarnations = self.observations.incarnations.entry(router).or_default();
        if let Record::RouterStarted { .. } = record {
            let started =
                Incarnation { started: at, ready: None, terminated: None, killed: None, exit: None };
            incarnations.push(started);
            return;
        }
        let Some(incarnation) = incarnations.last_mut() else { return };
        match record {
            Record::RouterReady { .. } => incarnation.ready = Some(at),
            Record::RouterSignalled { signal: RouterSignal::Terminate, .. } => {
                incarnation.terminated = Some(at);
            }
            Record::RouterSignalled { signal: RouterSignal::Kill, .. } => incarnation.killed = Some(at),
            Record::RouterExited { was_expected, status, .. } => {
                let status = status.clone();
                incarnation.exit = Some(Exit { at, was_expected: *was_expected, status });
            }
            _ => {}
        }
    }
}
