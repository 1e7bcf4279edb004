//! A fleet of workers, the links from each router to each of them, and the agents that list them.

use crate::agent::{Agent, EndpointEntry, Health};
use crate::clock;
use crate::history::{History, RouterIndex, WorkerIndex};
use crate::link::{Link, LinkState};
use crate::worker::{CacheReservations, Worker, WorkerSettings};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const WORKER_PORT: u16 = 18_000;
const AGENT_PORT: u16 = 18_500;
const ROUTER_PORT: u16 = 18_900;

/// Addresses of one fleet, all in the loopback network 127.N.0.0/16.
#[derive(Clone, Copy, Debug)]
pub struct Network(pub u8);

impl Network {
    fn address(self, row: usize, column: usize, port: u16) -> SocketAddr {
        let (row, column) = (row as u8, column as u8 + 1);
        SocketAddr::from((Ipv4Addr::new(127, self.0, row, column), port))
    }

    /// Where a router reaches a worker.
    pub fn link(self, router: RouterIndex, worker: WorkerIndex) -> SocketAddr {
        self.address(router, worker, WORKER_PORT)
    }

    /// Where a router finds its agent, after so many moves.
    pub fn agent(self, router: RouterIndex, moves: usize) -> SocketAddr {
        self.address(router, moves, AGENT_PORT)
    }

    /// Where clients find a router.
    pub fn router(self, router: RouterIndex) -> SocketAddr {
        self.address(router, 0, ROUTER_PORT)
    }
}

/// A worker in the fleet, as it is listed.
#[derive(Debug)]
struct Member {
    worker: Arc<Worker>,
    health: Health,
    born_ms: u64,
}

/// The workers, links and agents around so many routers.
#[derive(Debug)]
pub struct Fleet {
    /// Its addresses.
    pub network: Network,
    /// What was seen.
    pub history: History,
    caches: CacheReservations,
    members: Mutex<Vec<Member>>,
    /// By router, then by worker.
    links: Mutex<Vec<Vec<Arc<Link>>>>,
    /// By router.
    agents: Vec<Arc<Agent>>,
}

impl Fleet {
    /// A fleet without workers.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub async fn start(network: Network, routers: usize, history: History) -> io::Result<Arc<Self>> {
        let mut agents = Vec::new();
        for router in 0..routers {
            agents.push(Agent::start(router, network.agent(router, 0), history.clone()).await?);
        }
        Ok(Arc::new(Fleet {
            network,
            history,
            caches: CacheReservations::default(),
            members: Mutex::default(),
            links: Mutex::new(vec![Vec::new(); routers]),
            agents,
        }))
    }

    /// How many routers it is for.
    pub fn routers(&self) -> usize {
        self.agents.len()
    }

    /// How many workers it has had.
    pub fn workers(&self) -> usize {
        self.members().len()
    }

    fn members(&self) -> std::sync::MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A router's agent.
    pub fn agent(&self, router: RouterIndex) -> &Arc<Agent> {
        &self.agents[router]
    }

    /// A worker.
    pub fn worker(&self, worker: WorkerIndex) -> Arc<Worker> {
        self.members()[worker].worker.clone()
    }

    /// How a worker is listed.
    pub fn health(&self, worker: WorkerIndex) -> Health {
        self.members()[worker].health
    }

    /// Adds a worker; cold if it has just started. Agents are told after `delay`.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub fn add(
        self: &Arc<Self>,
        settings: impl FnOnce(WorkerIndex) -> WorkerSettings,
        is_cold: bool,
        delay: Duration,
    ) -> io::Result<WorkerIndex> {
        let index = self.workers();
        let worker = Worker::new(settings(index), self.caches.clone(), self.history.clone());
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (router, links) in links.iter_mut().enumerate() {
            let address = self.network.link(router, index);
            links.push(Link::start(address, router, worker.clone(), self.history.clone())?);
        }
        drop(links);
        worker.note_start(is_cold);
        let born_ms = if is_cold { clock::wall_clock_ms() } else { 0 };
        self.members().push(Member { worker, health: Health::Ready, born_ms });
        self.announce(index, delay);
        Ok(index)
    }

    /// Changes the links of some routers to a worker.
    pub fn set_links(
        &self,
        worker: WorkerIndex,
        routers: impl Fn(RouterIndex) -> bool,
        change: impl Fn(&mut LinkState),
    ) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, links) in links.iter().enumerate().filter(|(router, _)| routers(*router)) {
            links[worker].set(&change);
        }
    }

    /// Lists a worker as it is from now on; agents are told after `delay`.
    pub fn list_as(self: &Arc<Self>, worker: WorkerIndex, health: Health, delay: Duration) {
        self.members()[worker].health = health;
        self.announce(worker, delay);
    }

    /// Starts the process of a worker anew, after it died.
    pub fn restart(self: &Arc<Self>, worker: WorkerIndex, delay: Duration) {
        let mut members = self.members();
        let member = &mut members[worker];
        member.born_ms = clock::wall_clock_ms();
        member.health = Health::Ready;
        member.worker.drain(false);
        member.worker.note_start(true);
        drop(members);
        self.announce(worker, delay);
    }

    fn entry(&self, router: RouterIndex, worker: WorkerIndex) -> EndpointEntry {
        let members = self.members();
        let Member { worker: member, health, born_ms } = &members[worker];
        let settings = member.settings;
        EndpointEntry {
            host: format!("worker-{worker}"),
            dial: self.network.link(router, worker),
            site: format!("zone-{}", settings.zone),
            class: format!("{:?}", settings.role).to_lowercase(),
            block: settings.cell,
            health: *health,
            share: 1.0,
            born_ms: *born_ms,
        }
    }

    fn announce(self: &Arc<Self>, worker: WorkerIndex, delay: Duration) {
        let entries: Vec<EndpointEntry> =
            (0..self.routers()).map(|router| self.entry(router, worker)).collect();
        let tell = move |fleet: &Fleet, entries: Vec<EndpointEntry>| {
            for (agent, entry) in fleet.agents.iter().zip(entries) {
                agent.learn(worker, entry);
            }
        };
        if delay.is_zero() {
            tell(self, entries);
            return;
        }
        let fleet = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            tell(&fleet, entries);
        });
    }
}
