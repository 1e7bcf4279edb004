//! One run: a fleet, router processes, load and troubles, from one seed.

use crate::deployment::{Deployment, Places};
use crate::load::Load;
use crate::router::{Programs, Router};
use crate::trouble::{self, Planned};
use fleet_emulator::agent::{Health, MOVED_AGENT_ALLOWANCE};
use fleet_emulator::clock::{self, MILLISECOND, Micros, SECOND};
use fleet_emulator::fleet::{Fleet, Network};
use fleet_emulator::history::{History, Record, Role, RouterIndex, WorkerIndex};
use fleet_emulator::misbehaving_client::{ClientMisbehaviour, misbehave};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// After the last trouble the fleet has this long to recover.
pub const RECOVERY: Micros = 6 * SECOND;
/// And for this long it is watched then.
pub const WATCHED: Micros = 4 * SECOND;
/// After the last request all that is owed has come.
const SETTLE: Duration = Duration::from_millis(8_500);
/// Between two looks at what processes take of the machine.
const RESOURCES_EVERY: Duration = Duration::from_millis(500);
/// The step of the clock by which the harness measures how late it is.
const LATENESS_STEP: Duration = Duration::from_millis(5);
/// Lateness below this is no matter.
const LATENESS_NOTED: Micros = 30 * MILLISECOND;
/// Clients that connect and say nothing, in one crowd.
const CROWD: usize = 300;

/// What a run is asked to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// Everything is drawn from it.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// For how long troubles come.
    pub troubled: Micros,
    /// Whether there are no troubles at all.
    pub is_calm: bool,
    /// Only troubles whose names hold one of these, if there are any.
    pub only: Vec<String>,
    /// The programs.
    pub programs: Programs,
    /// A folder for files.
    pub folder: PathBuf,
}

/// All that a run is made of.
pub struct World {
    /// The deployment.
    pub deployment: Deployment,
    /// Workers, links and agents.
    pub fleet: Arc<Fleet>,
    /// Router processes.
    pub routers: Vec<Router>,
    /// The usual clients.
    pub load: Arc<Load>,
    moves: Vec<AtomicUsize>,
    is_restarting: Vec<AtomicBool>,
}

/// What is left of a run.
pub struct Finished {
    /// Its seed.
    pub seed: u64,
    /// The world, with its history and logs.
    pub world: Arc<World>,
    /// The troubles.
    pub plan: Vec<Planned>,
    /// From when to when the recovered fleet was watched.
    pub watched: (Micros, Micros),
}

impl World {
    /// What was seen.
    pub fn history(&self) -> &History {
        &self.fleet.history
    }

    fn places(&self, router: RouterIndex) -> Places {
        let moves = self.moves[router].load(Ordering::Relaxed);
        let network = self.fleet.network;
        Places { listen: network.router(router), discovery: network.agent(router, moves) }
    }

    fn write_configuration(&self, router: RouterIndex) -> io::Result<()> {
        let known = serde_json::to_value(self.fleet.agent(router).list()).unwrap_or_else(|_| json!({}));
        let seed: u64 = rand::rng().random();
        let value: Value = self.deployment.configuration(router, &self.places(router), &known, seed);
        replace_file(&self.routers[router].configuration, value.to_string().as_bytes())
    }

    /// Starts a router and sends clients to it.
    ///
    /// # Errors
    /// Its configuration can't be written, or the program not be started.
    pub async fn start_router(&self, router: RouterIndex) -> io::Result<()> {
        self.write_configuration(router)?;
        self.routers[router].start().await?;
        self.load.set_open(router, true);
        Ok(())
    }

    /// Whether a restart of a router may begin: there is no other under way.
    pub fn begin_restart(&self, router: RouterIndex) -> bool {
        self.routers[router].is_running() && !self.is_restarting[router].swap(true, Ordering::Relaxed)
    }

    /// Starts a router whose process has ended.
    pub async fn finish_restart(&self, router: RouterIndex) {
        if let Err(error) = self.start_router(router).await {
            eprintln!("router {router} can't be started: {error}");
        }
        self.is_restarting[router].store(false, Ordering::Relaxed);
    }

    /// Moves a router's agent and tells the router so.
    pub async fn move_discovery(&self, router: RouterIndex) {
        let moves = self.moves[router].fetch_add(1, Ordering::Relaxed) + 1;
        let address = self.fleet.network.agent(router, moves);
        self.history().add(Record::DiscoveryDisturbed { router, allowance: MOVED_AGENT_ALLOWANCE });
        if self.fleet.agent(router).clone().move_to(address).await.is_ok() {
            self.reload(router);
        }
    }

    /// Writes a router's configuration anew, and tells the router of it.
    pub fn reload(&self, router: RouterIndex) {
        if self.write_configuration(router).is_ok() {
            self.tell_of_configuration(router);
        }
    }

    /// Leaves a half-written configuration, and tells the router of it.
    pub fn break_configuration(&self, router: RouterIndex) {
        let file = &self.routers[router].configuration;
        let whole = std::fs::read(file).unwrap_or_default();
        if std::fs::write(file, &whole[..whole.len() / 2]).is_ok() {
            self.tell_of_configuration(router);
        }
    }

    /// Sends SIGHUP, but to a process that is being replaced.
    fn tell_of_configuration(&self, router: RouterIndex) {
        if !self.is_restarting[router].load(Ordering::Relaxed) {
            self.routers[router].signal(Signal::HUP, "SIGHUP");
        }
    }

