//! Checks that workers that drain or are gone get no new calls.

use super::TOLERANCE;
use super::observations::Observations;
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{Record, RouterIndex, WorkerIndex};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The time by which the limit of the settings may be exceeded.
const SLACK: Duration = Duration::from_millis(50);

/// An update about a worker that reached the discovery agent of a router.
struct Update {
    at: Timestamp,
    is_in_service: bool,
}

/// What the discovery agents had learned, and when.
#[derive(Default)]
struct Discovery {
    updates: HashMap<(RouterIndex, WorkerIndex), Vec<Update>>,
    /// The times in which updates may reach a router late. Each has reached it by the end of such a time.
    disturbances: HashMap<RouterIndex, Vec<RangeInclusive<Timestamp>>>,
}

impl Discovery {
    fn new(run: &Observations) -> Self {
        let mut discovery = Discovery::default();
        for entry in &run.entries {
            let at = entry.at;
            match entry.record {
                Record::DiscoveryDisturbed { router, allowance } => {
                    discovery.disturbances.entry(router).or_default().push(at..=at + allowance);
                }
                Record::WorkerWithdrawn { router, worker } => {
                    discovery.add_update(router, worker, Update { at, is_in_service: false });
                }
                Record::WorkerInService { router, worker } => {
                    discovery.add_update(router, worker, Update { at, is_in_service: true });
                }
                _ => {}
            }
        }
        discovery
    }

    fn add_update(&mut self, router: RouterIndex, worker: WorkerIndex, update: Update) {
        self.updates.entry((router, worker)).or_default().push(update);
    }

    /// The time by which a router had to know that a worker is withdrawn, if the worker was withdrawn at `at`.
    fn withdrawal_known(&self, router: RouterIndex, worker: WorkerIndex, at: Timestamp) -> Option<Timestamp> {
        let updates = self.updates.get(&(router, worker))?;
        let earlier = updates.iter().filter(|update| update.at <= at).rev();
        // The first update that withdrew the worker since it was last in service.
        let withdrawn = earlier.take_while(|update| !update.is_in_service).last()?.at;
        let disturbances = self.disturbances.get(&router).map_or(&[][..], Vec::as_slice);
        let late = disturbances.iter().filter(|disturbance| disturbance.contains(&withdrawn));
        Some(late.map(|disturbance| *disturbance.end()).max().unwrap_or(withdrawn))
    }
}

/// Checks every attempt against what its router had to know of its worker.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    let discovery = Discovery::new(run);
    for request in run.requests.values() {
        for attempt in &request.attempts {
            let known = discovery.withdrawal_known(attempt.router, attempt.worker, attempt.started);
            let Some(known) = known else { continue };
            let late_by = attempt.started.since(known);
            if late_by > deployment.drain_grace + SLACK + TOLERANCE {
                let detail = format!(
                    "worker {} was known to be withdrawn for {} ms",
                    attempt.worker,
                    late_by.as_millis()
                );
                findings.add_for(request, Invariant::DrainRespected, attempt.started, attempt.router, detail);
            }
        }
    }
}
