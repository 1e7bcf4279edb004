//! Checks that workers that are draining or gone get no new calls.

use super::OBSERVATION_TOLERANCE;
use super::observations::Observations;
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{Record, RouterIndex, WorkerIndex};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The time by which the start of an attempt may exceed the configured grace period.
const DRAIN_SLACK: Duration = Duration::from_millis(50);

/// An endpoint update about a worker, as received by the discovery agent of a router.
struct Update {
    at: Timestamp,
    is_in_service: bool,
}

/// The endpoint updates that all discovery agents received, and the disruptions of the agents.
#[derive(Default)]
struct DiscoveryHistory {
    /// The updates about each worker, in the order in which the agent of a router received them.
    updates: HashMap<(RouterIndex, WorkerIndex), Vec<Update>>,
    /// The periods in which updates may reach a router late. The router has to know of an update in such a
    /// period by the end of the period.
    disruptions: HashMap<RouterIndex, Vec<RangeInclusive<Timestamp>>>,
}

impl DiscoveryHistory {
    fn new(run: &Observations) -> Self {
        let mut discovery = DiscoveryHistory::default();
        for entry in &run.entries {
            let at = entry.at;
            match entry.record {
                Record::DiscoveryDisrupted { router, allowance } => {
                    discovery.disruptions.entry(router).or_default().push(at..=at + allowance);
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

    /// The time by which a router had to know that a worker was withdrawn, if the worker was withdrawn at
    /// `at`.
    fn withdrawal_known_by(
        &self,
        router: RouterIndex,
        worker: WorkerIndex,
        at: Timestamp,
    ) -> Option<Timestamp> {
        let updates = self.updates.get(&(router, worker))?;
        let latest_first = updates.iter().filter(|update| update.at <= at).rev();
        // The first update that withdrew the worker since it was last in service.
        let withdrawn = latest_first.take_while(|update| !update.is_in_service).last()?.at;
        let disruptions = self.disruptions.get(&router).map_or(&[][..], Vec::as_slice);
        let overlapping = disruptions.iter().filter(|disruption| disruption.contains(&withdrawn));
        Some(overlapping.map(|disruption| *disruption.end()).max().unwrap_or(withdrawn))
    }
}

/// Checks every attempt against the time by which its router had to know that the worker was withdrawn.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    let discovery = DiscoveryHistory::new(run);
    for request in run.requests.values() {
        for attempt in &request.attempts {
            let known_by = discovery.withdrawal_known_by(attempt.router, attempt.worker, attempt.started);
            let Some(known_by) = known_by else { continue };
            let late_by = attempt.started.since(known_by);
            if late_by > deployment.drain_grace + DRAIN_SLACK + OBSERVATION_TOLERANCE {
                let detail = format!(
                    "attempt at worker {} {} ms after its withdrawal was known, limit {} ms",
                    attempt.worker,
                    late_by.as_millis(),
                    deployment.drain_grace.as_millis()
                );
                findings.add_for(request, Invariant::DrainRespected, attempt.started, attempt.router, detail);
            }
        }
    }
}
