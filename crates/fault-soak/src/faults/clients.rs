//! Client faults: malformed requests, idle connections and unusual load.

use crate::load::{DEFAULT_DISCONNECT_SHARE, LoadProfile};
use crate::testbed::Testbed;
use fleet_emulator::misbehaving_client::{ClientMisbehaviour, run_misbehaving_client};
use fleet_emulator::record::RouterIndex;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The number of idle connections that the fault opens at once.
const IDLE_CONNECTIONS: usize = 300;
/// The number of idle connections that a flood opens per interval. Routers close them after some seconds, so
/// a flood keeps opening new ones.
const FLOOD_CONNECTIONS: usize = 100;
/// The interval at which a flood opens new connections.
const FLOOD_INTERVAL: Duration = Duration::from_millis(700);

/// A fault of the clients.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientFault {
    /// Clients send malformed and incomplete requests.
    Misbehaving {
        /// The routers to which the clients connect.
        routers: Vec<RouterIndex>,
    },
    /// Hundreds of clients connect to each router and send nothing.
    IdleConnections {
        /// The routers to which the clients connect.
        routers: Vec<RouterIndex>,
    },
    /// Many clients disconnect early.
    Impatient,
    /// Many clients write their requests slowly.
    SlowWriting,
    /// The request rate is higher than usual.
    Burst {
        /// The factor by which the rate is multiplied.
        rate_multiplier: f64,
    },
}

impl ClientFault {
    pub(super) fn name(&self) -> &'static str {
        match self {
            ClientFault::Misbehaving { .. } => "misbehaving-clients",
            ClientFault::IdleConnections { .. } => "idle-connections",
            ClientFault::Impatient => "impatient-clients",
            ClientFault::SlowWriting => "slow-clients",
            ClientFault::Burst { .. } => "load-burst",
        }
    }

    pub(super) fn inject(&self, testbed: &Arc<Testbed>, duration: Duration) {
        match self {
            ClientFault::Misbehaving { routers } => {
                for router in routers.iter().copied() {
                    tokio::spawn(run_misbehaving_clients(testbed.clone(), router, duration));
                }
            }
            ClientFault::IdleConnections { routers } => {
                for router in routers.iter().copied() {
                    (0..IDLE_CONNECTIONS)
                        .for_each(|_| spawn_misbehaving_client(testbed, router, ClientMisbehaviour::Silent));
                }
            }
            ClientFault::Impatient => testbed.load.update(|profile| profile.disconnect_share = 0.5),
            ClientFault::SlowWriting => testbed.load.update(|profile| profile.slow_share = 0.5),
            ClientFault::Burst { rate_multiplier } => {
                testbed.load.update(|profile| profile.rate_multiplier = *rate_multiplier);
            }
        }
    }

    pub(super) fn revert(&self, testbed: &Testbed) {
        let restore: fn(&mut LoadProfile) = match self {
            // Misbehaving clients end on their own, and routers close idle connections.
            ClientFault::Misbehaving { .. } | ClientFault::IdleConnections { .. } => return,
            ClientFault::Impatient => |profile| profile.disconnect_share = DEFAULT_DISCONNECT_SHARE,
            ClientFault::SlowWriting => |profile| profile.slow_share = 0.0,
            ClientFault::Burst { .. } => |profile| profile.rate_multiplier = 1.0,
        };
        testbed.load.update(restore);
    }
}

fn spawn_misbehaving_client(testbed: &Testbed, router: RouterIndex, misbehaviour: ClientMisbehaviour) {
    let address = testbed.routers[router].address;
    tokio::spawn(run_misbehaving_client(router, address, misbehaviour, testbed.history().clone()));
}

async fn run_misbehaving_clients(testbed: Arc<Testbed>, router: RouterIndex, duration: Duration) {
    let until = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < until {
        let choice = rand::rng().random_range(0..ClientMisbehaviour::ALL.len());
        spawn_misbehaving_client(&testbed, router, ClientMisbehaviour::ALL[choice]);
        let pause_ms = rand::rng().random_range(10..150);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Opens idle connections to a router until the load is finished, so that they occupy its file descriptors.
pub async fn flood_with_idle_connections(testbed: Arc<Testbed>, router: RouterIndex) {
    while !testbed.load.is_finished() {
        (0..FLOOD_CONNECTIONS)
            .for_each(|_| spawn_misbehaving_client(&testbed, router, ClientMisbehaviour::Silent));
        tokio::time::sleep(FLOOD_INTERVAL).await;
    }
}
