//! Checks that a cold worker gets no more calls, from all routers together, than it can serve.

use super::observations::Observations;
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{CallKind, Record, Role, RouterIndex, WorkerIndex};
use std::collections::HashMap;
use std::time::Duration;

/// The router that violations name, although all routers together are responsible for them.
const REPORTED_ROUTER: RouterIndex = 0;

/// The assumed ratio between the capacity of a warm worker and its mean call rate.
const CAPACITY_HEADROOM: f64 = 1.5;

/// The shortest period over which a call rate is computed.
const MIN_RATE_PERIOD: Duration = Duration::from_secs(1);

/// Budgets below this number of calls get a larger sampling slack.
const SMALL_BUDGET_CALLS: f64 = 30.0;

/// The arrival times of the calls at each worker.
type Arrivals = HashMap<WorkerIndex, Vec<Timestamp>>;

/// The start of a cold worker.
struct ColdStart {
    worker: WorkerIndex,
    role: Role,
    at: Timestamp,
}

/// Checks every cold start.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    let mut starts = Vec::new();
    let mut arrivals = Arrivals::new();
    for entry in &run.entries {
        match entry.record {
            Record::WorkerStarted { worker, role, is_cold: true, .. } => {
                starts.push(ColdStart { worker, role, at: entry.at });
            }
            Record::CallReceived { call: CallKind::Attempt, worker, .. } => {
                arrivals.entry(worker).or_default().push(entry.at);
            }
            _ => {}
        }
    }
    for start in starts {
        let capacity = CAPACITY_HEADROOM * mean_rate(run, &arrivals, start.role);
        let arrivals = arrivals.get(&start.worker).map_or(&[][..], Vec::as_slice);
        check_start(deployment, findings, &start, arrivals, capacity);
    }
}

/// The mean call rate of the workers of a role, in calls per second.
fn mean_rate(run: &Observations, arrivals: &Arrivals, role: Role) -> f64 {
    let has_role = |worker: &WorkerIndex| run.workers.get(worker).is_some_and(|worker| worker.role == role);
    let of_role: Vec<&Vec<Timestamp>> =
        arrivals.iter().filter(|(worker, _)| has_role(worker)).map(|(_, times)| times).collect();
    let rate = |times: &Vec<Timestamp>| {
        let period =
            times.last().zip(times.first()).map_or(Duration::ZERO, |(last, first)| last.since(*first));
        times.len() as f64 / period.max(MIN_RATE_PERIOD).as_secs_f64()
    };
    of_role.iter().map(|times| rate(times)).sum::<f64>() / of_role.len().max(1) as f64
}

/// Checks each window that begins with a call to the cold worker, and reports the first one with too many
/// calls.
fn check_start(
    deployment: &Deployment,
    findings: &mut Findings<'_>,
    start: &ColdStart,
    arrivals: &[Timestamp],
    capacity: f64,
) {
    let warm_at = start.at + deployment.slow_start_duration;
    let cold: Vec<Timestamp> =
        arrivals.iter().copied().filter(|at| (start.at..warm_at).contains(at)).collect();
    for (first, from) in cold.iter().enumerate() {
        let until = *from + deployment.overload_window;
        let count = cold[first..].iter().take_while(|at| **at <= until).count();
        let budget = budget(deployment, until.min(warm_at).since(start.at), capacity);
        let slack = sampling_slack(budget);
        if count as f64 > budget + slack {
            let detail = format!(
                "cold worker {} got {count} calls in a window from {} ms after its start; \
                 budget {budget:.1} + {slack:.1}",
                start.worker,
                from.since(start.at).as_millis()
            );
            findings.add(Invariant::SlowStart, until, REPORTED_ROUTER, detail);
            return;
        }
    }
}

/// The number of calls that a worker can get within the overload window without being overloaded. `age` is
/// the time since its start, and `capacity` its call rate when warm.
fn budget(deployment: &Deployment, age: Duration, capacity: f64) -> f64 {
    let warm_up_progress = age.div_duration_f64(deployment.slow_start_duration);
    let warm_fraction = deployment.slow_start_floor + (1.0 - deployment.slow_start_floor) * warm_up_progress;
    let window = deployment.overload_window.as_secs_f64();
    deployment.overload_multiple * capacity * warm_fraction * window
}

/// The excess over the budget that random arrivals explain: two standard deviations of a Poisson
/// distribution, and three if the budget is below [`SMALL_BUDGET_CALLS`], plus as many calls.
fn sampling_slack(budget: f64) -> f64 {
    if budget < SMALL_BUDGET_CALLS { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 }
}
