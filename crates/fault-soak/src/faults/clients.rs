//! Faults of clients: malformed and idle connections, and unusual load.

use crate::load::{LoadProfile, USUAL_DISCONNECT_SHARE};
use crate::world::World;
use fleet_emulator::misbehaving_client::{ClientMisbehaviour, run_misbehaving_client};
use fleet_emulator::record::RouterIndex;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The number of idle connections that are opened at once.
const IDLE_CONNECTIONS: usize = 300;
/// A crowd opens so many idle connections at each of its intervals: routers close them after some seconds.
const CROWD_CONNECTIONS: usize = 100;
/// The interval at which a crowd connects again.
const CROWD_INTERVAL: Duration = Duration::from_millis(700);

/// A fault of clients.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientFault {
    /// Clients send malformed and incomplete requests.
    Misbehaving {
        /// The routers to which they connect.
        routers: Vec<RouterIndex>,
    },
    /// Hundreds of clients connect and send nothing.
    IdleConnections {
        /// The routers to which they connect.
        routers: Vec<RouterIndex>,
    },
    /// Many clients disconnect early.
    Impatient,
    /// Many clients write their requests slowly.
    SlowWriting,
    /// More requests than usual arrive.
    Burst {
        /// The multiple of the usual rate.
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

    pub(super) fn inject(&self, world: &Arc<World>, duration: Duration) {
        match self {
            ClientFault::Misbehaving { routers } => {
                for router in routers.iter().copied() {
                    tokio::spawn(send_misbehaving_clients(world.clone(), router, duration));
                }
            }
            ClientFault::IdleConnections { routers } => {
                for router in routers.iter().copied() {
                    (0..IDLE_CONNECTIONS)
                        .for_each(|_| connect_misbehaving(world, router, ClientMisbehaviour::Silent));
                }
            }
            ClientFault::Impatient => world.load.update(|profile| profile.disconnect_share = 0.5),
            ClientFault::SlowWriting => world.load.update(|profile| profile.slow_share = 0.5),
            ClientFault::Burst { rate_multiplier } => {
                world.load.update(|profile| profile.rate_multiplier = *rate_multiplier);
            }
        }
    }

    pub(super) fn revert(&self, world: &World) {
        let restore: fn(&mut LoadProfile) = match self {
            // Misbehaving clients end by themselves, and routers close idle connections.
            ClientFault::Misbehaving { .. } | ClientFault::IdleConnections { .. } => return,
            ClientFault::Impatient => |profile| profile.disconnect_share = USUAL_DISCONNECT_SHARE,
            ClientFault::SlowWriting => |profile| profile.slow_share = 0.0,
            ClientFault::Burst { .. } => |profile| profile.rate_multiplier = 1.0,
        };
        world.load.update(restore);
    }
}

fn connect_misbehaving(world: &World, router: RouterIndex, misbehaviour: ClientMisbehaviour) {
    let address = world.routers[router].address;
    tokio::spawn(run_misbehaving_client(router, address, misbehaviour, world.history().clone()));
}

async fn send_misbehaving_clients(world: Arc<World>, router: RouterIndex, duration: Duration) {
    let until = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < until {
        let choice = rand::rng().random_range(0..ClientMisbehaviour::ALL.len());
        connect_misbehaving(&world, router, ClientMisbehaviour::ALL[choice]);
        let pause = rand::rng().random_range(10..150);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Keeps the descriptors of a router filled with idle connections for as long as there is load.
pub async fn keep_crowded(world: Arc<World>, router: RouterIndex) {
    while !world.load.is_finished() {
        (0..CROWD_CONNECTIONS).for_each(|_| connect_misbehaving(&world, router, ClientMisbehaviour::Silent));
        tokio::time::sleep(CROWD_INTERVAL).await;
    }
}
