//! Why and how a request ends without a worker's answer.

use super::context::DecisionContext;
use super::request::{Request, RequestPhase};
use super::retry;
use super::sweep::sweep_margin;
use crate::interface::{Action, EndReason};
use crate::rules::idempotency::is_rejection_harmless;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Steps in which the waits of rejected clients are spread.
const RETRY_AFTER_STEPS: u64 = 1000;

/// Why a request has to end now, if it has to.
pub(super) fn end_reason(context: DecisionContext<'_>, request: &Request) -> Option<EndReason> {
    let DecisionContext { settings, now, .. } = context;
    let deadline = request.spec.deadline;
    match request.phase() {
        RequestPhase::Streaming | RequestPhase::Answered => return None,
        // The attempt's timeout ends at the deadline, and its outcome comes within the grace after it.
        RequestPhase::Prefilling | RequestPhase::DecodeRequested { .. } => {
            return (now >= deadline).then_some(EndReason::DeadlineExceeded);
        }
        RequestPhase::Queued | RequestPhase::AwaitingDecode { .. } => {}
    }
    if now + sweep_margin(settings) >= deadline {
        return Some(EndReason::DeadlineTooClose);
    }
    if request.attempts().len() as u32 >= settings.max_attempts {
        return Some(EndReason::AttemptsExhausted);
    }
    // It may have run, and no worker may be sent it again: its client gains nothing by waiting.
    if request.may_have_run() && !retry::may_retry_anywhere(context, request) {
        return Some(EndReason::NotRetryable);
    }
    // A decode worker had no capacity for it, and it is late now: it could only make others late.
    let is_awaiting_decode = matches!(request.phase(), RequestPhase::AwaitingDecode { .. });
    if is_awaiting_decode && request.has_decode_timeout() {
        let is_late = now >= request.received_at + context.first_token_objective(request);
        return is_late.then_some(EndReason::DecodeUnresponsive);
    }
    None
}

/// A rejection, with the time after which to retry, where retrying is harmless; else a failure.
pub(super) fn final_answer(context: DecisionContext<'_>, request: &Request, reason: EndReason) -> Action {
    let id = request.spec.request;
    if !is_rejection_harmless(context.class(request).idempotency, request.may_have_run()) {
        return Action::Fail { request: id, reason };
    }
    let retry_after = context.settings.retry_after_allowed.then(|| {
        // Between half of the maximum and the maximum, so that clients rejected together don't return
        // together.
        let half = context.settings.max_retry_after / 2;
        let step = xxh3_64_with_seed(&id.0.to_le_bytes(), context.seed) % RETRY_AFTER_STEPS;
        half + half * step / RETRY_AFTER_STEPS
    });
    Action::Reject { request: id, retry_after, reason }
}
