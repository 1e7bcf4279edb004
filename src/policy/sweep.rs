//! The timer of sweeps, which look after all that time alone changes.

use crate::interface::{Action, Micros, Settings, TimerId};

/// Sweeps within the limit for held KV caches: fine enough that nothing is held near to the limit.
const SWEEPS_PER_HOLD_LIMIT: Micros = 12;

/// Bounds for the time between sweeps: no more than a thousand a second, no fewer than ten.
const MIN_SWEEP_INTERVAL: Micros = 1_000;
const MAX_SWEEP_INTERVAL: Micros = 100_000;

/// The only timer that the policy sets.
#[derive(Default)]
pub(super) struct SweepTimer {
    is_scheduled: bool,
}

impl SweepTimer {
    /// Its number.
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

/// The time between sweeps.
fn sweep_interval(settings: &Settings) -> Micros {
    let least = settings.event_interval.max(MIN_SWEEP_INTERVAL);
    (settings.cache_hold_limit / SWEEPS_PER_HOLD_LIMIT).clamp(least, MAX_SWEEP_INTERVAL)
}

/// How long before a limit something is done about it, so that a sweep comes in time for it.
pub(super) fn sweep_margin(settings: &Settings) -> Micros {
    2 * sweep_interval(settings)
}
