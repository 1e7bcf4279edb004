//! Whether a request may be retried, and whether it may be rejected.

use crate::interface::{DeduplicationScope, Idempotency, Micros};

/// An earlier attempt that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// Whether its worker and the candidate for the retry are in the same deduplication scope.
    pub same_scope: bool,
}

/// The time before which a retry has to arrive at the candidate worker, given the earlier attempts that may
/// have had an effect; [`Micros::MAX`]: no limit, `None`: no retry is allowed.
///
/// With an idempotency key, the retry must arrive within the deduplication window of each earlier attempt. An
/// earlier attempt outside the candidate's deduplication scope rules the retry out.
pub fn latest_retry_arrival(
    idempotency: Idempotency,
    deduplication_window: Micros,
    mut earlier_attempts: impl Iterator<Item = EarlierAttempt>,
) -> Option<Micros> {
    match idempotency {
        Idempotency::Idempotent => Some(Micros::MAX),
        Idempotency::NonIdempotent => earlier_attempts.next().is_none().then_some(Micros::MAX),
        Idempotency::Keyed(_) => {
            let window_ends = earlier_attempts.map(|attempt| {
                attempt.same_scope.then(|| attempt.sent_at.saturating_add(deduplication_window))
            });
            // `None` is less than any time, so a single attempt outside the scope rules the retry out.
            window_ends.min().unwrap_or(Some(Micros::MAX))
        }
    }
}

/// Whether a request may be rejected. A rejection promises the client that a retry is harmless.
pub fn is_rejection_harmless(idempotency: Idempotency, may_have_run: bool) -> bool {
    let is_retry_harmless = match idempotency {
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All) => true,
        // The client's retry may reach a worker outside the scope of the first attempt.
        Idempotency::Keyed(DeduplicationScope::Zone | DeduplicationScope::Cell) => false,
        Idempotency::NonIdempotent => false,
    };
    is_retry_harmless || !may_have_run
}
