//! A fleet of emulated workers, a link from each router to each worker, and a discovery agent per router.

use crate::agent::{Agent, Endpoint, Health};
use crate::clock;
use crate::history::History;
use crate::link::{Link, LinkState};
use crate::record::{RouterIndex, WorkerIndex};
use crate::sync::lock;
use crate::worker::{CacheReservations, Worker, WorkerSettings};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The port of every link to a worker. Links, agents and routers differ in their addresses, not their ports.
const WORKER_PORT: u16 = 18_000;
/// The port of every discovery agent.
const AGENT_PORT: u16 = 18_500;
/// The port on which every router accepts clients.
const ROUTER_PORT: u16 = 18_900;

/// The addresses of one fleet, all in the loopback network 127.N.0.0/16.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNetwork(u8);

impl LoopbackNetwork {
    /// The network 127.`number`.0.0/16.
    pub fn new(number: u8) -> Self {
        LoopbackNetwork(number)
    }

    fn address(self, third_byte: usize, fourth_byte: usize, port: u16) -> SocketAddr {
        let (third_byte, fourth_byte) = (third_byte as u8, fourth_byte as u8 + 1);
        SocketAddr::from((Ipv4Addr::new(127, self.0, third_byte, fourth_byte), port))
    }

    /// The address at which a router reaches a worker.
    pub fn link_address(self, router: RouterIndex, worker: WorkerIndex) -> SocketAddr {
        self.address(router, worker, WORKER_PORT)
    }

    /// The address of a router's discovery agent after a number of moves.
    pub fn agent_address(self, router: RouterIndex, moves: usize) -> SocketAddr {
        self.address(router, moves, AGENT_PORT)
    }

    /// The address at which clients reach a router.
    pub fn router_address(self, router: RouterIndex) -> SocketAddr {
        self.address(router, 0, ROUTER_PORT)
    }
}

/// A worker and the properties under which agents list it.
#[derive(Debug)]
struct Member {
    worker: Arc<Worker>,
    health: Health,
    /// The start of the process in milliseconds since the Unix epoch, or 0 if it started long ago.
    started_ms: u64,
}

/// The emulated workers, links and discovery agents of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The addresses of the fleet.
    pub network: LoopbackNetwork,
    /// The history to which the agents, links and workers add their records.
    pub history: History,
    /// The number of endpoints that agents list for a worker that started long ago.
    endpoints_per_worker: usize,
    reservations: CacheReservations,
    members: Mutex<Vec<Member>>,
    /// By router, then by worker.
    links: Mutex<Vec<Vec<Arc<Link>>>>,
    /// By router.
    agents: Vec<Arc<Agent>>,
}

impl Fleet {
    /// Starts a fleet without workers. Agents list each worker that started long ago as
    /// `endpoints_per_worker` endpoints, which differ only in their names. Routers treat them as separate
    /// workers, so that a few emulated workers make up a large fleet.
    ///
    /// # Errors
    /// Returns an error if an address is in use.
    pub async fn start(
        network: LoopbackNetwork,
        routers: usize,
        endpoints_per_worker: usize,
        history: History,
    ) -> io::Result<Arc<Self>> {
        let mut agents = Vec::new();
        for router in 0..routers {
            agents.push(Agent::start(router, network.agent_address(router, 0), history.clone()).await?);
        }
        Ok(Arc::new(Fleet {
            network,
            history,
            endpoints_per_worker,
            reservations: CacheReservations::default(),
            members: Mutex::default(),
            links: Mutex::new(vec![Vec::new(); routers]),
            agents,
        }))
    }

