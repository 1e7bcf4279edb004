//! Checks the exits, readiness, resource usage and logs of router processes.

use super::observations::{Incarnation, Observations};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::record::{Record, RouterIndex};
use std::time::Duration;

/// The time within which a router process has to become ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(10);
const KILOBYTES_PER_MEGABYTE: u64 = 1024;

/// Checks every process.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    for (router, incarnations) in &run.incarnations {
        for incarnation in incarnations {
            check_incarnation(findings, *router, incarnation);
        }
    }
    for entry in &run.entries {
        match &entry.record {
            Record::RouterErrorLogged { router, line } => {
                findings.add(Invariant::CleanLog, entry.at, *router, line.clone());
            }
            Record::RouterResources { router, memory_kb, descriptors } => {
                let max_memory_kb = deployment.max_memory_mb as u64 * KILOBYTES_PER_MEGABYTE;
                let max_descriptors = deployment.max_descriptors;
                if *memory_kb > max_memory_kb || *descriptors > max_descriptors {
                    let detail = format!(
                        "{memory_kb} KB of memory, limit {max_memory_kb} KB; \
                         {descriptors} file descriptors, limit {max_descriptors}"
                    );
                    findings.add(Invariant::ResourceLimits, entry.at, *router, detail);
                }
            }
            _ => {}
        }
    }
}

fn check_incarnation(findings: &mut Findings<'_>, router: RouterIndex, incarnation: &Incarnation) {
    let started = incarnation.started;
    if let Some(exit) = incarnation.exit.as_ref().filter(|exit| !exit.was_expected) {
        let detail =
            format!("exited without a signal to do so, or unsuccessfully after SIGTERM: {}", exit.status);
        findings.add(Invariant::NoCrash, exit.at, router, detail);
    }
    let time_to_ready = incarnation.ready.map(|ready| ready.since(started));
    let is_late = time_to_ready.is_none_or(|time| time > READINESS_TIMEOUT);
    let exited_early =
        incarnation.exit.as_ref().is_some_and(|exit| exit.at.since(started) < READINESS_TIMEOUT);
    if is_late && !exited_early {
        let limit = READINESS_TIMEOUT.as_millis();
        let detail = match time_to_ready {
            Some(time) => format!("ready after {} ms, limit {limit} ms", time.as_millis()),
            None => format!("never became ready, limit {limit} ms"),
        };
        findings.add(Invariant::ReadyInTime, started, router, detail);
    }
}
