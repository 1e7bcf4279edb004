//! Cold workers get no more from all routers together than they can take.

use super::view::View;
use super::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::{CallKind, Record, Role, WorkerIndex};
use std::collections::HashMap;

/// Warm workers are taken to be able to do so many times what they are sent.
const HEADROOM: f64 = 1.5;

/// A cold worker's start, and the calls that came to it since.
struct ColdStart {
    worker: WorkerIndex,
    role: Role,
    at: Micros,
}

/// Checks every cold start.
pub fn check(view: &View, deployment: &Deployment, findings: &mut Findings<'_>) {
    let mut starts = Vec::new();
    let mut calls: HashMap<WorkerIndex, Vec<Micros>> = HashMap::new();
    for entry in &view.entries {
        match entry.record {
            Record::WorkerStarted { worker, role, is_cold: true, .. } => {
                starts.push(ColdStart { worker, role, at: entry.at });
            }
            Record::CallReceived { call: CallKind::Attempt, worker, .. } => {
                calls.entry(worker).or_default().push(entry.at);
            }
            _ => {}
        }
    }
    for start in starts {
        let capacity = HEADROOM * mean_rate(view, &calls, start.role);
        let empty = Vec::new();
        let arrivals = calls.get(&start.worker).unwrap_or(&empty);
        check_start(deployment, findings, &start, arrivals, capacity);
    }
}

/// Calls a second at a worker of this role, in the mean.
fn mean_rate(view: &View, calls: &HashMap<WorkerIndex, Vec<Micros>>, role: Role) -> f64 {
    let of_role = |worker: &&WorkerIndex| view.workers.get(worker).is_some_and(|facts| facts.role == role);
    let all: Vec<&Vec<Micros>> =
        calls.keys().filter(of_role).filter_map(|worker| calls.get(worker)).collect();
    let rate = |times: &Vec<Micros>| {
        let span = times.last().zip(times.first()).map_or(0, |(last, first)| last - first);
        times.len() as f64 / (span.max(SECOND) as f64 / SECOND as f64)
    };
    all.iter().map(|times| rate(times)).sum::<f64>() / all.len().max(1) as f64
}

fn check_start(
    deployment: &Deployment,
    findings: &mut Findings<'_>,
    start: &ColdStart,
    arrivals: &[Micros],
    capacity: f64,
) {
    let warm_at = start.at + deployment.warm_after;
    let cold: Vec<Micros> = arrivals.iter().copied().filter(|at| (start.at..warm_at).contains(at)).collect();
    for (first, from) in cold.iter().enumerate() {
        let until = from + deployment.fall_window;
        let count = cold[first..].iter().take_while(|at| **at <= until).count();
        let age = (until.min(warm_at) - start.at) as f64 / deployment.warm_after as f64;
        let warmth = deployment.cold_from + (1.0 - deployment.cold_from) * age;
        let window = deployment.fall_window as f64 / SECOND as f64;
        let budget = deployment.fall_multiple * capacity * warmth * window;
        let slack = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        if count as f64 > budget + slack {
            let detail = format!(
                "cold worker {} got {count} calls in a window from {} ms after its start, budget {budget:.1} + {slack:.1}",
                start.worker,
                (from - start.at) / MILLISECOND
            );
            findings.add(Invariant::SlowStart, until, 0, None, detail);
            return;
        }
    }
}
