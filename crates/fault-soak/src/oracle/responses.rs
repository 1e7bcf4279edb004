//! Checks the responses and streams that clients received.

use super::OBSERVATION_TOLERANCE;
use super::observations::{
    Attempt, ConnectionFailure, Incarnation, Observations, Request, RequestSent, Response, ResponseEnd,
};
use super::verdict::{Findings, Invariant, RequestOutcome, StreamDelays};
use fleet_emulator::record::ConnectionEnd;
use std::collections::BTreeMap;
use std::time::Duration;

/// A response that arrives later than this after the deadline counts as missing.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// A request sent later than this after SIGTERM has to be answered before the process gets SIGKILL.
const LATE_REQUEST_THRESHOLD: Duration = Duration::from_millis(700);
/// The time after SIGTERM during which a router has to accept connections, because the load balancer still
/// sends new ones.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(400);
/// An event that takes longer than this from its worker to the client counts as late.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);

/// Checks every request.
pub(super) fn check(run: &Observations, findings: &mut Findings<'_>) {
    for request in run.requests.values() {
        check_final_response(run, findings, request);
        check_resent_request(run, findings, request);
        check_stream(run, findings, request);
    }
}

fn check_final_response(run: &Observations, findings: &mut Findings<'_>, request: &Request) {
    let Some(sent) = request.sent() else { return };
    if request.client_disconnected.is_some() {
        return;
    }
    if let Some(response) = &request.response {
        check_response_head(findings, request, sent, response);
        return;
    }
    let transmission = request.transmissions.last();
    let failure = transmission.and_then(|transmission| transmission.connection_failure);
    if let Some(failure @ ConnectionFailure { at, kind }) = failure {
        if !is_failure_allowed(run, request, sent, failure) {
            let prior_requests = transmission.map_or(0, |transmission| transmission.prior_requests);
            let waited = at.since(sent.at).as_millis();
            let detail = format!(
                "no response, connection failed ({kind:?}) {waited} ms after the request was sent, \
                 {prior_requests} prior requests on the connection"
            );
            findings.add_for(request, Invariant::FinalResponse, at, request.router, detail);
        }
        return;
    }
    if let Some(at) = request.timed_out {
        let detail = "no response before the client timed out";
        findings.add_for(request, Invariant::FinalResponse, at, request.router, detail);
    }
}

fn check_response_head(
    findings: &mut Findings<'_>,
    request: &Request,
    sent: RequestSent,
    response: &Response,
) {
    let late_by = response.at.since(sent.deadline());
    if late_by > MAX_RESPONSE_DELAY {
        let (late_by, limit) = (late_by.as_millis(), MAX_RESPONSE_DELAY.as_millis());
        let detail = format!("response {late_by} ms after the deadline, limit {limit} ms");
        findings.add_for(request, Invariant::FinalResponse, response.at, request.router, detail);
    }
    if response.is_rejection() && !response.has_retry_after {
        let detail = "rejected without a valid Retry-After header";
        findings.add_for(request, Invariant::RetryAfterPresent, response.at, request.router, detail);
    }
}

/// Whether a connection may fail without a response because its router was starting, shutting down or killed.
fn is_failure_allowed(
    run: &Observations,
    request: &Request,
    sent: RequestSent,
    failure: ConnectionFailure,
) -> bool {
    let ConnectionFailure { at, kind } = failure;
    let Some(incarnation) = run.incarnation(request.router, sent.at) else { return true };
    let terminated = incarnation.terminated;
    if kind == ConnectionEnd::NotOpened {
        let has_stopped_listening = terminated.is_some_and(|terminated| at > terminated + MIN_ACCEPT_TIME);
        // The load balancer sends new connections only to a process that is ready.
        let is_not_ready = incarnation.ready.is_none_or(|ready| at <= ready);
        let was_killed = incarnation.killed.is_some_and(|killed| at + OBSERVATION_TOLERANCE >= killed);
        return has_stopped_listening || is_not_ready || was_killed;
    }
    // The request may have been sent to the previous process, so only a kill up to the failure of the
    // connection excuses the failure.
    let killed = incarnation.killed.filter(|killed| at + OBSERVATION_TOLERANCE >= *killed);
    killed.is_some() && !was_sent_late(incarnation, sent)
}

/// Whether a request was sent so long after SIGTERM that the process has to answer it before it is killed.
fn was_sent_late(incarnation: &Incarnation, sent: RequestSent) -> bool {
    incarnation.terminated.is_some_and(|terminated| sent.at > terminated + LATE_REQUEST_THRESHOLD)
}

