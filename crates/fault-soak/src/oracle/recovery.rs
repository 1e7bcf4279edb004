//! Service is back soon after the last trouble.

use super::view::{Request, View};
use super::{Findings, Invariant};
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::RouterIndex;
use std::collections::BTreeMap;

/// Requests with less time than this may be refused at any time.
const LEAST_PATIENCE: Micros = 1_000 * MILLISECOND;
/// The share that each router has to serve then.
const WANTED: f64 = 0.9;
/// Fewer requests say nothing.
const ENOUGH: usize = 10;

/// Checks each router; the share served over all.
pub fn check(view: &View, watched: (Micros, Micros), findings: &mut Findings<'_>) -> f64 {
    let mut routers: BTreeMap<RouterIndex, (usize, usize)> = BTreeMap::new();
    for request in view.requests.values().filter(|request| counts(request, watched)) {
        let (served, all) = routers.entry(request.router).or_default();
        let is_served = request.end.as_ref().is_some_and(|end| end.is_complete)
            && request.answer.as_ref().is_some_and(|answer| answer.status == 200);
        *served += usize::from(is_served);
        *all += 1;
    }
    for (router, (served, all)) in &routers {
        if *all >= ENOUGH && (*served as f64) < WANTED * *all as f64 {
            let detail = format!("{served} of {all} served after the troubles");
            findings.add(Invariant::Recovery, watched.1, *router, None, detail);
        }
    }
    let (served, all) = routers.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    served as f64 / all.max(1) as f64
}

fn counts(request: &Request, (from, until): (Micros, Micros)) -> bool {
    let Some((sent, first_token_timeout)) = request.sent() else { return false };
    (from..until).contains(&sent) && first_token_timeout >= LEAST_PATIENCE && request.left.is_none()
}
