//! Eligibility of workers for a request, by health, rejections, slow start and retry rules.

use super::context::DecisionContext;
use super::request::{Request, TrackedAttempt};
use super::retry;
use super::worker::{Worker, WorkerActivity};
use crate::interface::Role;

/// A ready worker that slow start and the retry rules allow for a request.
struct Candidate<'a> {
    worker: &'a Worker,
    is_healthy: bool,
    /// Whether it has not recently rejected a request of the same class and tenant.
    is_accepting: bool,
}

/// The workers of a role that may be sent this request now.
///
/// Unhealthy workers are excluded unless most of the role is unhealthy. Workers that have recently rejected a
/// request of the same class and tenant are excluded unless all have.
pub(super) fn eligible_workers<'a>(
    context: DecisionContext<'a>,
    role: Role,
    request: &Request,
) -> Vec<&'a Worker> {
    if context.membership.ready_count(role) == 0 {
        return Vec::new();
    }
    let mut available = available_workers(context, role, request);
    if available.iter().any(|candidate| candidate.is_accepting) {
        available.retain(|candidate| candidate.is_accepting);
    }
    let healthy_count = available.iter().filter(|candidate| candidate.is_healthy).count();
    let reachable_count = context.membership.ready(role).filter(|worker| !is_unreachable(worker)).count();
    // Panic mode: if most workers of a role look unhealthy, the cause is likely not in the workers (a link or
    // the load), so unhealthy workers are used, too. Unreachable workers remain excluded, except for their
    // trials, while any worker of the role is reachable. If no prefill worker is reachable, decode workers
    // that can prefill substitute for them, and the unreachable ones stay excluded.
    let use_only_healthy = healthy_count * 2 >= reachable_count && healthy_count > 0;
    let has_substitutes = role == Role::Prefill && context.settings.decode_can_prefill;
    let use_unreachable = reachable_count == 0 && !has_substitutes;
    let is_eligible = |candidate: &Candidate| {
        let is_usable_in_panic = !is_unreachable(candidate.worker) || use_unreachable;
        candidate.is_healthy || !use_only_healthy && is_usable_in_panic
    };
    available.into_iter().filter(is_eligible).map(|candidate| candidate.worker).collect()
}

/// The ready workers of a role that slow start and the retry rules allow for a request.
fn available_workers<'a>(context: DecisionContext<'a>, role: Role, request: &Request) -> Vec<Candidate<'a>> {
    let DecisionContext { settings, now, .. } = context;
    let may_have_run = request.may_have_run();
    let traffic_key = request.traffic_key();
    let candidate = |worker: &'a Worker| {
        if may_have_run && !retry::may_retry_at(context, request, worker) {
            return None;
        }
        let Some(activity) = worker.activity() else {
            return Some(Candidate { worker, is_healthy: true, is_accepting: true });
        };
        let allows_attempt = activity.slow_start.allows_attempt(settings, now);
        let is_accepting = !activity.is_rejecting(&traffic_key, now);
        let is_healthy = is_healthy(context, worker, activity);
        allows_attempt.then_some(Candidate { worker, is_healthy, is_accepting })
    };
    context.membership.ready(role).filter_map(candidate).collect()
}

fn is_unreachable(worker: &Worker) -> bool {
    worker.activity().is_some_and(|activity| activity.outlier.is_unreachable())
}

/// Whether a worker is not ejected, has no trial in flight, and no overdue attempt since its last success.
/// Overdue attempts reveal workers that hang or are partitioned.
fn is_healthy(context: DecisionContext<'_>, worker: &Worker, activity: &WorkerActivity) -> bool {
    let outlier = &activity.outlier;
    let is_overdue =
        |a: &TrackedAttempt| a.overdue_at <= context.now && outlier.has_no_success_since(a.sent_at);
    let is_trial_or_overdue =
        |a: &TrackedAttempt| a.stream_started_at.is_none() && (outlier.is_suspect() || is_overdue(a));
    !outlier.is_ejected(context.now) && !context.in_flight_at(worker).any(is_trial_or_overdue)
}