/// Checks that the router did not forward a request if it closed the connection without a response, because
/// the client then resends the request on a new connection.
fn check_resent_request(run: &Observations, findings: &mut Findings<'_>, request: &Request) {
    let Some(resent) = request.transmissions.iter().find(|transmission| transmission.is_resent) else {
        return;
    };
    let failure = request.transmissions.iter().find_map(|transmission| transmission.connection_failure);
    let incarnation = run.incarnation(request.router, resent.started);
    // Killing a process closes all of its connections.
    let killed = incarnation.and_then(|incarnation| incarnation.killed);
    if killed.is_some_and(|killed| failure.is_some_and(|failure| failure.at >= killed)) {
        return;
    }
    let forwarded = request.attempts.iter().find(|attempt| attempt.started < resent.started);
    if let Some(attempt) = forwarded {
        let detail = "the connection ended without a response although the request had been forwarded";
        findings.add_for(request, Invariant::ForwardedThenAnswered, attempt.started, request.router, detail);
    }
}

fn check_stream(run: &Observations, findings: &mut Findings<'_>, request: &Request) {
    let response = request.response.as_ref().filter(|response| response.status == 200);
    let Some(response) = response else { return };
    if let Some(at) = request.timed_out {
        let detail = "the stream stalled, and its connection was still open when the client timed out";
        findings.add_for(request, Invariant::DeadStreamClosed, at, request.router, detail);
    }
    let Some(end) = &request.response_end else { return };
    if !end.is_intact {
        let detail = "the events are not those of one worker for this request, in order and without gaps";
        findings.add_for(request, Invariant::StreamIntact, end.at, request.router, detail);
    }
    let incarnation = run.incarnation(request.router, response.at);
    let was_killed = incarnation.is_some_and(|incarnation| incarnation.killed.is_some());
    if end.is_complete || request.client_disconnected.is_some() {
        return;
    }
    if was_killed {
        check_stream_of_killed_process(run, findings, request, response, end);
        return;
    }
    if request.attempts.iter().any(is_delivered_stream) {
        let detail = "the stream was truncated, although its worker had completed it";
        findings.add_for(request, Invariant::StreamComplete, end.at, request.router, detail);
    }
}

/// Checks a truncated stream of a router process that was killed when the stream ended or later.
fn check_stream_of_killed_process(
    run: &Observations,
    findings: &mut Findings<'_>,
    request: &Request,
    response: &Response,
    end: &ResponseEnd,
) {
    let Some(incarnation) = run.incarnation(request.router, response.at) else { return };
    let ended_by_kill = incarnation.killed.is_some_and(|killed| end.at + OBSERVATION_TOLERANCE >= killed);
    if ended_by_kill && request.sent().is_some_and(|sent| was_sent_late(incarnation, sent)) {
        let limit = LATE_REQUEST_THRESHOLD.as_millis();
        let detail = format!(
            "the request was sent more than {limit} ms after SIGTERM, but SIGKILL truncated its stream"
        );
        findings.add_for(request, Invariant::StreamComplete, end.at, request.router, detail);
    }
}

/// Whether a worker completed a stream and the network delivered it to the router in full.
fn is_delivered_stream(attempt: &Attempt) -> bool {
    let response = attempt.response.as_ref();
    let is_complete = response.is_some_and(|response| response.status == 200 && response.is_complete);
    is_complete && attempt.closed_by_worker.is_none() && !attempt.was_stalled
}

/// Counts the requests by outcome.
pub(super) fn count_outcomes(run: &Observations) -> BTreeMap<RequestOutcome, usize> {
    let mut outcomes = BTreeMap::new();
    for request in run.requests.values() {
        *outcomes.entry(outcome(request)).or_default() += 1;
    }
    outcomes
}

fn outcome(request: &Request) -> RequestOutcome {
    if request.client_disconnected.is_some() {
        return RequestOutcome::Disconnected;
    }
    match &request.response {
        _ if request.is_completed() => RequestOutcome::Completed,
        Some(response) if response.status == 200 => RequestOutcome::Truncated,
        Some(response) if response.is_rejection() => RequestOutcome::Rejected,
        Some(_) => RequestOutcome::Failed,
        None => RequestOutcome::Unanswered,
    }
}

/// Counts the streams, and those with at least one late event.
pub(super) fn count_delayed_streams(run: &Observations) -> StreamDelays {
    let streams = run.requests.values().filter(|request| request.first_event.is_some());
    let ends: Vec<_> = streams.filter_map(|request| request.response_end.as_ref()).collect();
    let delayed = ends.iter().filter(|end| end.longest_delay > MAX_EVENT_DELAY).count();
    StreamDelays { delayed, total: ends.len() }
}
