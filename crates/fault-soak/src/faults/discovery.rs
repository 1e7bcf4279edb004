//! Faults of service discovery.

use crate::testbed::Testbed;
use fleet_emulator::record::RouterIndex;
use rand::Rng;
use std::time::Duration;

/// A fault of the discovery agents of some routers.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryFault {
    /// The routers whose agents are affected.
    pub routers: Vec<RouterIndex>,
    /// What happens to the agents of these routers.
    pub kind: DiscoveryFaultKind,
}

/// The kinds of faults of a discovery agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFaultKind {
    /// The agent moves to another address, and its router reloads a configuration with the new address.
    Move,
    /// The agent sends no data, and receives no updates until the outage ends.
    Outage,
    /// Open watches stall: their connections stay open without data.
    StallWatches,
    /// The connections of open watches are closed.
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
    pub(super) async fn inject(&self, testbed: &Testbed) {
        // All agents get the same delay.
        let delay = Duration::from_millis(rand::rng().random_range(100..900));
        for router in self.routers.iter().copied() {
            let agent = testbed.fleet.agent(router);
            match self.kind {
                DiscoveryFaultKind::Move => testbed.move_discovery_agent(router).await,
                DiscoveryFaultKind::Outage => agent.set_unavailable(true),
                DiscoveryFaultKind::StallWatches => agent.stall_watches(),
                DiscoveryFaultKind::ResetWatches => agent.reset_watches(),
                DiscoveryFaultKind::Delay => agent.set_response_delay(delay),
            }
        }
    }

    pub(super) fn revert(&self, testbed: &Testbed) {
        for router in self.routers.iter().copied() {
            let agent = testbed.fleet.agent(router);
            match self.kind {
                DiscoveryFaultKind::Outage => agent.set_unavailable(false),
                DiscoveryFaultKind::Delay => agent.set_response_delay(Duration::ZERO),
                // Routers reopen watches on their own, and a move is permanent.
                DiscoveryFaultKind::Move
                | DiscoveryFaultKind::StallWatches
                | DiscoveryFaultKind::ResetWatches => {}
            }
        }
    }
}
