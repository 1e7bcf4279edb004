//! What may be repeated, and what may be refused.

use crate::interface::{Effect, Group, Micros};

/// An earlier attempt that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// When it was sent.
    pub sent: Micros,
    /// Whether its worker and the one in question recognize each other's repeats.
    pub same_group: bool,
}

/// Until when a request may arrive at a worker again, after attempts that may have had an effect; `None`: never.
pub fn repeat_before(
    effect: Effect,
    window: Micros,
    earlier: impl Iterator<Item = EarlierAttempt>,
) -> Option<Micros> {
    match effect {
        Effect::Safe => Some(Micros::MAX),
        Effect::Unsafe => earlier.count().eq(&0).then_some(Micros::MAX),
        Effect::Keyed(_) => {
            let ends = earlier.map(|attempt| attempt.same_group.then(|| attempt.sent.saturating_add(window)));
            ends.min().unwrap_or(Some(Micros::MAX))
        }
    }
}

/// Whether a refusal's promise would be kept: trying again does no harm.
pub fn is_refusal_harmless(effect: Effect, may_have_run: bool) -> bool {
    matches!(effect, Effect::Safe | Effect::Keyed(Group::All)) || !may_have_run
}
