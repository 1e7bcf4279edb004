//! Which workers may be sent a request now.

use super::context::DecisionContext;
use super::request::{Request, TrackedAttempt};
use super::retry;
use super::worker::{Worker, WorkerActivity};
use crate::interface::Role;

/// A worker that slow start and the rules of retries leave to a request.
struct Candidate<'a> {
    worker: &'a Worker,
    is_healthy: bool,
    /// Whether it has not just rejected such a request.
    accepts: bool,
}

/// The workers of a role that may be sent this request now: the healthy ones, unless most of the role looks
/// unhealthy, and those that have not just rejected such a request, unless all have.
pub(super) fn eligible_workers<'a>(
    context: DecisionContext<'a>,
    role: Role,
    request: &Request,
) -> Vec<&'a Worker> {
    if context.membership.ready_count(role) == 0 {
        return Vec::new();
    }
    let mut available = available_workers(context, role, request);
    if available.iter().any(|candidate| candidate.accepts) {
        available.retain(|candidate| candidate.accepts);
    }
    let healthy = available.iter().filter(|candidate| candidate.is_healthy).count();
    let reachable = context.membership.ready(role).filter(|worker| !is_unreachable(worker)).count();
    // When most of a role looks unhealthy the cause is elsewhere (a link, the load), and all are used again.
    // Those that can't be reached stay out all the same, but for their trials, while any other is left.
    // Decode workers that can prefill stand in for prefill workers of which none can be reached.
    let uses_healthy_alone = healthy * 2 >= reachable && healthy > 0;
    let has_stand_ins = role == Role::Prefill && context.settings.decode_can_prefill;
    let uses_unreachable = reachable == 0 && !has_stand_ins;
    let is_used = |candidate: &Candidate| {
        let is_last_resort = !is_unreachable(candidate.worker) || uses_unreachable;
        candidate.is_healthy || !uses_healthy_alone && is_last_resort
    };
    available.into_iter().filter(is_used).map(|candidate| candidate.worker).collect()
}

/// The workers of a role that are in service, and that slow start and retries allow.
fn available_workers<'a>(context: DecisionContext<'a>, role: Role, request: &Request) -> Vec<Candidate<'a>> {
    let DecisionContext { settings, now, .. } = context;
    let is_repetition = request.may_have_run();
    let traffic = request.traffic_key();
    let candidate = |worker: &'a Worker| {
        if is_repetition && !retry::may_retry_at(context, request, worker) {
            return None;
        }
        let Some(activity) = worker.activity() else {
            return Some(Candidate { worker, is_healthy: true, accepts: true });
        };
        let allows_attempt = activity.slow_start.allows_attempt(settings, now);
        let accepts = !activity.is_rejecting(&traffic, now);
        let is_healthy = is_healthy(context, worker, activity);
        allows_attempt.then_some(Candidate { worker, is_healthy, accepts })
    };
    context.membership.ready(role).filter_map(candidate).collect()
}

/// Whether no connection to a worker can be established.
fn is_unreachable(worker: &Worker) -> bool {
    worker.activity().is_some_and(|activity| activity.outlier.is_unreachable())
}

/// Whether a worker is not ejected, has no trial in flight, and no overdue attempt since its last success: a
/// worker that hangs or is cut off shows itself by those.
fn is_healthy(context: DecisionContext<'_>, worker: &Worker, activity: &WorkerActivity) -> bool {
    let outlier = &activity.outlier;
    let is_overdue = |a: &TrackedAttempt| a.due_at <= context.now && outlier.has_no_success_since(a.sent_at);
    let makes_suspect =
        |a: &TrackedAttempt| a.started_at.is_none() && (outlier.is_suspect() || is_overdue(a));
    !outlier.is_ejected(context.now) && !context.in_flight_at(worker).any(makes_suspect)
}
