//! How far the thread is behind: everything runs on one, so whatever takes too much CPU time delays all.
//!
//! The lag is seen by the driver's own timers, which fire late. It costs nothing to measure, and there is
//! always a timer while a request is in progress.

use crate::interface::Micros;

/// A timer that fires later than this is late.
///
/// Several turns of the thread pass between two steps of a request, and all of them have to fit into the time
/// for which a KV cache may be held: half a second and more.
pub(super) const LATE: Micros = 50_000;

/// The thread is behind when all timers have been late for this long. A process may be held up for as long
/// once, by its machine, without being short of CPU time.
const SUSTAINED: Micros = 150_000;

/// A late timer says nothing any more after this long without another one.
const LAPSE: Micros = 500_000;

/// A period in which all timers were late.
#[derive(Clone, Copy)]
struct LatePeriod {
    since: Micros,
    until: Micros,
}

/// A change that is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LagChange {
    /// The thread has fallen behind.
    FellBehind {
        /// How late the last timer was.
        lag: Micros,
    },
    /// The thread is on time again.
    CaughtUp {
        /// How long it was behind.
        after: Micros,
    },
}

/// Watches the lag of the thread.
#[derive(Default)]
pub(super) struct LagMonitor {
    late: Option<LatePeriod>,
    /// Since when the thread has been behind, if that was reported.
    behind_since: Option<Micros>,
}

impl LagMonitor {
    /// Records that a timer that was due at `due` has fired now.
    pub fn record_timer(&mut self, due: Micros, now: Micros) -> Option<LagChange> {
        let lag = now.saturating_sub(due);
        if lag <= LATE {
            self.late = None;
        } else {
            let since = self.current_period(now).map_or(due, |period| period.since);
            self.late = Some(LatePeriod { since, until: now });
        }
        match (self.is_behind(now), self.behind_since) {
            (true, None) => {
                self.behind_since = Some(now);
                Some(LagChange::FellBehind { lag })
            }
            (false, Some(since)) => {
                self.behind_since = None;
                Some(LagChange::CaughtUp { after: now - since })
            }
            _ => None,
        }
    }

    /// Whether the thread gets too little CPU time for what it has to do.
    pub fn is_behind(&self, now: Micros) -> bool {
        self.current_period(now).is_some_and(|period| period.until - period.since > LATE + SUSTAINED)
    }

    fn current_period(&self, now: Micros) -> Option<LatePeriod> {
        self.late.filter(|period| now.saturating_sub(period.until) < LAPSE)
    }
}

#[cfg(test)]
mod tests;
