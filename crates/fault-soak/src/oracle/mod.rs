//! The oracle: it checks the history of a run against the router's invariants.
//!
//! [`Observations`] groups the records by request, router process and worker. Each module beside it checks the
//! invariants of one subject.

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

/// The time by which the stand-ins may observe something late in the ordinary course of a run.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Judges a run. `observed` is the time after the recovery in which service has to be back to normal.
pub fn judge(entries: &[Entry], deployment: &Deployment, observed: Range<Timestamp>) -> Verdict {
    let run = Observations::new(entries);
    let mut findings = Findings::new(&run);
    responses::check(&run, &mut findings);
    attempts::check(&run, deployment, &mut findings);
    reservations::check(&run, deployment, &mut findings);
    membership::check(&run, deployment, &mut findings);
    slow_start::check(&run, deployment, &mut findings);
    misbehaving_clients::check(&run, &mut findings);
    processes::check(&run, deployment, &mut findings);
    let recovered_share = recovery::check(&run, deployment, &observed, &mut findings);
    let summary = Summary {
        outcomes: responses::outcomes(&run),
        recovered_share,
        stream_delays: responses::stream_delays(&run),
    };
    Verdict { violations: findings.into_violations(), summary }
}
