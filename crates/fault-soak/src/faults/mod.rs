//! The faults that a run injects, one module for each kind of component that they affect.

mod clients;
mod discovery;
mod links;
mod names;
pub mod plan;
mod routers;
mod workers;

pub use clients::{ClientFault, flood_with_idle_connections};
pub use discovery::{DiscoveryFault, DiscoveryFaultKind};
pub use links::{LinkDegradation, LinkFault, LinkFaultKind};
pub use routers::{RouterFault, RouterFaultKind};
pub use workers::{WorkerFault, WorkerFaultKind, WorkerMisbehaviour};

use crate::testbed::Testbed;
use fleet_emulator::record::Record;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The maximum delay until discovery agents learn of a change of a worker, in milliseconds.
const MAX_DISCOVERY_DELAY_MS: u64 = 1_500;

/// A fault that a run injects.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A fault of router processes or of their environment.
    Router(RouterFault),
    /// A fault of service discovery.
    Discovery(DiscoveryFault),
    /// A fault of some worker processes.
    Worker(WorkerFault),
    /// A fault of the network between routers and workers.
    Link(LinkFault),
    /// Unusual behaviour of clients.
    Client(ClientFault),
}

impl Fault {
    /// The name of the kind of fault, without the affected routers and workers.
    pub fn name(&self) -> String {
        match self {
            Fault::Router(fault) => fault.kind.name(),
            Fault::Discovery(fault) => fault.kind.name().to_owned(),
            Fault::Worker(fault) => fault.kind.name(),
            Fault::Link(fault) => fault.kind.name(),
            Fault::Client(fault) => fault.name().to_owned(),
        }
    }

    /// Whether the current or the former name of the fault contains a text.
    pub fn name_contains(&self, text: &str) -> bool {
        let name = self.name();
        name.contains(text) || names::former_name(&name).is_some_and(|former| former.contains(text))
    }

    /// Injects the fault, reverts it after `duration` and records both. The duration counts from the end of
    /// the injection, which takes time itself if it affects one router or worker after another.
    pub async fn run(&self, testbed: &Arc<Testbed>, duration: Duration) {
        testbed.history().add(Record::FaultStarted { name: self.name() });
        self.inject(testbed, duration).await;
        tokio::time::sleep(duration).await;
        self.revert(testbed);
        testbed.history().add(Record::FaultEnded { name: self.name() });
    }

    async fn inject(&self, testbed: &Arc<Testbed>, duration: Duration) {
        match self {
            Fault::Router(fault) => fault.inject(testbed, duration).await,
            Fault::Discovery(fault) => fault.inject(testbed).await,
            Fault::Worker(fault) => fault.inject(testbed, duration).await,
            Fault::Link(fault) => fault.inject(testbed),
            Fault::Client(fault) => fault.inject(testbed, duration),
        }
    }

    fn revert(&self, testbed: &Arc<Testbed>) {
        match self {
            Fault::Router(fault) => fault.revert(testbed),
            Fault::Discovery(fault) => fault.revert(testbed),
            Fault::Worker(fault) => fault.revert(testbed),
            Fault::Link(fault) => fault.revert(testbed),
            Fault::Client(fault) => fault.revert(testbed),
        }
    }
}

/// Draws the delay until discovery agents learn of a change of a worker.
fn draw_discovery_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..MAX_DISCOVERY_DELAY_MS))
}
