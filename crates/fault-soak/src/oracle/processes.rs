//! Router processes: no crash, ready in time, within their limits, and without complaints of their own.

use super::view::View;
use super::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::Record;

/// A router that starts is ready within this.
const READY_WITHIN: Micros = 10 * SECOND;
const KILOBYTES: u64 = 1024;

/// Checks every process.
pub fn check(view: &View, deployment: &Deployment, findings: &mut Findings<'_>) {
    for (router, lives) in &view.lives {
        for life in lives {
            if let Some((at, false, how)) = &life.ended {
                findings.add(Invariant::NoCrash, *at, *router, None, how.clone());
            }
            let took = life.ready.map(|ready| ready - life.started);
            let ended_early = life.ended.as_ref().is_some_and(|(at, ..)| at - life.started < READY_WITHIN);
            if took.is_none_or(|took| took > READY_WITHIN) && !ended_early {
                let detail = format!("ready after {:?} ms", took.map(|took| took / MILLISECOND));
                findings.add(Invariant::ReadyInTime, life.started, *router, None, detail);
            }
        }
    }
    for entry in &view.entries {
        match &entry.record {
            Record::RouterErrorLogged { router, line } => {
                findings.add(Invariant::CleanLog, entry.at, *router, None, line.clone());
            }
            Record::RouterResources { router, memory_kb, descriptors } => {
                let is_within = *memory_kb <= deployment.memory_mb as u64 * KILOBYTES
                    && *descriptors <= deployment.sockets;
                if !is_within {
                    let detail = format!("{memory_kb} KB, {descriptors} descriptors");
                    findings.add(Invariant::ResourceLimits, entry.at, *router, None, detail);
                }
            }
            _ => {}
        }
    }
}
