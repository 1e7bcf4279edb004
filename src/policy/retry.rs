//! Whether a request that may have run may be sent again, and where.
//!
//! All other retries are decided in `lifecycle::attempt_ended`, which advances the request again, and in
//! `attempt_plan`, which checks the attempts left and the worker.

use super::context::DecisionContext;
use super::request::{Request, TrackedAttempt};
use super::worker::Worker;
use crate::interface::{DeduplicationScope, Idempotency, Micros, Outcome, Stage};
use crate::rules::idempotency::{self, EarlierAttempt};

/// Whether a request that may have run may go to this worker again, even if connecting takes all its time.
pub(super) fn may_retry_at(context: DecisionContext<'_>, request: &Request, worker: &Worker) -> bool {
    let latest_arrival = context.now + context.settings.connect_timeout;
    retry_deadline(context, request, worker).is_some_and(|end| latest_arrival < end)
}

/// Whether a request that may have run may go to some worker again.
pub(super) fn may_retry_anywhere(context: DecisionContext<'_>, request: &Request) -> bool {
    context.membership.iter().any(|worker| may_retry_at(context, request, worker))
}

/// The time before which a request that may have run has to arrive at this worker again; `None`: it may not
/// be sent there again.
pub(super) fn retry_deadline(
    context: DecisionContext<'_>,
    request: &Request,
    worker: &Worker,
) -> Option<Micros> {
    let class = context.class(request);
    let is_same_scope = |earlier: &Worker| match class.idempotency {
        Idempotency::Keyed(DeduplicationScope::Zone) => earlier.location.is_same_zone(&worker.location),
        Idempotency::Keyed(DeduplicationScope::Cell) => earlier.location.cell == worker.location.cell,
        Idempotency::Keyed(DeduplicationScope::All)
        | Idempotency::Idempotent
        | Idempotency::NonIdempotent => true,
    };
    let may_have_had_effect = |attempt: &&TrackedAttempt| {
        attempt.stage == Stage::Decode && !attempt.outcome.is_some_and(Outcome::had_no_effect)
    };
    let earlier = request.attempts().iter().filter(may_have_had_effect).map(|attempt| EarlierAttempt {
        sent_at: attempt.sent_at,
        same_scope: context.membership.get(&attempt.worker).is_some_and(is_same_scope),
    });
    idempotency::latest_retry_arrival(class.idempotency, class.deduplication_window, earlier)
}
