//! The timer of the periodic sweep, which handles deadlines, limits and expiry.

use crate::interface::{Action, Micros, Settings, TimerId};

/// Sweeps per hold limit of KV caches: enough to release every cache well before the limit.
const SWEEPS_PER_HOLD_LIMIT: Micros = 12;

/// Lower bound of the time between sweeps: at most 1,000 sweeps per second.
const MIN_SWEEP_INTERVAL: Micros = 1_000;
/// Upper bound of the time between sweeps: at least 10 sweeps per second.
const MAX_SWEEP_INTERVAL: Micros = 100_000;

/// The timer of the periodic sweep, the only one that the policy sets.
#[derive(Default)]
pub(super) struct SweepTimer {
    is_scheduled: bool,
}

impl SweepTimer {
    /// Identifies the sweep timer in [`Action::SetTimer`] and in the event that it fires.
    pub const ID: TimerId = TimerId(1);

    /// Schedules the next sweep, unless one is scheduled already.
    pub fn schedule(&mut self, now: Micros, settings: &Settings) -> Option<Action> {
        let was_scheduled = std::mem::replace(&mut self.is_scheduled, true);
        let at = now + sweep_interval(settings);
        (!was_scheduled).then_some(Action::SetTimer { at, timer: Self::ID })
    }

    /// Records that the timer has fired.
    pub fn fired(&mut self) {
        self.is_scheduled = false;
    }
}

fn sweep_interval(settings: &Settings) -> Micros {
    let min_interval = settings.event_interval.max(MIN_SWEEP_INTERVAL);
    (settings.cache_hold_limit / SWEEPS_PER_HOLD_LIMIT).clamp(min_interval, MAX_SWEEP_INTERVAL)
}

/// How long before a limit to act on it: two sweep intervals, so that a sweep runs before the limit.
pub(super) fn sweep_margin(settings: &Settings) -> Micros {
    2 * sweep_interval(settings)
}
