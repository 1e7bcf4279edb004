//! Local replies: the rejections and failures with which the router itself ends a request.

use super::context::DecisionContext;
use super::request::{Request, RequestPhase};
use super::retry;
use super::sweep::sweep_margin;
use crate::interface::{Action, EndReason};
use crate::rules::idempotency::is_rejection_harmless;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of distinct values of `retry_after`; see [`local_reply`].
const RETRY_AFTER_STEPS: u64 = 1000;

/// The reason for which a request has to end now; `None` if it may go on.
pub(super) fn end_reason(context: DecisionContext<'_>, request: &Request) -> Option<EndReason> {
    let DecisionContext { settings, now, .. } = context;
    let deadline = request.spec.deadline;
    match request.phase() {
        RequestPhase::Streaming | RequestPhase::Closed => return None,
        // The attempt times out by the deadline, and its outcome arrives within `response_grace` after it.
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
    // A request that can't be retried anywhere fails now, as its client would gain nothing by waiting.
    if request.may_have_run() && !retry::may_retry_anywhere(context, request) {
        return Some(EndReason::NotRetryable);
    }
    // A late request whose decode has timed out would only take decode capacity from requests that are still
    // in time.
    let is_awaiting_decode = matches!(request.phase(), RequestPhase::AwaitingDecode { .. });
    if is_awaiting_decode && request.has_decode_timeout() {
        let is_late = now >= request.received_at + context.first_token_objective(request);
        return is_late.then_some(EndReason::DecodeUnresponsive);
    }
    None
}

/// The local reply to a request: a rejection if retrying is harmless, with a retry time if the settings allow
/// one; otherwise a failure.
pub(super) fn local_reply(context: DecisionContext<'_>, request: &Request, reason: EndReason) -> Action {
    let id = request.spec.request;
    if !is_rejection_harmless(context.class(request).idempotency, request.may_have_run()) {
        return Action::Fail { request: id, reason };
    }
    let retry_after = context.settings.retry_after_allowed.then(|| {
        // Jitter between half of the maximum and the maximum, so that clients rejected together do not retry
        // together.
        let half = context.settings.max_retry_after / 2;
        let step = xxh3_64_with_seed(&id.0.to_le_bytes(), context.seed) % RETRY_AFTER_STEPS;
        half + half * step / RETRY_AFTER_STEPS
    });
    Action::Reject { request: id, retry_after, reason }
}
