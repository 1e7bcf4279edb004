//! Attempts, as the network sees them leave the router.

use super::view::{Attempt, Request, View, WorkerFacts};
use super::{Findings, Invariant, TOLERANCE};
use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{DeduplicationScope, Idempotency, Role};

/// An attempt may begin this much after its client closed.
const LEAVE_GRACE: Micros = 100 * MILLISECOND;
/// A worker may be told this much more than its client has left.
const TOLD_SLACK: Micros = 150 * MILLISECOND;
/// Every time limit is longer by this.
const SLACK: Micros = 50 * MILLISECOND;

/// Checks the attempts of every request.
pub fn check(view: &View, deployment: &Deployment, findings: &mut Findings<'_>) {
    for request in view.requests.values() {
        for attempt in &request.attempts {
            check_beginning(findings, request, attempt);
        }
        check_count(findings, request);
        check_overlap(findings, request);
        check_effect(view, deployment, findings, request);
    }
}

fn check_beginning(findings: &mut Findings<'_>, request: &Request, attempt: &Attempt) {
    let (name, begun) = (Some(&request.name), attempt.begun);
    if let Some(left) = request.left.filter(|left| begun > left + LEAVE_GRACE + TOLERANCE) {
        let detail = format!("an attempt began {} ms after its client left", (begun - left) / MILLISECOND);
        findings.add(Invariant::NoAttemptAfterDisconnect, begun, attempt.router, name, detail);
    }
    if let Some(answer) = request.answer.as_ref().filter(|answer| begun > answer.at + TOLERANCE) {
        let detail = format!("an attempt began {} ms after the answer", (begun - answer.at) / MILLISECOND);
        findings.add(Invariant::NoAttemptAfterResponse, begun, attempt.router, name, detail);
    }
    if let (Some(told), Some(deadline)) = (attempt.propagated_timeout, request.deadline()) {
        let left = deadline.saturating_sub(begun);
        if told > left + TOLD_SLACK + TOLERANCE {
            let detail = format!("told {} ms, {} ms were left", told / MILLISECOND, left / MILLISECOND);
            findings.add(Invariant::DeadlinePropagated, begun, attempt.router, name, detail);
        }
    }
}

fn check_count(findings: &mut Findings<'_>, request: &Request) {
    let count = request.attempts.len();
    if let Some(last) = request.attempts.last().filter(|_| count > Deployment::MAX_ATTEMPTS) {
        let detail = format!("{count} attempts");
        findings.add(Invariant::AttemptLimit, last.begun, last.router, Some(&request.name), detail);
    }
}

fn check_overlap(findings: &mut Findings<'_>, request: &Request) {
    for (place, later) in request.attempts.iter().enumerate() {
        let Some(arrived) = later.arrived else { continue };
        let is_out = |earlier: &&Attempt| {
            let arrived_before = earlier.arrived.is_some_and(|before| before <= arrived);
            arrived_before && earlier.over() > arrived + TOLERANCE
        };
        let earlier = request.attempts[..place].iter().find(is_out);
        if let Some(earlier) = earlier {
            let detail = format!(
                "a second copy at worker {} while one was out at worker {}",
                later.worker, earlier.worker
            );
            findings.add(
                Invariant::SingleAttemptInFlight,
                arrived,
                later.router,
                Some(&request.name),
                detail,
            );
        }
    }
}

fn in_same_scope(group: DeduplicationScope, one: &WorkerFacts, other: &WorkerFacts) -> bool {
    match group {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}

fn check_effect(view: &View, deployment: &Deployment, findings: &mut Findings<'_>, request: &Request) {
    let decodes = |attempt: &&Attempt| {
        view.workers.get(&attempt.worker).is_some_and(|worker| worker.role == Role::Decode)
    };
    let ran: Vec<&Attempt> = request.attempts.iter().filter(decodes).filter(|a| a.may_have_run()).collect();
    let Some(first) = ran.first() else { return };
    let name = Some(&request.name);
    // A worker whose machine vanished took the bytes, perhaps: the router can't know better than its socket does.
    for later in request.attempts.iter().filter(decodes).filter(|attempt| attempt.begun > first.begun) {
        let Some(arrived) = later.arrived else { continue };
        let is_allowed = match request.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed(group) => {
                let in_group = view
                    .workers
                    .get(&first.worker)
                    .zip(view.workers.get(&later.worker))
                    .is_some_and(|(one, other)| in_same_scope(group, one, other));
                in_group && arrived <= first.begun + deployment.deduplication_window + SLACK + TOLERANCE
            }
        };
        if !is_allowed {
            let after = (arrived - first.begun) / MILLISECOND;
            let detail = format!(
                "{:?}: sent to worker {} {after} ms after an attempt at worker {} that may have run",
                request.idempotency, later.worker, first.worker
            );
            findings.add(Invariant::IdempotencyRespected, arrived, later.router, name, detail);
        }
    }
    let is_harmless =
        matches!(request.idempotency, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All));
    let refusal = request.answer.as_ref().filter(|answer| matches!(answer.status, 429 | 503));
    if let Some(refusal) = refusal.filter(|_| !is_harmless) {
        let detail = format!("{:?}: refused after an attempt that may have run", request.idempotency);
        findings.add(Invariant::RejectionSafeToRetry, refusal.at, request.router, name, detail);
    }
}
