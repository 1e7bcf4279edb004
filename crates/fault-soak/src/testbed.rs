//! The testbed of a run: the emulated fleet, the router processes and the load.

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

/// The second octet of the first loopback network, 127.2.0.0/16.
const FIRST_NETWORK: u64 = 2;
/// The number of loopback networks in use.
const NETWORK_COUNT: u64 = 250;

/// The components of a run.
pub struct Testbed {
    /// The size of the fleet and the settings of its routers.
    pub deployment: Deployment,
    /// The emulated workers, links and discovery agents.
    pub fleet: Arc<Fleet>,
    /// The routers under test, by their positions in the fleet.
    pub routers: Vec<Router>,
    /// The regular clients of all routers.
    pub load: Arc<Load>,
    router_states: Vec<RouterState>,
}

/// The state of one router besides its process.
#[derive(Debug, Default)]
struct RouterState {
    /// The number of moves of the router's discovery agent.
    agent_moves: AtomicUsize,
    /// Whether the process is being replaced.
    is_restarting: AtomicBool,
}

impl Testbed {
    /// Starts the fleet of a deployment, without any router process.
    ///
    /// # Errors
    /// Returns an error if an address of the fleet is in use or the files of a router can't be created.
    pub async fn start(
        seed: u64,
        deployment: Deployment,
        programs: &Programs,
        directory: &Path,
    ) -> Result<Arc<Self>, SoakError> {
        let history = History::default();
        // Concurrent and consecutive runs use different networks.
        let network = FIRST_NETWORK + (u64::from(std::process::id()) + seed) % NETWORK_COUNT;
        let network = LoopbackNetwork::new(network as u8);
        let fleet = start_fleet(network, &deployment, &history).await.map_err(SoakError::StartFleet)?;
        let new_router = |index| {
            let address = network.router_address(index);
            Router::new(index, address, directory, programs.clone(), history.clone())
                .map_err(|error| SoakError::CreateControlBlock(index, error))
        };
        let routers =
            (0..deployment.router_count).map(new_router).collect::<Result<Vec<Router>, SoakError>>()?;
        let load = Arc::new(Load::new(&deployment, network, &history));
        let router_states = (0..deployment.router_count).map(|_| RouterState::default()).collect();
        Ok(Arc::new(Testbed { deployment, fleet, routers, load, router_states }))
    }

    /// The history of the run.
    pub fn history(&self) -> &History {
        &self.fleet.history
    }

    /// Starts the process of a router, waits until it is ready and adds it to the rotation of the load
    /// balancer.
    ///
    /// # Errors
    /// Returns an error if the configuration can't be written or the program can't be started.
    pub async fn start_router(&self, router: RouterIndex) -> Result<(), SoakError> {
        self.write_configuration(router).map_err(|error| SoakError::WriteConfiguration(router, error))?;
        self.routers[router].start().await.map_err(|error| SoakError::StartRouter(router, error))?;
        self.load.set_in_rotation(router, true);
        Ok(())
    }

    /// Begins to replace the process of a router. Returns `None` if no process runs, or if the process is
    /// being replaced already.
    pub fn try_begin_restart(&self, router: RouterIndex) -> Option<RestartGuard<'_>> {
        let is_restarting = &self.router_states[router].is_restarting;
        let may_begin = self.routers[router].is_running() && !is_restarting.swap(true, Ordering::Relaxed);
        may_begin.then_some(RestartGuard { testbed: self, router })
    }

    /// Moves the discovery agent of a router to another address and has the router reload its configuration.
    pub async fn move_discovery_agent(&self, router: RouterIndex) {
        let moves = self.router_states[router].agent_moves.fetch_add(1, Ordering::Relaxed) + 1;
        let address = self.fleet.network.agent_address(router, moves);
        self.history().add(Record::DiscoveryDisrupted { router, allowance: MOVED_AGENT_ALLOWANCE });
        if self.fleet.agent(router).clone().move_to(address).await.is_ok() {
            self.reload_configuration(router);
        }
    }

    /// Rewrites the configuration of a router and has the router reload it.
    pub fn reload_configuration(&self, router: RouterIndex) {
        if self.write_configuration(router).is_ok() {
            self.signal_reload(router);
        }
    }

    /// Truncates the configuration of a router to half its size and has the router reload it.
    pub fn truncate_configuration(&self, router: RouterIndex) {
        let file = &self.routers[router].configuration;
        let content = std::fs::read(file).unwrap_or_default();
        if std::fs::write(file, &content[..content.len() / 2]).is_ok() {
            self.signal_reload(router);
        }
    }

    /// Sends SIGHUP, except to a process that is being replaced: SIGHUP would end a new process that has
    /// not installed its handler yet.
    fn signal_reload(&self, router: RouterIndex) {
        if !self.router_states[router].is_restarting.load(Ordering::Relaxed) {
            self.routers[router].signal(RouterSignal::Reload);
        }
    }

    fn router_addresses(&self, router: RouterIndex) -> RouterAddresses {
        let moves = self.router_states[router].agent_moves.load(Ordering::Relaxed);
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
        let value =
            self.deployment.router_configuration(router, &self.router_addresses(router), &endpoints, seed);
        replace_file(&self.routers[router].configuration, value.to_string().as_bytes())
    }
}

/// The exclusive permission to replace the process of a router, until it is dropped.
pub struct RestartGuard<'a> {
    testbed: &'a Testbed,
    router: RouterIndex,
}

impl RestartGuard<'_> {
    /// Starts the new process. The old one must have exited.
    pub async fn start_process(self) {
        if let Err(error) = self.testbed.start_router(self.router).await {
            eprintln!("failed to restart router {}: {error}", self.router);
        }
    }
}

impl Drop for RestartGuard<'_> {
    fn drop(&mut self) {
        self.testbed.router_states[self.router].is_restarting.store(false, Ordering::Relaxed);
    }
}

async fn start_fleet(
    network: LoopbackNetwork,
    deployment: &Deployment,
    history: &History,
) -> io::Result<Arc<Fleet>> {
    let fleet = Fleet::start(
        network,
        deployment.router_count,
        deployment.scenario.endpoints_per_worker,
        history.clone(),
    )
    .await?;
    let roles = std::iter::repeat_n(Role::Prefill, deployment.prefill_worker_count)
        .chain(std::iter::repeat_n(Role::Decode, deployment.decode_worker_count));
    for role in roles {
        fleet.add_worker(|index| deployment.worker_settings(index, role), false, Duration::ZERO)?;
    }
    Ok(fleet)
}

/// Replaces a file atomically, so that a router that starts meanwhile reads either the old or the new
/// contents.
fn replace_file(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(&new, file)
}
