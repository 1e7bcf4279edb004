//! A run of the fault soak: it starts the emulated fleet and the router processes, injects the planned
//! faults and observes the recovery.

use crate::deployment::Deployment;
use crate::error::SoakError;
use crate::faults::flood_with_idle_connections;
use crate::faults::plan::{PlannedFault, draw_plan};
use crate::router::{Programs, Router};
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use fleet_emulator::clock::{self, Timestamp};
use fleet_emulator::record::{Record, RouterSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The time from the end of the fault period until the success rate has to be back to normal.
pub const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The length of the observation window after the recovery period.
pub const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// The time after the last request by which every client has received its response or timed out.
const SETTLE_TIME: Duration = Duration::from_millis(8_500);
/// The interval at which the resource usage of router processes is sampled.
const RESOURCE_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval of the timer by which the test harness measures its own delay.
const DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Shorter delays of the test harness are not recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(30);
/// The timeout for the graceful shutdown of the routers at the end of a run.
const FINAL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(4);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the deployment and of the faults.
    pub seed: u64,
    /// The number of router processes.
    pub router_count: usize,
    /// The duration of the period in which faults are injected.
    pub fault_period: Duration,
    /// Whether to inject no faults.
    pub is_fault_free: bool,
    /// If not empty, only faults whose names contain one of these texts are injected.
    pub only: Vec<String>,
    /// The router program and the fault shim.
    pub programs: Programs,
    /// The directory for the configuration and control files of the routers.
    pub directory: PathBuf,
}

/// The results of a run.
pub struct FinishedRun {
    /// The seed of the run.
    pub seed: u64,
    /// The testbed, with its history and the logs of the routers.
    pub testbed: Arc<Testbed>,
    /// The faults that were injected, in the order of their start.
    pub plan: Vec<PlannedFault>,
    /// The period in which the success rate has to be back to normal.
    pub observation_window: Range<Timestamp>,
}

/// Starts the fleet, injects the faults, observes the recovery and shuts the routers down.
///
/// # Errors
/// Returns an error if the fleet or a router can't be started.
pub async fn run(options: &Options) -> Result<FinishedRun, SoakError> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let deployment = Deployment::draw(&mut random, options.router_count, Scenario::from_seed(options.seed));
    let testbed = Testbed::start(options.seed, deployment, &options.programs, &options.directory).await?;
    for router in 0..options.router_count {
        testbed.start_router(router).await?;
    }
    let monitors = [
        tokio::spawn(sample_resources(testbed.clone())),
        tokio::spawn(measure_harness_delay(testbed.clone())),
    ];
    for router in 0..options.router_count {
        tokio::spawn(testbed.load.clone().run(router));
        if deployment.scenario.has_idle_connection_flood {
            tokio::spawn(flood_with_idle_connections(testbed.clone(), router));
        }
    }
    let plan = plan_faults(options, &deployment, &mut random);
    let start = clock::now();
    schedule_faults(&testbed, &plan, start);
    let observed_from = start + options.fault_period + RECOVERY_TIME;
    let observation_window = observed_from..observed_from + OBSERVATION_TIME;
    clock::sleep_until(observation_window.end).await;
    testbed.load.finish();
    tokio::time::sleep(SETTLE_TIME).await;
    shut_down_routers(&testbed).await;
    for monitor in monitors {
        monitor.abort();
    }
    Ok(FinishedRun { seed: options.seed, testbed, plan, observation_window })
}

/// Draws all faults of the seed before it applies the filters of the options, so that a filter does not
/// change the times and targets of the remaining faults.
fn plan_faults(options: &Options, deployment: &Deployment, random: &mut StdRng) -> Vec<PlannedFault> {
    let workers = deployment.prefill_worker_count + deployment.decode_worker_count;
    let mut plan = draw_plan(random, options.router_count, workers, options.fault_period);
    plan.retain(|planned| {
        let is_selected =
            options.only.is_empty() || options.only.iter().any(|text| planned.fault.name_contains(text));
        is_selected && !options.is_fault_free
    });
    plan
}

/// Spawns a task for each planned fault, which injects the fault at its time.
fn schedule_faults(testbed: &Arc<Testbed>, plan: &[PlannedFault], start: Timestamp) {
    for planned in plan.iter().cloned() {
        let testbed = testbed.clone();
        tokio::spawn(async move {
            clock::sleep_until(start + planned.from).await;
            let duration = planned.until - planned.from;
            planned.fault.run(&testbed, duration).await;
        });
    }
}

async fn shut_down_routers(testbed: &Testbed) {
    for router in &testbed.routers {
        router.signal(RouterSignal::Terminate);
    }
    for router in &testbed.routers {
        if !router.exits_within(FINAL_SHUTDOWN_TIMEOUT).await {
            router.signal(RouterSignal::Kill);
        }
    }
}

async fn sample_resources(testbed: Arc<Testbed>) {
    loop {
        testbed.routers.iter().for_each(Router::record_resources);
        tokio::time::sleep(RESOURCE_SAMPLE_INTERVAL).await;
    }
}

/// Records when timers of the test harness fire late, because all of its observations are late then.
async fn measure_harness_delay(testbed: Arc<Testbed>) {
    loop {
        let due = clock::now() + DELAY_PROBE_INTERVAL;
        tokio::time::sleep(DELAY_PROBE_INTERVAL).await;
        let duration = clock::now().since(due);
        if duration > MIN_RECORDED_DELAY {
            testbed.history().add(Record::HarnessDelayed { duration });
        }
    }
}
