//! One run: it starts a world of stand-ins and router processes, injects the planned faults and observes the recovery.

use crate::deployment::Deployment;
use crate::error::SoakError;
use crate::faults::flood_with_idle_connections;
use crate::faults::plan::{PlannedFault, draw_plan};
use crate::router::{Programs, Router};
use crate::scenario::Scenario;
use crate::world::World;
use fleet_emulator::clock::{self, Timestamp};
use fleet_emulator::record::{Record, RouterSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The time that the fleet has to recover after the last fault.
pub const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The time for which the recovered fleet is observed.
pub const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// By this time after the last request, every response has arrived or its client has given up on it.
const SETTLE_TIME: Duration = Duration::from_millis(8_500);
/// The interval at which the resources of router processes are sampled.
const RESOURCE_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval of the timer by which the harness measures its own delay.
const DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// The shortest delay of the harness that is recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(30);
/// The time that routers have for their graceful shutdown at the end of a run.
const FINAL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(4);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the deployment and of the faults.
    pub seed: u64,
    /// The number of router processes.
    pub router_count: usize,
    /// The time during which faults are injected.
    pub fault_period: Duration,
    /// Whether to inject no fault at all.
    pub is_fault_free: bool,
    /// If not empty: inject only faults whose names contain one of these texts.
    pub only: Vec<String>,
    /// The programs under test.
    pub programs: Programs,
    /// A folder for the files of the routers.
    pub folder: PathBuf,
}

/// A run that has ended.
pub struct FinishedRun {
    /// The seed of the run.
    pub seed: u64,
    /// The world, with its history and the logs of the routers.
    pub world: Arc<World>,
    /// The faults that were injected.
    pub plan: Vec<PlannedFault>,
    /// The time during which the recovered fleet was observed.
    pub observed: Range<Timestamp>,
}

/// Carries out a run from its seed to its end.
///
/// # Errors
/// The fleet or a router can't be started.
pub async fn run(options: &Options) -> Result<FinishedRun, SoakError> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let deployment = Deployment::draw(&mut random, options.router_count, Scenario::of_seed(options.seed));
    let world = World::start(options.seed, deployment, &options.programs, &options.folder).await?;
    for router in 0..options.router_count {
        world.start_router(router).await?;
    }
    let monitors =
        [tokio::spawn(sample_resources(world.clone())), tokio::spawn(measure_delay(world.clone()))];
    for router in 0..options.router_count {
        tokio::spawn(world.load.clone().run(router));
        if deployment.scenario.has_idle_connection_flood {
            tokio::spawn(flood_with_idle_connections(world.clone(), router));
        }
    }
    let plan = plan_faults(options, &deployment, &mut random);
    let start = clock::now();
    schedule(&world, &plan, start);
    let observed_from = start + options.fault_period + RECOVERY_TIME;
    let observed = observed_from..observed_from + OBSERVATION_TIME;
    clock::sleep_until(observed.end).await;
    world.load.finish();
    tokio::time::sleep(SETTLE_TIME).await;
    shut_down_routers(&world).await;
    for monitor in monitors {
        monitor.abort();
    }
    Ok(FinishedRun { seed: options.seed, world, plan, observed })
}

/// Draws all faults of the seed and selects those that the options ask for, so that a selection does not change when
/// and where the selected faults strike.
fn plan_faults(options: &Options, deployment: &Deployment, random: &mut StdRng) -> Vec<PlannedFault> {
    let workers = deployment.prefill_workers + deployment.decode_workers;
    let mut plan = draw_plan(random, options.router_count, workers, options.fault_period);
    plan.retain(|planned| {
        let is_selected =
            options.only.is_empty() || options.only.iter().any(|text| planned.fault.name_contains(text));
        is_selected && !options.is_fault_free
    });
    plan
}

/// Starts a task for each planned fault that waits for its time.
fn schedule(world: &Arc<World>, plan: &[PlannedFault], start: Timestamp) {
    for planned in plan.iter().cloned() {
        let world = world.clone();
        tokio::spawn(async move {
            clock::sleep_until(start + planned.from).await;
            let duration = planned.until - planned.from;
            planned.fault.run(&world, duration).await;
        });
    }
}

async fn shut_down_routers(world: &World) {
    for router in &world.routers {
        router.signal(RouterSignal::Terminate);
    }
    for router in &world.routers {
        if !router.exits_within(FINAL_SHUTDOWN_TIMEOUT).await {
            router.signal(RouterSignal::Kill);
        }
    }
}

async fn sample_resources(world: Arc<World>) {
    loop {
        world.routers.iter().for_each(Router::record_resources);
        tokio::time::sleep(RESOURCE_SAMPLE_INTERVAL).await;
    }
}

/// Records when the timers of the harness fire late, since everything it observes is then late as well.
async fn measure_delay(world: Arc<World>) {
    loop {
        let due = clock::now() + DELAY_PROBE_INTERVAL;
        tokio::time::sleep(DELAY_PROBE_INTERVAL).await;
        let by = clock::now().since(due);
        if by > MIN_RECORDED_DELAY {
            world.history().add(Record::HarnessDelayed { by });
        }
    }
}
