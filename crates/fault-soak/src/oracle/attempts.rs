//! Checks the attempts of requests, as the network sees them leave the router.

use super::TOLERANCE;
use super::observations::{Attempt, Observations, Request, WorkerProperties};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{DeduplicationScope, Idempotency, Role};
use std::time::Duration;

/// The time after the disconnection of its client in which an attempt may still start.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// The time by which the limit that a worker gets may exceed what its client has left.
const PROPAGATION_SLACK: Duration = Duration::from_millis(150);
/// The time by which the deduplication window may be exceeded.
const WINDOW_SLACK: Duration = Duration::from_millis(50);

/// Checks the attempts of every request.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    for request in run.requests.values() {
        for attempt in &request.attempts {
            check_start(findings, request, attempt);
            check_propagated_deadline(findings, request, attempt);
        }
        check_count(findings, request);
        check_overlap(findings, request);
        check_idempotency(run, deployment, findings, request);
    }
}

fn check_start(findings: &mut Findings<'_>, request: &Request, attempt: &Attempt) {
    let started = attempt.started;
    let is_after_disconnect = |at: &Timestamp| started > *at + DISCONNECT_GRACE + TOLERANCE;
    if let Some(disconnected) = request.client_disconnected.filter(is_after_disconnect) {
        let after = started.since(disconnected).as_millis();
        let detail = format!("an attempt started {after} ms after its client disconnected");
        findings.add_for(request, Invariant::NoAttemptAfterDisconnect, started, attempt.router, detail);
    }
    let responded = request.response.as_ref().map(|response| response.at);
    if let Some(responded) = responded.filter(|at| started > *at + TOLERANCE) {
        let after = started.since(responded).as_millis();
        let detail = format!("an attempt started {after} ms after the response");
        findings.add_for(request, Invariant::NoAttemptAfterResponse, started, attempt.router, detail);
    }
}

fn check_propagated_deadline(findings: &mut Findings<'_>, request: &Request, attempt: &Attempt) {
    let (Some(propagated), Some(sent)) = (attempt.propagated_timeout, request.sent()) else { return };
    let left = sent.deadline().since(attempt.started);
    if propagated > left + PROPAGATION_SLACK + TOLERANCE {
        let (propagated, left) = (propagated.as_millis(), left.as_millis());
        let detail = format!("the worker got {propagated} ms when {left} ms were left");
        findings.add_for(request, Invariant::DeadlinePropagated, attempt.started, attempt.router, detail);
    }
}

fn check_count(findings: &mut Findings<'_>, request: &Request) {
    let count = request.attempts.len();
    if let Some(last) = request.attempts.last().filter(|_| count > Deployment::MAX_ATTEMPTS) {
        let detail = format!("{count} attempts");
        findings.add_for(request, Invariant::AttemptLimit, last.started, last.router, detail);
    }
}

fn check_overlap(findings: &mut Findings<'_>, request: &Request) {
    for (place, later) in request.attempts.iter().enumerate() {
        let Some(received) = later.received else { continue };
        let is_in_flight = |earlier: &&Attempt| {
            let was_received_before = earlier.received.is_some_and(|before| before <= received);
            was_received_before && earlier.ended() > received + TOLERANCE
        };
        let earlier = request.attempts[..place].iter().find(is_in_flight);
        if let Some(earlier) = earlier {
            let detail = format!(
                "a second attempt at worker {} while one was in flight at worker {}",
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
    // Only decode workers execute a request; a prefill has no effect outside of its worker.
    let decode_attempts: Vec<&Attempt> = request
        .attempts
        .iter()
        .filter(|attempt| run.workers.get(&attempt.worker).is_some_and(|worker| worker.role == Role::Decode))
        .collect();
    let Some(first) = decode_attempts.iter().find(|attempt| attempt.may_have_had_effect()) else { return };
    // An attempt counts when its worker received it: the bytes of one that did not may be lost, which the router can't
    // know better than its socket does.
    for later in decode_attempts.iter().filter(|attempt| attempt.started > first.started) {
        let Some(received) = later.received else { continue };
        if !may_repeat(run, deployment, request.idempotency, first, later, received) {
            let detail = format!(
                "{:?}: sent to worker {} {} ms after an attempt at worker {} that may have been executed",
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

/// Whether a request may reach another decode worker after an attempt that may have had an effect.
fn may_repeat(
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
                .is_some_and(|(one, other)| share_scope(scope, one, other));
            let window_end = first.started + deployment.deduplication_window;
            is_in_scope && received <= window_end + WINDOW_SLACK + TOLERANCE
        }
    }
}

fn share_scope(scope: DeduplicationScope, one: &WorkerProperties, other: &WorkerProperties) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}

/// Checks that a request that may have been executed is not rejected, since clients retry what was rejected.
fn check_rejection(findings: &mut Findings<'_>, request: &Request) {
    let is_harmless =
        matches!(request.idempotency, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All));
    let rejection = request.response.as_ref().filter(|response| response.is_rejection());
    if let Some(rejection) = rejection.filter(|_| !is_harmless) {
        let detail =
            format!("{:?}: rejected after an attempt that may have been executed", request.idempotency);
        findings.add_for(request, Invariant::RejectionSafeToRetry, rejection.at, request.router, detail);
    }
}
