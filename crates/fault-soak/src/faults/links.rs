//! Faults of the network between routers and workers.

use crate::testbed::Testbed;
use fleet_emulator::link::{LinkState, Reachability};
use fleet_emulator::record::{RouterIndex, WorkerIndex};
use std::time::Duration;

/// A fault of the links to some workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFault {
    /// The workers whose links are affected.
    pub workers: Vec<WorkerIndex>,
    /// What happens to the links to these workers.
    pub kind: LinkFaultKind,
}

/// The kinds of faults of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkFaultKind {
    /// No data passes between the workers and some routers, but open connections stay open.
    Partition {
        /// The routers on the other side of the partition.
        routers: Vec<RouterIndex>,
    },
    /// The links of all routers to the workers are degraded.
    Degrade(LinkDegradation),
}

/// The kinds of degradation of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDegradation {
    /// Connections are reset during requests.
    Resets,
    /// Connections are established with a delay.
    ConnectDelay,
    /// Responses arrive in small fragments.
    Fragmentation,
    /// Idle connections are closed.
    IdleClose,
    /// Idle connections are dropped silently: the next request on one is answered with a reset.
    IdleDrop,
}

impl LinkDegradation {
    /// All variants. The plan that is drawn from a seed depends on their order.
    pub(super) const ALL: [LinkDegradation; 5] = [
        LinkDegradation::Resets,
        LinkDegradation::ConnectDelay,
        LinkDegradation::Fragmentation,
        LinkDegradation::IdleClose,
        LinkDegradation::IdleDrop,
    ];

    fn name(self) -> &'static str {
        match self {
            LinkDegradation::Resets => "resets",
            LinkDegradation::ConnectDelay => "connect-delay",
            LinkDegradation::Fragmentation => "fragmentation",
            LinkDegradation::IdleClose => "idle-close",
            LinkDegradation::IdleDrop => "idle-drop",
        }
    }

    fn apply(self, link: &mut LinkState) {
        match self {
            LinkDegradation::Resets => link.reset_probability = 0.3,
            LinkDegradation::ConnectDelay => link.connect_delay = Duration::from_millis(150),
            LinkDegradation::Fragmentation => link.is_fragmenting = true,
            LinkDegradation::IdleClose => link.idle_close_after = Some(Duration::from_millis(50)),
            LinkDegradation::IdleDrop => link.idle_drop_after = Some(Duration::from_millis(50)),
        }
    }
}

impl LinkFaultKind {
    pub(super) fn name(&self) -> String {
        match self {
            LinkFaultKind::Partition { .. } => "link-partition".to_owned(),
            LinkFaultKind::Degrade(degradation) => format!("link-degradation: {}", degradation.name()),
        }
    }
}

impl LinkFault {
    pub(super) fn inject(&self, testbed: &Testbed) {
        for worker in self.workers.iter().copied() {
            match &self.kind {
                LinkFaultKind::Partition { routers } => {
                    let is_partitioned = |router| routers.contains(&router);
                    let partition = |link: &mut LinkState| link.reachability = Reachability::Unresponsive;
                    testbed.fleet.update_links(worker, is_partitioned, partition);
                }
                LinkFaultKind::Degrade(degradation) => {
                    testbed.fleet.update_links(worker, |_| true, |link| degradation.apply(link));
                }
            }
        }
    }

    pub(super) fn revert(&self, testbed: &Testbed) {
        let repair: fn(&mut LinkState) = match self.kind {
            LinkFaultKind::Partition { .. } => |link| link.reachability = Reachability::Up,
            LinkFaultKind::Degrade(_) => |link| {
                *link = LinkState { reachability: link.reachability, ..LinkState::default() };
            },
        };
        for worker in self.workers.iter().copied() {
            testbed.fleet.update_links(worker, |_| true, repair);
        }
    }
}
