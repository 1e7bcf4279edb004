//! The world of a run: the emulated fleet, the router processes and the load.

use crate::deployment::{Deployment, RouterAddresses};
use crate::error::SoakError;
use crate::load::Load;
use crate::router::{Programs, Router};
use fleet_emulator::agent::MOVED_AGENT_ALLOWANCE;
use fleet_emulator::fleet::{Fleet, LoopbackNetwork};
use fleet_emulator::history::History;
use fleet_emulator::record::{Record, Role, RouterIndex, RouterSignal};
use rand::Rng;
use serde_json::json;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// The loopback networks in use, from 127.2.0.0/16 on.
const FIRST_NETWORK: u64 = 2;
const NETWORKS: u64 = 250;

/// Everything that a run consists of.
pub struct World {
    /// The deployment.
    pub deployment: Deployment,
    /// Workers, links and discovery agents.
    pub fleet: Arc<Fleet>,
    /// The router processes.
    pub routers: Vec<Router>,
    /// The ordinary clients.
    pub load: Arc<Load>,
    router_states: Vec<RouterState>,
}

/// What the world tracks about one router besides its process.
#[derive(Debug, Default)]
struct RouterState {
    /// How often the router's discovery agent has moved.
    discovery_moves: AtomicUsize,
    /// Whether the process is being replaced.
    is_restarting: AtomicBool,
}

impl World {
    /// Starts the fleet of a deployment. No router runs yet.
    ///
    /// # Errors
    /// An address of the fleet is in use, or the files of a router can't be created.
    pub async fn start(
        seed: u64,
        deployment: Deployment,
        programs: &Programs,
        folder: &Path,
    ) -> Result<Arc<Self>, SoakError> {
        let history = History::default();
        // Concurrent and successive runs use different addresses.
        let network = FIRST_NETWORK + (u64::from(std::process::id()) + seed) % NETWORKS;
        let network = LoopbackNetwork::new(network as u8);
        let fleet = start_fleet(network, &deployment, &history).await.map_err(SoakError::StartFleet)?;
        let new_router = |index| {
            let address = network.router_address(index);
            Router::new(index, address, folder, programs.clone(), history.clone())
                .map_err(|error| SoakError::CreateControlBlock(index, error))
        };
        let routers = (0..deployment.routers).map(new_router).collect::<Result<Vec<Router>, SoakError>>()?;
        let load = Arc::new(Load::new(&deployment, network, &history));
        let router_states = (0..deployment.routers).map(|_| RouterState::default()).collect();
        Ok(Arc::new(World { deployment, fleet, routers, load, router_states }))
    }

    /// The history of the run.
    pub fn history(&self) -> &History {
        &self.fleet.history
    }

    /// Starts the process of a router, waits until it is ready and opens it to clients.
    ///
    /// # Errors
    /// The configuration can't be written or the program can't be started.
    pub async fn start_router(&self, router: RouterIndex) -> Result<(), SoakError> {
        self.write_configuration(router).map_err(|error| SoakError::WriteConfiguration(router, error))?;
        self.routers[router].start().await.map_err(|error| SoakError::StartRouter(router, error))?;
        self.load.set_open(router, true);
        Ok(())
    }

    /// Begins to replace the process of a router, unless it does not run or is being replaced already.
    pub fn begin_restart(&self, router: RouterIndex) -> Option<Restart<'_>> {
        let is_restarting = &self.router_states[router].is_restarting;
        let may_begin = self.routers[router].is_running() && !is_restarting.swap(true, Ordering::Relaxed);
        may_begin.then_some(Restart { world: self, router })
    }

    /// Moves the discovery agent of a router and reloads the router's configuration.
    pub async fn move_discovery(&self, router: RouterIndex) {
        let moves = self.router_states[router].discovery_moves.fetch_add(1, Ordering::Relaxed) + 1;
        let address = self.fleet.network.agent_address(router, moves);
        self.history().add(Record::DiscoveryDisturbed { router, allowance: MOVED_AGENT_ALLOWANCE });
        if self.fleet.agent(router).clone().move_to(address).await.is_ok() {
            self.reload_configuration(router);
        }
    }

    /// Writes the configuration of a router again and has the router reload it.
    pub fn reload_configuration(&self, router: RouterIndex) {
        if self.write_configuration(router).is_ok() {
            self.signal_reload(router);
        }
    }

    /// Truncates the configuration of a router in the middle and has the router reload it.
    pub fn truncate_configuration(&self, router: RouterIndex) {
        let file = &self.routers[router].configuration;
        let content = std::fs::read(file).unwrap_or_default();
        if std::fs::write(file, &content[..content.len() / 2]).is_ok() {
            self.signal_reload(router);
        }
    }

    /// Sends SIGHUP, except to a process that is being replaced: one that has not installed its handler would die.
    fn signal_reload(&self, router: RouterIndex) {
        if !self.router_states[router].is_restarting.load(Ordering::Relaxed) {
            self.routers[router].signal(RouterSignal::Reload);
        }
    }

    fn addresses(&self, router: RouterIndex) -> RouterAddresses {
        let moves = self.router_states[router].discovery_moves.load(Ordering::Relaxed);
        let network = self.fleet.network;
        RouterAddresses {
            listen: network.router_address(router),
            discovery: network.agent_address(router, moves),
        }
    }

    fn write_configuration(&self, router: RouterIndex) -> io::Result<()> {
        let endpoints =
            serde_json::to_value(self.fleet.agent(router).snapshot()).unwrap_or_else(|_| json!({}));
        let seed: u64 = rand::rng().random();
        let value = self.deployment.configuration(router, &self.addresses(router), &endpoints, seed);
        replace_file(&self.routers[router].configuration, value.to_string().as_bytes())
    }
}

/// The exclusive right to replace the process of a router. It ends when this is dropped.
pub struct Restart<'a> {
    world: &'a World,
    router: RouterIndex,
}

impl Restart<'_> {
    /// Starts the new process, after the old one has ended.
    pub async fn start_process(self) {
        if let Err(error) = self.world.start_router(self.router).await {
            eprintln!("router {} can't be restarted: {error}", self.router);
        }
    }
}

impl Drop for Restart<'_> {
    fn drop(&mut self) {
        self.world.router_states[self.router].is_restarting.store(false, Ordering::Relaxed);
    }
}

async fn start_fleet(
    network: LoopbackNetwork,
    deployment: &Deployment,
    history: &History,
) -> io::Result<Arc<Fleet>> {
    let fleet =
        Fleet::start(network, deployment.routers, deployment.scenario.names_per_worker, history.clone())
            .await?;
    let roles = std::iter::repeat_n(Role::Prefill, deployment.prefill_workers)
        .chain(std::iter::repeat_n(Role::Decode, deployment.decode_workers));
    for role in roles {
        fleet.add_worker(|index| deployment.worker(index, role), false, Duration::ZERO)?;
    }
    Ok(fleet)
}

/// Replaces a file atomically, so that a router that starts meanwhile reads either the old or the new content.
fn replace_file(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(&new, file)
}
