//! Whether a request that may have run may be sent again, and where.

use super::context::DecisionContext;
use super::request::{Attempt, Request};
use super::worker::Worker;
use crate::interface::{DeduplicationScope, Idempotency, Micros, Outcome, Stage};
use crate::rules::idempotency::{self, EarlierAttempt};

/// Whether a request that may have run may go to this worker again, even if connecting takes all its time.
pub(super) fn may_retry_at(context: DecisionContext<'_>, request: &Request, worker: &Worker) -> bool {
    let latest_arrival = context.now + context.settings.connect_timeout;
    retry_before(context, request, worker).is_some_and(|end| latest_arrival < end)
}

/// Whether a request that may have run may go to some worker again.
pub(super) fn may_retry_anywhere(context: DecisionContext<'_>, request: &Request) -> bool {
    context.membership.iter().any(|(_, worker)| may_retry_at(context, request, worker))
}

/// Until when a request that may have run may arrive at this worker again; `None`: never.
pub(super) fn retry_before(
    context: DecisionContext<'_>,
    request: &Request,
    worker: &Worker,
) -> Option<Micros> {
    let class = context.class(request);
    let is_same_scope = |earlier: &Worker| match class.idempotency {
        Idempotency::Keyed(DeduplicationScope::Zone) => earlier.zone == worker.zone,
        Idempotency::Keyed(DeduplicationScope::Cell) => earlier.cell == worker.cell,
        Idempotency::Keyed(DeduplicationScope::All)
        | Idempotency::Idempotent
        | Idempotency::NonIdempotent => true,
    };
    let may_have_had_effect = |attempt: &&Attempt| {
        attempt.stage == Stage::Decode && !attempt.outcome.is_some_and(Outcome::had_no_effect)
    };
    let earlier = request.attempts().iter().filter(may_have_had_effect).map(|attempt| EarlierAttempt {
        sent: attempt.sent_at,
        same_scope: context.membership.get(&attempt.worker).is_some_and(is_same_scope),
    });
    idempotency::retry_before(class.idempotency, class.deduplication_window, earlier)
}