    fn members(&self) -> MutexGuard<'_, Vec<Member>> {
        lock(&self.members)
    }

    /// The discovery agent of a router. Panics if the fleet has no such router.
    pub fn agent(&self, router: RouterIndex) -> &Arc<Agent> {
        &self.agents[router]
    }

    /// The worker at a position in the fleet. Panics if there is none.
    pub fn worker(&self, worker: WorkerIndex) -> Arc<Worker> {
        self.members()[worker].worker.clone()
    }

    /// The health of a worker in the endpoint lists.
    pub fn health(&self, worker: WorkerIndex) -> Health {
        self.members()[worker].health
    }

    /// Adds a worker. If `is_cold`, its process has just started and has yet to warm up; otherwise it started
    /// long ago. Agents list the worker after `delay`.
    ///
    /// # Errors
    /// Returns an error if an address is in use.
    pub fn add_worker(
        self: &Arc<Self>,
        settings: impl FnOnce(WorkerIndex) -> WorkerSettings,
        is_cold: bool,
        delay: Duration,
    ) -> io::Result<WorkerIndex> {
        let index = self.members().len();
        let worker = Worker::new(settings(index), self.reservations.clone(), self.history.clone());
        let mut links = lock(&self.links);
        for (router, links) in links.iter_mut().enumerate() {
            let address = self.network.link_address(router, index);
            links.push(Link::start(address, router, worker.clone(), self.history.clone())?);
        }
        drop(links);
        worker.record_start(is_cold);
        let started_ms = if is_cold { clock::wall_clock_ms() } else { 0 };
        self.members().push(Member { worker, health: Health::Ready, started_ms });
        self.notify_agents(index, delay);
        Ok(index)
    }

    /// Changes the links from selected routers to a worker.
    pub fn update_links(
        &self,
        worker: WorkerIndex,
        is_selected: impl Fn(RouterIndex) -> bool,
        change: impl Fn(&mut LinkState),
    ) {
        let links = lock(&self.links);
        for (_, links) in links.iter().enumerate().filter(|(router, _)| is_selected(*router)) {
            links[worker].update(&change);
        }
    }

    /// Sets the health of a worker in the endpoint lists. Agents receive the update after `delay`.
    pub fn set_health(self: &Arc<Self>, worker: WorkerIndex, health: Health, delay: Duration) {
        self.members()[worker].health = health;
        self.notify_agents(worker, delay);
    }

    /// Restarts the process of a worker after a crash. Agents receive the update after `delay`.
    pub fn restart_worker(self: &Arc<Self>, worker: WorkerIndex, delay: Duration) {
        let mut members = self.members();
        let member = &mut members[worker];
        member.started_ms = clock::wall_clock_ms();
        member.health = Health::Ready;
        member.worker.set_draining(false);
        member.worker.record_start(true);
        drop(members);
        self.notify_agents(worker, delay);
    }

    /// The primary endpoint of a worker in the list of a router's discovery agent.
    fn primary_endpoint(&self, router: RouterIndex, worker: WorkerIndex) -> Endpoint {
        let members = self.members();
        let Member { worker: member, health, started_ms } = &members[worker];
        let settings = member.settings;
        Endpoint {
            name: format!("worker-{worker}"),
            address: self.network.link_address(router, worker),
            zone: format!("zone-{}", settings.zone),
            role: format!("{:?}", settings.role).to_lowercase(),
            cell: settings.cell,
            health: *health,
            relative_capacity: 1.0,
            started_ms: *started_ms,
        }
    }

    /// The endpoints of a worker in the list of a router's discovery agent. A worker that started recently
    /// has only its primary endpoint, because routers limit the load of a cold worker per endpoint. Its
    /// additional endpoints are listed as gone.
    fn endpoints(&self, router: RouterIndex, worker: WorkerIndex) -> Vec<Endpoint> {
        let primary = self.primary_endpoint(router, worker);
        let health = if primary.started_ms == 0 { primary.health } else { Health::Gone };
        let additional = (1..self.endpoints_per_worker).map(|number| Endpoint {
            name: format!("{}-{number}", primary.name),
            health,
            started_ms: 0,
            ..primary.clone()
        });
        let additional: Vec<Endpoint> = additional.collect();
        std::iter::once(primary).chain(additional).collect()
    }

    /// Sends the endpoints of a worker, as they are now, to all agents after `delay`.
    fn notify_agents(self: &Arc<Self>, worker: WorkerIndex, delay: Duration) {
        let endpoints_by_router: Vec<Vec<Endpoint>> =
            (0..self.agents.len()).map(|router| self.endpoints(router, worker)).collect();
        let update_agents = move |fleet: &Fleet| {
            for (agent, endpoints) in fleet.agents.iter().zip(endpoints_by_router) {
                agent.update(worker, endpoints);
            }
        };
        if delay.is_zero() {
            update_agents(self);
            return;
        }
        let fleet = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            update_agents(&fleet);
        });
    }
}
