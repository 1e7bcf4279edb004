//! The plan of a run: its faults, their targets and their times. It is a function of the seed, so the draws
//! from the random generator and their order must not change: a seed has to give the same plan in every
//! version.

use super::Fault;
use super::clients::ClientFault;
use super::discovery::{DiscoveryFault, DiscoveryFaultKind};
use super::links::{LinkDegradation, LinkFault, LinkFaultKind};
use super::routers::{RouterFault, RouterFaultKind, SYSTEM_CALL_FAULT_SETS};
use super::workers::{WorkerFault, WorkerFaultKind, WorkerMisbehaviour};
use fault_plan::SystemCallFault;
use fleet_emulator::clock::whole_micros;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::ops::Range;
use std::time::Duration;

/// The fault-free time at the start of a run, in which the fleet reaches its steady state.
pub const WARM_UP_TIME: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);
/// The maximum number of faults that overlap.
const MAX_CONCURRENT_FAULTS: usize = 3;
/// The upper bound on the share of routers that one fault affects.
const MAX_ROUTER_SHARE: f64 = 0.7;
/// The upper bound on the share of workers that one fault affects.
const MAX_WORKER_SHARE: f64 = 0.4;
/// The possible steps of the wall clock, in seconds.
const WALL_CLOCK_STEPS_SECONDS: [i64; 4] = [-3_600, -5, 5, 3_600];

/// A fault and its schedule, relative to the start of the load.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When the fault is injected.
    pub from: Duration,
    /// When the fault is reverted, or later by the time that its injection takes.
    pub until: Duration,
    /// The fault and its targets.
    pub fault: Fault,
}

/// Draws the faults of a run. At nearly every moment up to `end`, two or three of them overlap.
pub fn draw_plan(random: &mut StdRng, routers: usize, workers: usize, end: Duration) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    for _ in 0..MAX_CONCURRENT_FAULTS {
        let mut from = WARM_UP_TIME + draw_duration(random, Duration::ZERO..SECOND);
        while from + SECOND < end {
            let until = (from + draw_duration(random, SECOND..4 * SECOND)).min(end);
            plan.push(PlannedFault { from, until, fault: draw_fault(random, routers, workers) });
            from = until + draw_duration(random, Duration::ZERO..SECOND);
        }
    }
    plan.sort_by_key(|planned| planned.from);
    plan
}

/// Draws a fault and its targets in a fleet of the given size. A fault with two numbers is drawn twice as
/// often.
fn draw_fault(random: &mut StdRng, router_count: usize, worker_count: usize) -> Fault {
    let routers = draw_subset(random, router_count, MAX_ROUTER_SHARE);
    let workers = draw_subset(random, worker_count, MAX_WORKER_SHARE);
    match random.random_range(0..27) {
        0 | 1 => router_fault(routers, RouterFaultKind::Restart),
        2 => router_fault(routers, RouterFaultKind::Kill),
        3 => router_fault(routers, RouterFaultKind::Suspend),
        4 | 5 => discovery_fault(routers, DiscoveryFaultKind::Move),
        6 => router_fault(routers, RouterFaultKind::TruncateConfiguration),
        7 => discovery_fault(routers, DiscoveryFaultKind::Outage),
        8 => discovery_fault(routers, DiscoveryFaultKind::StallWatches),
        9 => discovery_fault(routers, DiscoveryFaultKind::ResetWatches),
        10 => discovery_fault(routers, DiscoveryFaultKind::Delay),
        11 => worker_fault(workers, WorkerFaultKind::Crash),
        12 | 13 => worker_fault(workers, WorkerFaultKind::Replace),
        14 => worker_fault(workers, WorkerFaultKind::Freeze),
        15 | 16 => {
            let misbehaviour = WorkerMisbehaviour::ALL.choose(random).copied();
            let misbehaviour = misbehaviour.unwrap_or(WorkerMisbehaviour::Errors);
            worker_fault(workers, WorkerFaultKind::Misbehave(misbehaviour))
        }
        17 => {
            let kind = LinkFaultKind::Partition { routers: draw_subset(random, router_count, 1.0) };
            Fault::Link(LinkFault { workers, kind })
        }
        18 | 19 => {
            let degradation = LinkDegradation::ALL.choose(random).copied();
            let kind = LinkFaultKind::Degrade(degradation.unwrap_or(LinkDegradation::Resets));
            Fault::Link(LinkFault { workers, kind })
        }
        20 => {
            let seconds = WALL_CLOCK_STEPS_SECONDS.choose(random).copied().unwrap_or(3_600);
            router_fault(routers, RouterFaultKind::StepWallClock { seconds })
        }
        21 | 22 => router_fault(routers, draw_system_call_failure(random)),
        23 => router_fault(routers, RouterFaultKind::StopReadingLog),
        24 => Fault::Client(ClientFault::Misbehaving { routers }),
        25 => Fault::Client(ClientFault::IdleConnections { routers }),
        _ => Fault::Client(draw_load_fault(random)),
    }
}

fn router_fault(routers: Vec<usize>, kind: RouterFaultKind) -> Fault {
    Fault::Router(RouterFault { routers, kind })
}

fn discovery_fault(routers: Vec<usize>, kind: DiscoveryFaultKind) -> Fault {
    Fault::Discovery(DiscoveryFault { routers, kind })
}

fn worker_fault(workers: Vec<usize>, kind: WorkerFaultKind) -> Fault {
    Fault::Worker(WorkerFault { workers, kind })
}

fn draw_system_call_failure(random: &mut StdRng) -> RouterFaultKind {
    let faults = SYSTEM_CALL_FAULT_SETS.choose(random).copied();
    let faults = faults.unwrap_or(&[SystemCallFault::AcceptAborted]);
    RouterFaultKind::FailSystemCalls { faults: faults.to_vec(), probability: random.random_range(0.02..0.5) }
}

fn draw_load_fault(random: &mut StdRng) -> ClientFault {
    match random.random_range(0..3) {
        0 => ClientFault::Impatient,
        1 => ClientFault::SlowWriting,
        _ => ClientFault::Burst { rate_multiplier: random.random_range(1.5..3.0) },
    }
}

/// Draws a duration in whole microseconds.
fn draw_duration(random: &mut StdRng, range: Range<Duration>) -> Duration {
    Duration::from_micros(random.random_range(whole_micros(range.start)..whole_micros(range.end)))
}

/// Draws a subset of the indices below `count`, in ascending order: at least one, and less than `max_share`
/// of them.
fn draw_subset(random: &mut StdRng, count: usize, max_share: f64) -> Vec<usize> {
    let share = random.random_range(0.1..max_share);
    let size = ((count as f64 * share) as usize).max(1);
    let mut subset = (0..count).choose_multiple(random, size);
    subset.sort_unstable();
    subset
}
