//! Which workers may be sent a request now.

use super::context::DecisionContext;
use super::request::{Request, TrackedAttempt};
use super::retry;
use super::worker::Worker;
use crate::interface::{Role, WorkerId};

/// A worker that may be sent a request.
#[derive(Clone, Copy)]
pub(super) struct EligibleWorker<'a> {
    /// Its name.
    pub id: &'a WorkerId,
    /// What is known of it.
    pub worker: &'a Worker,
}

/// The workers of a role that may be sent this request now: the healthy ones, unless most of the role looks
/// unhealthy.
pub(super) fn eligible_workers<'a>(
    context: DecisionContext<'a>,
    role: Role,
    request: &Request,
) -> Vec<EligibleWorker<'a>> {
    let available = available_workers(context, role, request);
    let healthy: Vec<EligibleWorker> =
        available.iter().filter(|candidate| is_healthy(context, candidate)).copied().collect();
    let reachable = context.membership.ready(role).filter(|(_, w)| !w.outlier.is_unreachable()).count();
    if healthy.len() * 2 >= reachable && !healthy.is_empty() {
        return healthy;
    }
    // When most of a role looks unhealthy the cause is elsewhere (a link, the load), and all are used again.
    // Those that can't be reached stay out all the same, but for their trials, while any other is left.
    // Decode workers that can prefill stand in for prefill workers of which none can be reached.
    let has_stand_ins = role == Role::Prefill && context.settings.decode_can_prefill;
    let uses_unreachable = reachable == 0 && !has_stand_ins;
    let is_used = |candidate: &EligibleWorker| {
        !candidate.worker.outlier.is_unreachable()
            || uses_unreachable
            || healthy.iter().any(|healthy| healthy.id == candidate.id)
    };
    available.into_iter().filter(is_used).collect()
}

/// The workers of a role that are in service, that slow start and retries allow, and that have not just
/// rejected such a request, unless all have.
fn available_workers<'a>(
    context: DecisionContext<'a>,
    role: Role,
    request: &Request,
) -> Vec<EligibleWorker<'a>> {
    let DecisionContext { settings, now, .. } = context;
    let mut available: Vec<EligibleWorker> = (context.membership.ready(role))
        .filter(|(_, worker)| !request.may_have_run() || retry::may_retry_at(context, request, worker))
        .filter(|(_, worker)| worker.slow_start.allows_attempt(settings, now))
        .map(|(id, worker)| EligibleWorker { id, worker })
        .collect();
    let traffic = request.traffic_key();
    let accepts = |candidate: &EligibleWorker| !candidate.worker.is_rejecting(&traffic, now);
    if available.iter().any(accepts) {
        available.retain(accepts);
    }
    available
}

/// Whether a worker is not ejected, has no trial in flight, and no overdue attempt since its last success: a
/// worker that hangs or is cut off shows itself by those.
fn is_healthy(context: DecisionContext<'_>, candidate: &EligibleWorker<'_>) -> bool {
    let outlier = &candidate.worker.outlier;
    let is_overdue = |a: &TrackedAttempt| a.due_at <= context.now && outlier.is_silent_since(a.sent_at);
    let makes_suspect =
        |a: &TrackedAttempt| a.started_at.is_none() && (outlier.is_suspect() || is_overdue(a));
    !outlier.is_ejected(context.now) && !context.requests.in_flight_at(candidate.id).any(makes_suspect)
}
