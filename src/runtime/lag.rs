//! Overload detection by event-loop lag: everything runs on one thread, so a shortage of CPU time delays all
//! requests.
//!
//! The lag is the delay with which the driver's timers fire. It costs nothing to measure, and a timer is
//! pending whenever a request is in progress.

use crate::interface::Micros;

/// A timer that fires with a delay above this is late. Several turns of the event loop pass between two
/// steps of a request, and all of them have to fit into the time for which a KV cache may be held, which is
/// at least half a second.
pub(super) const LATE_TIMER_THRESHOLD: Micros = 50_000;

/// The thread is overloaded when all timers have been late for longer than this. A single suspension of the
/// process by the operating system may last as long without any shortage of CPU time.
const MIN_OVERLOAD_PERIOD: Micros = 150_000;

/// A late timer is disregarded after this time without another one.
const LATE_TIMER_EXPIRY: Micros = 500_000;

/// A period in which every timer was late.
#[derive(Clone, Copy)]
struct LatePeriod {
    since: Micros,
    until: Micros,
}

/// A change of the overload state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LagChange {
    /// An overload was detected.
    Overloaded {
        /// The time by which the last timer was late.
        lag: Micros,
    },
    /// The overload that was reported last has ended.
    Recovered {
        /// The time from the detection of the overload to that of its end.
        after: Micros,
    },
}

/// Monitors the lag of the event loop.
#[derive(Default)]
pub(super) struct LagMonitor {
    late_period: Option<LatePeriod>,
    /// Start of an overload that was reported and whose end was not.
    overloaded_since: Option<Micros>,
}

impl LagMonitor {
    /// Records a timer that was due at `due` and fires at `now`.
    pub fn record_timer(&mut self, due: Micros, now: Micros) -> Option<LagChange> {
        let lag = now.saturating_sub(due);
        if lag <= LATE_TIMER_THRESHOLD {
            self.late_period = None;
        } else {
            let since = self.current_period(now).map_or(due, |period| period.since);
            self.late_period = Some(LatePeriod { since, until: now });
        }
        match (self.is_overloaded(now), self.overloaded_since) {
            (true, None) => {
                self.overloaded_since = Some(now);
                Some(LagChange::Overloaded { lag })
            }
            (false, Some(since)) => {
                self.overloaded_since = None;
                Some(LagChange::Recovered { after: now - since })
            }
            _ => None,
        }
    }

    /// Whether the thread gets less CPU time than its work needs.
    pub fn is_overloaded(&self, now: Micros) -> bool {
        self.current_period(now)
            .is_some_and(|period| period.until - period.since > LATE_TIMER_THRESHOLD + MIN_OVERLOAD_PERIOD)
    }

    fn current_period(&self, now: Micros) -> Option<LatePeriod> {
        self.late_period.filter(|period| now.saturating_sub(period.until) < LATE_TIMER_EXPIRY)
    }
}

#[cfg(test)]
mod tests;
