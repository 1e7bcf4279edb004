//! The oracle, which checks the history of a run against the router's invariants.
//!
//! [`Observations`] groups the records by request, router process and worker. Each of the other modules
//! checks one group of invariants.

mod attempts;
mod membership;
mod misbehaving_clients;
mod observations;
mod processes;
mod recovery;
mod reservations;
mod responses;
mod slow_start;
mod verdict;

pub use observations::Observations;
pub use verdict::{Invariant, RequestOutcome, StreamDelays, Summary, Verdict, Violation};

use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use std::ops::Range;
use std::time::Duration;
use verdict::Findings;

/// The tolerance for delays between an event and its observation by the emulated fleet in normal operation.
const OBSERVATION_TOLERANCE: Duration = Duration::from_millis(20);

/// Checks the history of a run. The success rate has to be back to normal in `observation_window`, which
/// follows the recovery period.
pub fn judge(entries: &[Entry], deployment: &Deployment, observation_window: Range<Timestamp>) -> Verdict {
    let run = Observations::new(entries);
    let mut findings = Findings::new(&run);
    responses::check(&run, &mut findings);
    attempts::check(&run, deployment, &mut findings);
    reservations::check(&run, deployment, &mut findings);
    membership::check(&run, deployment, &mut findings);
    slow_start::check(&run, deployment, &mut findings);
    misbehaving_clients::check(&run, &mut findings);
    processes::check(&run, deployment, &mut findings);
    let recovered_share = recovery::check(&run, deployment, &observation_window, &mut findings);
    let summary = Summary {
        outcomes: responses::count_outcomes(&run),
        recovered_share,
        stream_delays: responses::count_delayed_streams(&run),
    };
    Verdict { violations: findings.into_violations(), summary }
}
