//! Retries of requests that may have run: whether they are allowed, and at which workers.
//!
//! All other retries follow from `Policy::attempt_ended`, which advances the request again, and from
//! `attempt_plan`, which checks the attempts left and the worker.

use super::context::DecisionContext;
use super::request::{Request, TrackedAttempt};
use super::worker::Worker;
use crate::interface::{DeduplicationScope, Idempotency, Micros, Outcome, Stage, WorkerId};
use crate::rules::idempotency::{self, EarlierAttempt};

/// Whether a request that may have run may be retried at this worker, even if connecting takes the whole
/// connect timeout.
pub(super) fn may_retry_at(context: DecisionContext<'_>, request: &Request, worker: &Worker) -> bool {
    let latest_arrival = context.now + context.settings.connect_timeout;
    retry_deadline(context, request, worker).is_some_and(|deadline| latest_arrival < deadline)
}

/// Whether a request that may have run may be retried at any worker.
pub(super) fn may_retry_anywhere(context: DecisionContext<'_>, request: &Request) -> bool {
    context.membership.iter().any(|worker| may_retry_at(context, request, worker))
}

/// The worker that has just responded with an error to a keyed request; `None` if it has done so before.
///
/// It is the first choice for the retry: its path works at this moment, while a retry to another worker may
/// be held up on its way and arrive after the deduplication window.
pub(super) fn responsive_worker<'a>(
    context: DecisionContext<'_>,
    request: &'a Request,
) -> Option<&'a WorkerId> {
    let is_keyed = matches!(context.class(request).idempotency, Idempotency::Keyed(_));
    let mut decodes = request.attempts().iter().rev().filter(|attempt| attempt.stage == Stage::Decode);
    let last = decodes.next().filter(|last| is_keyed && last.outcome == Some(Outcome::WorkerError))?;
    decodes.all(|earlier| earlier.worker != last.worker).then_some(&last.worker)
}

/// The time before which a retry has to arrive at this worker; `None`: the request may not be retried there.
pub(super) fn retry_deadline(
    context: DecisionContext<'_>,
    request: &Request,
    worker: &Worker,
) -> Option<Micros> {
    let class = context.class(request);
    let is_in_same_scope = |earlier: &Worker| match class.idempotency {
        Idempotency::Keyed(DeduplicationScope::Zone) => earlier.location.is_same_zone(&worker.location),
        Idempotency::Keyed(DeduplicationScope::Cell) => earlier.location.cell == worker.location.cell,
        Idempotency::Keyed(DeduplicationScope::All)
        | Idempotency::Idempotent
        | Idempotency::NonIdempotent => true,
    };
    let may_have_had_effect = |attempt: &&TrackedAttempt| {
        attempt.stage == Stage::Decode && !attempt.outcome.is_some_and(Outcome::had_no_effect)
    };
    let earlier_attempts =
        request.attempts().iter().filter(may_have_had_effect).map(|attempt| EarlierAttempt {
            sent_at: attempt.sent_at,
            same_scope: context.membership.get(&attempt.worker).is_some_and(is_in_same_scope),
        });
    idempotency::latest_retry_arrival(class.idempotency, class.deduplication_window, earlier_attempts)
}