    /// Lets a worker drain, and adds a cold one in its place.
    pub fn replace(self: &Arc<Self>, worker: WorkerIndex, delay: Duration) {
        if self.fleet.health(worker) != Health::Ready {
            return;
        }
        let role = self.fleet.worker(worker).settings.role;
        self.fleet.list_as(worker, Health::Draining, delay);
        let deployment = self.deployment;
        if let Err(error) = self.fleet.add(move |index| deployment.worker(index, role), true, delay) {
            eprintln!("a worker can't be added: {error}");
        }
        let world = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay + Duration::from_millis(500)).await;
            world.fleet.worker(worker).drain(true);
        });
    }

    /// Sends misbehaving clients to a router for so long.
    pub async fn send_bad_clients(self: Arc<Self>, router: RouterIndex, length: Duration) {
        let until = tokio::time::Instant::now() + length;
        while tokio::time::Instant::now() < until {
            let misbehaviour =
                ClientMisbehaviour::ALL[rand::rng().random_range(0..ClientMisbehaviour::ALL.len())];
            let address = self.routers[router].address;
            tokio::spawn(misbehave(router, address, misbehaviour, self.history().clone()));
            let pause = rand::rng().random_range(10..150);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends a crowd of clients to a router that connect and say nothing.
    pub fn crowd(&self, router: RouterIndex) {
        for _ in 0..CROWD {
            let address = self.routers[router].address;
            tokio::spawn(misbehave(router, address, ClientMisbehaviour::Silent, self.history().clone()));
        }
    }
}

/// Writes a file beside the old one and puts it in its place.
fn replace_file(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(&new, file)
}

/// Plays a run from its seed to its end.
///
/// # Errors
/// The fleet can't be set up.
pub async fn play(options: &Options) -> io::Result<Finished> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let deployment = Deployment::draw(&mut random, options.routers);
    let world = build(options, deployment).await?;
    for router in 0..options.routers {
        world.start_router(router).await?;
    }
    let watchers =
        [tokio::spawn(watch_resources(world.clone())), tokio::spawn(watch_lateness(world.clone()))];
    for router in 0..options.routers {
        tokio::spawn(world.load.clone().run(router));
    }
    let workers = deployment.prefill_workers + deployment.decode_workers;
    let mut plan = trouble::plan(&mut random, options.routers, workers, options.troubled);
    plan.retain(|planned| {
        let name = planned.trouble.name();
        let is_wanted = options.only.is_empty() || options.only.iter().any(|only| name.contains(only));
        is_wanted && !options.is_calm
    });
    let start = clock::now();
    for planned in plan.clone() {
        let world = world.clone();
        tokio::spawn(async move {
            clock::sleep_until(start + planned.from).await;
            let length = Duration::from_micros(planned.until - planned.from);
            trouble::play(world, planned.trouble, length).await;
        });
    }
    let watched_from = start + options.troubled + RECOVERY;
    let watched = (watched_from, watched_from + WATCHED);
    clock::sleep_until(watched.1).await;
    world.load.finish();
    tokio::time::sleep(SETTLE).await;
    end_routers(&world).await;
    for watcher in watchers {
        watcher.abort();
    }
    Ok(Finished { seed: options.seed, world, plan, watched })
}

async fn build(options: &Options, deployment: Deployment) -> io::Result<Arc<World>> {
    let history = History::default();
    // Runs beside each other, or one after another, use other addresses.
    let network = Network(2 + ((u64::from(std::process::id()) + options.seed) % 250) as u8);
    let fleet = Fleet::start(network, deployment.routers, history.clone()).await?;
    let roles = std::iter::repeat_n(Role::Prefill, deployment.prefill_workers)
        .chain(std::iter::repeat_n(Role::Decode, deployment.decode_workers));
    for role in roles {
        fleet.add(|index| deployment.worker(index, role), false, Duration::ZERO)?;
    }
    let mut routers = Vec::new();
    for index in 0..deployment.routers {
        let (address, programs) = (network.router(index), options.programs.clone());
        routers.push(Router::new(index, address, &options.folder, programs, history.clone())?);
    }
    let load = Arc::new(Load::new(&deployment, network, &history));
    let moves = (0..deployment.routers).map(|_| AtomicUsize::new(0)).collect();
    let is_restarting = (0..deployment.routers).map(|_| AtomicBool::new(false)).collect();
    Ok(Arc::new(World { deployment, fleet, routers, load, moves, is_restarting }))
}

async fn end_routers(world: &Arc<World>) {
    for router in &world.routers {
        router.signal(Signal::TERM, "SIGTERM");
    }
    for router in &world.routers {
        if !router.ended_within(Duration::from_secs(4)).await {
            router.signal(Signal::KILL, "SIGKILL");
        }
    }
}

async fn watch_resources(world: Arc<World>) {
    loop {
        world.routers.iter().for_each(Router::note_resources);
        tokio::time::sleep(RESOURCES_EVERY).await;
    }
}

async fn watch_lateness(world: Arc<World>) {
    loop {
        let due = clock::now() + LATENESS_STEP.as_micros() as Micros;
        tokio::time::sleep(LATENESS_STEP).await;
        let by = clock::now().saturating_sub(due);
        if by > LATENESS_NOTED {
            world.history().add(Record::HarnessDelayed { by });
        }
    }
}
