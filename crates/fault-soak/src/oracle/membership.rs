//! Workers that drain or are gone get nothing new.

use super::view::View;
use super::{Findings, Invariant, TOLERANCE};
use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{Record, RouterIndex, WorkerIndex};
use std::collections::HashMap;

/// Every time limit is longer by this.
const SLACK: Micros = 50 * MILLISECOND;

/// A time in which a router hears of changes late: from when, and until when at the latest it is told.
type Excuse = (Micros, Micros);

/// Checks every attempt against what its router had been told of its worker.
pub fn check(view: &View, deployment: &Deployment, findings: &mut Findings<'_>) {
    let mut excuses: HashMap<RouterIndex, Vec<Excuse>> = HashMap::new();
    let mut news: HashMap<(RouterIndex, WorkerIndex), Vec<(Micros, bool)>> = HashMap::new();
    for entry in &view.entries {
        match entry.record {
            Record::DiscoveryDisturbed { router, allowance } => {
                excuses.entry(router).or_default().push((entry.at, entry.at + allowance));
            }
            Record::WorkerWithdrawn { router, worker } => {
                news.entry((router, worker)).or_default().push((entry.at, false))
            }
            Record::WorkerInService { router, worker } => {
                news.entry((router, worker)).or_default().push((entry.at, true))
            }
            _ => {}
        }
    }
    for request in view.requests.values() {
        for attempt in &request.attempts {
            let Some(news) = news.get(&(attempt.router, attempt.worker)) else { continue };
            let excuses = excuses.get(&attempt.router).map_or(&[][..], Vec::as_slice);
            let Some(told) = told_of_withdrawal(news, excuses, attempt.begun) else { continue };
            let late_by = attempt.begun.saturating_sub(told);
            if late_by > deployment.drain_grace + SLACK + TOLERANCE {
                let detail =
                    format!("worker {} was withdrawn {} ms before", attempt.worker, late_by / MILLISECOND);
                let name = Some(&request.name);
                findings.add(Invariant::DrainRespected, attempt.begun, attempt.router, name, detail);
            }
        }
    }
}

/// When a router counts as told that a worker wants nothing new, if that is its last news before a moment.
fn told_of_withdrawal(news: &[(Micros, bool)], excuses: &[Excuse], before: Micros) -> Option<Micros> {
    let known: Vec<&(Micros, bool)> = news.iter().filter(|(at, _)| *at <= before).collect();
    if known.last().is_none_or(|(_, is_ready)| *is_ready) {
        return None;
    }
    // The first word of its withdrawal since it was last in service.
    let since = known.iter().rev().take_while(|(_, is_ready)| !is_ready).last().map(|(at, _)| *at)?;
    let allowance = excuses.iter().filter(|(from, until)| *from <= since && since <= *until);
    Some(allowance.map(|(_, until)| *until).max().unwrap_or(since).max(since))
}
