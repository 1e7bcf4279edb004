//! Faults of service discovery.

use crate::world::World;
use fleet_emulator::record::RouterIndex;
use rand::Rng;
use std::time::Duration;

/// A fault of the discovery agents of some routers.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryFault {
    /// The routers.
    pub routers: Vec<RouterIndex>,
    /// What happens to their agents.
    pub kind: DiscoveryFaultKind,
}

/// What happens to a discovery agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFaultKind {
    /// The agent moves to another address, and its router reloads a configuration that names the new one.
    Move,
    /// The agent sends nothing and learns nothing.
    Outage,
    /// Open watches stall.
    StallWatches,
    /// Open watches are reset.
    ResetWatches,
    /// The agent responds late.
    Delay,
}

impl DiscoveryFaultKind {
    pub(super) fn name(self) -> &'static str {
        match self {
            DiscoveryFaultKind::Move => "discovery-move",
            DiscoveryFaultKind::Outage => "discovery-outage",
            DiscoveryFaultKind::StallWatches => "watch-stall",
            DiscoveryFaultKind::ResetWatches => "watch-reset",
            DiscoveryFaultKind::Delay => "discovery-delay",
        }
    }
}

impl DiscoveryFault {
    pub(super) async fn inject(&self, world: &World) {
        // All agents are late by the same time.
        let delay = Duration::from_millis(rand::rng().random_range(100..900));
        for router in self.routers.iter().copied() {
            let agent = world.fleet.agent(router);
            match self.kind {
                DiscoveryFaultKind::Move => world.move_discovery(router).await,
                DiscoveryFaultKind::Outage => agent.set_unavailable(true),
                DiscoveryFaultKind::StallWatches => agent.stall_watches(),
                DiscoveryFaultKind::ResetWatches => agent.reset_watches(),
                DiscoveryFaultKind::Delay => agent.set_response_delay(delay),
            }
        }
    }

    pub(super) fn revert(&self, world: &World) {
        for router in self.routers.iter().copied() {
            let agent = world.fleet.agent(router);
            match self.kind {
                DiscoveryFaultKind::Outage => agent.set_unavailable(false),
                DiscoveryFaultKind::Delay => agent.set_response_delay(Duration::ZERO),
                // Routers open new watches by themselves, and a move is for good.
                DiscoveryFaultKind::Move
                | DiscoveryFaultKind::StallWatches
                | DiscoveryFaultKind::ResetWatches => {}
            }
        }
    }
}
