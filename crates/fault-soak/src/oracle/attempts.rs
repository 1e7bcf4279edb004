//! Checks the attempts that routers make for requests, as observed on the network.

use super::OBSERVATION_TOLERANCE;
use super::observations::{Attempt, Observations, Request, WorkerProperties};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{DeduplicationScope, Idempotency, Role};
use std::time::Duration;

/// The time after a client's disconnect during which an attempt may still start.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// The time by which a propagated timeout may exceed the client's remaining time.
const PROPAGATION_SLACK: Duration = Duration::from_millis(150);
/// The time by which a repeated attempt may exceed the deduplication window.
const WINDOW_SLACK: Duration = Duration::from_millis(50);

/// Checks the attempts of every request.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    for request in run.requests.values() {
        for attempt in &request.attempts {
            check_start(findings, request, attempt);
            check_propagated_deadline(findings, request, attempt);
        }
        check_attempt_limit(findings, request);
        check_concurrent_attempts(findings, request);
        check_idempotency(run, deployment, findings, request);
    }
}

fn check_start(findings: &mut Findings<'_>, request: &Request, attempt: &Attempt) {
    let started = attempt.started;
    let is_after_disconnect = |at: &Timestamp| started > *at + DISCONNECT_GRACE + OBSERVATION_TOLERANCE;
    if let Some(disconnected) = request.client_disconnected.filter(is_after_disconnect) {
        let (elapsed, limit) = (started.since(disconnected).as_millis(), DISCONNECT_GRACE.as_millis());
        let detail = format!("attempt started {elapsed} ms after the client disconnected, limit {limit} ms");
        findings.add_for(request, Invariant::NoAttemptAfterDisconnect, started, attempt.router, detail);
    }
    let responded = request.response.as_ref().map(|response| response.at);
    if let Some(responded) = responded.filter(|at| started > *at + OBSERVATION_TOLERANCE) {
        let elapsed = started.since(responded).as_millis();
        let detail = format!("attempt started {elapsed} ms after the response, none may start after it");
        findings.add_for(request, Invariant::NoAttemptAfterResponse, started, attempt.router, detail);
    }
}

fn check_propagated_deadline(findings: &mut Findings<'_>, request: &Request, attempt: &Attempt) {
    let (Some(propagated), Some(sent)) = (attempt.propagated_timeout, request.sent()) else { return };
    let remaining = sent.deadline().since(attempt.started);
    if propagated > remaining + PROPAGATION_SLACK + OBSERVATION_TOLERANCE {
        let limit = (remaining + PROPAGATION_SLACK).as_millis();
        let (propagated, remaining) = (propagated.as_millis(), remaining.as_millis());
        let detail = format!(
            "propagated a timeout of {propagated} ms with {remaining} ms remaining, limit {limit} ms"
        );
        findings.add_for(request, Invariant::DeadlinePropagated, attempt.started, attempt.router, detail);
    }
}

fn check_attempt_limit(findings: &mut Findings<'_>, request: &Request) {
    let count = request.attempts.len();
    if let Some(last) = request.attempts.last().filter(|_| count > Deployment::MAX_ATTEMPTS) {
        let detail = format!("{count} attempts, limit {}", Deployment::MAX_ATTEMPTS);
        findings.add_for(request, Invariant::AttemptLimit, last.started, last.router, detail);
    }
}

fn check_concurrent_attempts(findings: &mut Findings<'_>, request: &Request) {
    for (index, later) in request.attempts.iter().enumerate() {
        let Some(received) = later.received else { continue };
        let is_in_flight = |earlier: &&Attempt| {
            let was_received_before = earlier.received.is_some_and(|before| before <= received);
            was_received_before && earlier.ended() > received + OBSERVATION_TOLERANCE
        };
        let earlier = request.attempts[..index].iter().find(is_in_flight);
        if let Some(earlier) = earlier {
            let detail = format!(
                "attempt at worker {} while another was in flight at worker {}, expected one at a time",
                later.worker, earlier.worker
            );
            findings.add_for(request, Invariant::SingleAttemptInFlight, received, later.router, detail);
        }
    }
}

fn check_idempotency(
    run: &Observations,
    deployment: &Deployment,
    findings: &mut Findings<'_>,
    request: &Request,
) {
    // Only decode workers execute a request: a prefill has no effect outside its worker.
    let decode_attempts: Vec<&Attempt> = request
        .attempts
        .iter()
        .filter(|attempt| run.workers.get(&attempt.worker).is_some_and(|worker| worker.role == Role::Decode))
        .collect();
    let Some(first) = decode_attempts.iter().find(|attempt| attempt.may_have_been_executed()) else { return };
    // Only an attempt that its worker received counts: the router cannot tell whether bytes that it wrote
    // to a socket were lost on the way.
    for later in decode_attempts.iter().filter(|attempt| attempt.started > first.started) {
        let Some(received) = later.received else { continue };
        if !is_repetition_allowed(run, deployment, request.idempotency, first, later, received) {
            let detail = format!(
                "{:?}: repeated at worker {}, which is not allowed {} ms after an attempt at worker {} \
                 that may have been executed",
                request.idempotency,
                later.worker,
                received.since(first.started).as_millis(),
                first.worker
            );
            findings.add_for(request, Invariant::IdempotencyRespected, received, later.router, detail);
        }
    }
    check_rejection(findings, request);
}

/// Whether a decode worker may receive a request after an attempt that may have been executed.
fn is_repetition_allowed(
    run: &Observations,
    deployment: &Deployment,
    idempotency: Idempotency,
    first: &Attempt,
    later: &Attempt,
    received: Timestamp,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed(scope) => {
            let is_in_scope = run
                .workers
                .get(&first.worker)
                .zip(run.workers.get(&later.worker))
                .is_some_and(|(first, later)| is_same_scope(scope, first, later));
            let window_end = first.started + deployment.deduplication_window;
            is_in_scope && received <= window_end + WINDOW_SLACK + OBSERVATION_TOLERANCE
        }
    }
}

fn is_same_scope(scope: DeduplicationScope, first: &WorkerProperties, later: &WorkerProperties) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == later.zone,
        DeduplicationScope::Cell => first.cell == later.cell,
    }
}

/// Checks that a request that may have been executed is not rejected unless a repetition is safe anywhere,
/// because clients retry rejected requests.
fn check_rejection(findings: &mut Findings<'_>, request: &Request) {
    let is_safe_to_retry =
        matches!(request.idempotency, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All));
    let rejection = request.response.as_ref().filter(|response| response.is_rejection());
    if let Some(rejection) = rejection.filter(|_| !is_safe_to_retry) {
        let detail =
            format!("{:?}: rejected, although an attempt may have been executed", request.idempotency);
        findings.add_for(request, Invariant::RejectionSafeToRetry, rejection.at, request.router, detail);
    }
}
