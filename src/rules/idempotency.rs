//! What may be repeated, and what may be refused.

use crate::interface::{DeduplicationScope, Idempotency, Micros};

/// An earlier attempt that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When it was sent.
    pub sent: Micros,
    /// Whether its worker and the one in question recognize each other's repeats.
    pub same_scope: bool,
}

/// Until when a request may arrive at a worker again, after attempts that may have had an effect; `None`: never.
pub fn retry_before(
    effect: Idempotency,
    window: Micros,
    earlier: impl Iterator<Item = EarlierAttempt>,
) -> Option<Micros> {
    match effect {
        Idempotency::Idempotent => Some(Micros::MAX),
        Idempotency::NonIdempotent => earlier.count().eq(&0).then_some(Micros::MAX),
        Idempotency::Keyed(_) => {
            let ends = earlier.map(|attempt| attempt.same_scope.then(|| attempt.sent.saturating_add(window)));
            ends.min().unwrap_or(Some(Micros::MAX))
        }
    }
}

/// Whether a refusal's promise would be kept: trying again does no harm.
pub fn is_rejection_harmless(effect: Idempotency, may_have_run: bool) -> bool {
    matches!(effect, Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)) || !may_have_run
}
