//! Worker faults.

use super::draw_discovery_delay;
use crate::testbed::Testbed;
use fleet_emulator::agent::Health;
use fleet_emulator::link::Reachability;
use fleet_emulator::record::WorkerIndex;
use fleet_emulator::worker::Misbehaviour;
use std::sync::Arc;
use std::time::Duration;

/// The time between the update that withdraws a worker and the worker's rejection of new calls.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// A fault of some workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFault {
    /// The workers whose processes are affected.
    pub workers: Vec<WorkerIndex>,
    /// What happens to these workers.
    pub kind: WorkerFaultKind,
}

/// The kinds of faults of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerFaultKind {
    /// The process crashes and is restarted cold.
    Crash,
    /// The worker drains, and a cold one replaces it.
    Replace,
    /// The process is frozen, as by SIGSTOP.
    Freeze,
    /// The worker responds incorrectly, slowly or not at all.
    Misbehave(WorkerMisbehaviour),
}

/// The kinds of incorrect behaviour of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerMisbehaviour {
    /// The worker responds with status 500.
    Errors,
    /// The worker rejects calls although it has capacity.
    Rejections,
    /// The worker closes connections before responding.
    ClosesBeforeResponse,
    /// The worker closes connections in the middle of its response.
    ClosesDuringResponse,
    /// The worker never responds.
    Hangs,
    /// The worker's responses can't be parsed.
    MalformedResponses,
    /// The worker sends an unsolicited second response.
    UnsolicitedResponses,
    /// The worker is several times slower.
    Slow,
}

impl WorkerMisbehaviour {
    /// All variants. The plan that is drawn from a seed depends on their order.
    pub(super) const ALL: [WorkerMisbehaviour; 8] = [
        WorkerMisbehaviour::Errors,
        WorkerMisbehaviour::Rejections,
        WorkerMisbehaviour::ClosesBeforeResponse,
        WorkerMisbehaviour::ClosesDuringResponse,
        WorkerMisbehaviour::Hangs,
        WorkerMisbehaviour::MalformedResponses,
        WorkerMisbehaviour::UnsolicitedResponses,
        WorkerMisbehaviour::Slow,
    ];

    fn name(self) -> &'static str {
        match self {
            WorkerMisbehaviour::Errors => "errors",
            WorkerMisbehaviour::Rejections => "rejections",
            WorkerMisbehaviour::ClosesBeforeResponse => "close-before-response",
            WorkerMisbehaviour::ClosesDuringResponse => "close-during-response",
            WorkerMisbehaviour::Hangs => "hangs",
            WorkerMisbehaviour::MalformedResponses => "malformed-responses",
            WorkerMisbehaviour::UnsolicitedResponses => "unsolicited-responses",
            WorkerMisbehaviour::Slow => "slow",
        }
    }

    fn parameters(self) -> Misbehaviour {
        let normal = Misbehaviour::default();
        match self {
            WorkerMisbehaviour::Errors => Misbehaviour { error: 0.5, ..normal },
            WorkerMisbehaviour::Rejections => Misbehaviour { rejection: 0.5, ..normal },
            WorkerMisbehaviour::ClosesBeforeResponse => Misbehaviour { close_before_response: 0.3, ..normal },
            WorkerMisbehaviour::ClosesDuringResponse => Misbehaviour { close_during_response: 0.3, ..normal },
            WorkerMisbehaviour::Hangs => Misbehaviour { hang: 0.3, ..normal },
            WorkerMisbehaviour::MalformedResponses => Misbehaviour { malformed_response: 0.2, ..normal },
            WorkerMisbehaviour::UnsolicitedResponses => Misbehaviour { unsolicited_response: 0.5, ..normal },
            WorkerMisbehaviour::Slow => Misbehaviour { slowdown: 8.0, ..normal },
        }
    }
}

impl WorkerFaultKind {
    pub(super) fn name(self) -> String {
        match self {
            WorkerFaultKind::Crash => "worker-crash".to_owned(),
            WorkerFaultKind::Replace => "worker-replacement".to_owned(),
            WorkerFaultKind::Freeze => "worker-freeze".to_owned(),
            WorkerFaultKind::Misbehave(misbehaviour) => {
                format!("worker-misbehaviour: {}", misbehaviour.name())
            }
        }
    }
}

impl WorkerFault {
    pub(super) async fn inject(&self, testbed: &Arc<Testbed>, duration: Duration) {
        for worker in self.workers.iter().copied() {
            match self.kind {
                WorkerFaultKind::Crash => crash(testbed, worker),
                WorkerFaultKind::Replace => {
                    replace(testbed, worker, draw_discovery_delay());
                    // Replacements are spread over half of the duration, as in a rolling deployment.
                    tokio::time::sleep(duration / (2 * self.workers.len() as u32)).await;
                }
                WorkerFaultKind::Freeze => testbed.fleet.worker(worker).set_frozen(true),
                WorkerFaultKind::Misbehave(misbehaviour) => {
                    testbed.fleet.worker(worker).set_misbehaviour(misbehaviour.parameters());
                }
            }
        }
    }

    pub(super) fn revert(&self, testbed: &Testbed) {
        for worker in self.workers.iter().copied() {
            match self.kind {
                WorkerFaultKind::Crash => {
                    set_reachability(testbed, worker, Reachability::Up);
                    testbed.fleet.restart_worker(worker, draw_discovery_delay());
                }
                // The new worker stays in the fleet.
                WorkerFaultKind::Replace => {}
                WorkerFaultKind::Freeze => testbed.fleet.worker(worker).set_frozen(false),
                WorkerFaultKind::Misbehave(_) => {
                    testbed.fleet.worker(worker).set_misbehaviour(Misbehaviour::default());
                }
            }
        }
    }
}

fn set_reachability(testbed: &Testbed, worker: WorkerIndex, reachability: Reachability) {
    testbed.fleet.update_links(worker, |_| true, |link| link.reachability = reachability);
}

fn crash(testbed: &Testbed, worker: WorkerIndex) {
    set_reachability(testbed, worker, Reachability::Refused);
    testbed.fleet.worker(worker).crash();
    testbed.fleet.set_health(worker, Health::Gone, draw_discovery_delay());
}

/// Drains a worker and adds a cold one to replace it.
fn replace(testbed: &Arc<Testbed>, worker: WorkerIndex, discovery_delay: Duration) {
    if testbed.fleet.health(worker) != Health::Ready {
        return;
    }
    let role = testbed.fleet.worker(worker).settings.role;
    testbed.fleet.set_health(worker, Health::Draining, discovery_delay);
    let deployment = testbed.deployment;
    let added =
        testbed.fleet.add_worker(move |index| deployment.worker_settings(index, role), true, discovery_delay);
    if let Err(error) = added {
        eprintln!("failed to add a replacement for worker {worker}: {error}");
    }
    let testbed = testbed.clone();
    tokio::spawn(async move {
        tokio::time::sleep(discovery_delay + DRAIN_DELAY).await;
        testbed.fleet.worker(worker).set_draining(true);
    });
}
