//! Which requests may be repeated, and which may be rejected.

use crate::interface::{DeduplicationScope, Idempotency, Micros};

/// An earlier attempt that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether its worker and the one in question are in one deduplication scope.
    pub same_scope: bool,
}

/// The time before which a repeat has to arrive at a worker, given the earlier attempts that may have had an
/// effect; [`Micros::MAX`]: at any time, `None`: never.
///
/// With an idempotency key, the deduplication window of each earlier attempt counts, and one outside the
/// scope of the worker in question rules a repeat there out.
pub fn latest_retry_arrival(
    idempotency: Idempotency,
    deduplication_window: Micros,
    mut earlier: impl Iterator<Item = EarlierAttempt>,
) -> Option<Micros> {
    match idempotency {
        Idempotency::Idempotent => Some(Micros::MAX),
        Idempotency::NonIdempotent => earlier.next().is_none().then_some(Micros::MAX),
        Idempotency::Keyed(_) => {
            let window_ends = earlier.map(|attempt| {
                attempt.same_scope.then(|| attempt.sent_at.saturating_add(deduplication_window))
            });
            // `None` is less than any time: one attempt outside the scope decides.
            window_ends.min().unwrap_or(Some(Micros::MAX))
        }
    }
}

/// Whether a request may be rejected, which promises the client that a retry is harmless.
pub fn is_rejection_harmless(idempotency: Idempotency, may_have_run: bool) -> bool {
    let is_retry_harmless = match idempotency {
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All) => true,
        // A retry may reach a worker outside the scope in which the first attempt is recognized.
        Idempotency::Keyed(DeduplicationScope::Zone | DeduplicationScope::Cell) => false,
        Idempotency::NonIdempotent => false,
    };
    is_retry_harmless || !may_have_run
}
