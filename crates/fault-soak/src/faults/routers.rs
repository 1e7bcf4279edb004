//! Faults of router processes and their environment.

use crate::testbed::Testbed;
use fault_plan::SystemCallFault;
use fleet_emulator::clock;
use fleet_emulator::record::{RouterIndex, RouterSignal};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The time for which the harness waits for the exit of a process after SIGKILL.
const KILL_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum number of additional signals before SIGTERM, and also after it.
const MAX_ADDITIONAL_SIGNALS: usize = 2;
/// The maximum pause after each additional signal.
const MAX_SIGNAL_PAUSE: Duration = Duration::from_millis(150);
/// The time after SIGTERM during which clients still open connections to a router, because the load
/// balancer in front of it has not detected the shutdown yet.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;

/// The sets of system call faults that are injected together.
pub(super) const SYSTEM_CALL_FAULT_SETS: [&[SystemCallFault]; 8] = [
    &[SystemCallFault::AcceptAborted],
    &[SystemCallFault::AcceptFileTableFull, SystemCallFault::SocketFileTableFull],
    &[SystemCallFault::AcceptNoBuffers, SystemCallFault::ConnectNoBuffers],
    &[SystemCallFault::ConnectNoAddress],
    &[SystemCallFault::ConnectUnreachable],
    &[SystemCallFault::ReadInterrupted, SystemCallFault::WriteInterrupted, SystemCallFault::PollInterrupted],
    &[SystemCallFault::ShortRead, SystemCallFault::ShortWrite],
    &[SystemCallFault::LogFull],
];

/// A fault of some router processes.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterFault {
    /// The routers whose processes are affected.
    pub routers: Vec<RouterIndex>,
    /// What happens to the processes of these routers.
    pub kind: RouterFaultKind,
}

/// The kinds of faults of a router process.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterFaultKind {
    /// The process shuts down gracefully and is restarted.
    Restart,
    /// The process is killed and restarted.
    Kill,
    /// The process is suspended briefly, several times.
    Suspend,
    /// The process reloads a truncated configuration.
    TruncateConfiguration,
    /// The wall clock of the process is stepped.
    StepWallClock {
        /// The size of the step in seconds.
        seconds: i64,
    },
    /// System calls of the process fail.
    FailSystemCalls {
        /// The system call faults that are injected together.
        faults: Vec<SystemCallFault>,
        /// The probability of each fault per call, from 0 to 1.
        probability: f64,
    },
    /// The pipe to which the process writes its log is not read.
    StopReadingLog,
}

impl RouterFaultKind {
    pub(super) fn name(&self) -> String {
        let name = match self {
            RouterFaultKind::Restart => "router-restart",
            RouterFaultKind::Kill => "router-kill",
            RouterFaultKind::Suspend => "router-suspend",
            RouterFaultKind::TruncateConfiguration => "truncated-configuration",
            RouterFaultKind::StepWallClock { .. } => "wall-clock-step",
            RouterFaultKind::FailSystemCalls { faults, .. } => {
                return format!("system-call-failure: {faults:?}");
            }
            RouterFaultKind::StopReadingLog => "log-backpressure",
        };
        name.to_owned()
    }
}

impl RouterFault {
    pub(super) async fn inject(&self, testbed: &Arc<Testbed>, duration: Duration) {
        for router in self.routers.iter().copied() {
            match &self.kind {
                RouterFaultKind::Restart => {
                    tokio::spawn(restart_gracefully(testbed.clone(), router));
                    // Restarts are spread over half of the duration, as in a rolling restart.
                    tokio::time::sleep(duration / (2 * self.routers.len() as u32)).await;
                }
                RouterFaultKind::Kill => _ = tokio::spawn(kill_and_restart(testbed.clone(), router)),
                RouterFaultKind::Suspend => {
                    tokio::spawn(suspend_repeatedly(testbed.clone(), router, duration));
                }
                RouterFaultKind::TruncateConfiguration => testbed.truncate_configuration(router),
                RouterFaultKind::StepWallClock { seconds } => {
                    set_wall_clock_offset(testbed, router, seconds * MICROSECONDS_PER_SECOND);
                }
                RouterFaultKind::FailSystemCalls { faults, probability } => {
                    set_system_call_faults(testbed, router, faults, *probability);
                }
                RouterFaultKind::StopReadingLog => testbed.routers[router].set_log_reading(false),
            }
        }
    }

    pub(super) fn revert(&self, testbed: &Arc<Testbed>) {
        for router in self.routers.iter().copied() {
            match &self.kind {
                // The tasks of these faults end on their own.
                RouterFaultKind::Restart | RouterFaultKind::Kill | RouterFaultKind::Suspend => {}
                RouterFaultKind::TruncateConfiguration => testbed.reload_configuration(router),
                RouterFaultKind::StepWallClock { .. } => set_wall_clock_offset(testbed, router, 0),
                RouterFaultKind::FailSystemCalls { faults, .. } => {
                    set_system_call_faults(testbed, router, faults, 0.0);
                }
                RouterFaultKind::StopReadingLog => testbed.routers[router].set_log_reading(true),
            }
        }
    }
}

fn set_wall_clock_offset(testbed: &Testbed, router: RouterIndex, offset_us: i64) {
    let _ = testbed.routers[router].control.set_wall_clock_offset(offset_us);
}

fn set_system_call_faults(
    testbed: &Testbed,
    router: RouterIndex,
    faults: &[SystemCallFault],
    probability: f64,
) {
    for fault in faults {
        let _ = testbed.routers[router].control.set_probability(*fault, probability);
    }
}

/// Shuts a router down gracefully, as in a planned restart, and starts it again.
async fn restart_gracefully(testbed: Arc<Testbed>, router: RouterIndex) {
    let Some(restart) = testbed.try_begin_restart(router) else { return };
    let process = &testbed.routers[router];
    send_additional_signals(&testbed, router, &[RouterSignal::Reload]).await;
    process.signal(RouterSignal::Terminate);
    let terminated_at = clock::now();
    tokio::spawn({
        let testbed = testbed.clone();
        async move {
            send_additional_signals(&testbed, router, &[RouterSignal::Reload, RouterSignal::Terminate]).await
        }
    });
    tokio::time::sleep(LOAD_BALANCER_DELAY).await;
    testbed.load.set_in_rotation(router, false);
    let kill_at = terminated_at + testbed.deployment.shutdown_timeout();
    if !process.exits_within(kill_at.since(clock::now())).await {
        process.signal(RouterSignal::Kill);
        let _ = process.exits_within(KILL_TIMEOUT).await;
    }
    restart.start_process().await;
}

/// Sends up to [`MAX_ADDITIONAL_SIGNALS`] of the given signals with short pauses, as operators' scripts do.
async fn send_additional_signals(testbed: &Testbed, router: RouterIndex, signals: &[RouterSignal]) {
    let count = rand::rng().random_range(0..=MAX_ADDITIONAL_SIGNALS);
    for _ in 0..count {
        let choice = rand::rng().random_range(0..signals.len());
        testbed.routers[router].signal(signals[choice]);
        let pause = rand::rng().random_range(Duration::ZERO..MAX_SIGNAL_PAUSE);
        tokio::time::sleep(pause).await;
    }
}

async fn kill_and_restart(testbed: Arc<Testbed>, router: RouterIndex) {
    let Some(restart) = testbed.try_begin_restart(router) else { return };
    testbed.load.set_in_rotation(router, false);
    testbed.routers[router].signal(RouterSignal::Kill);
    let _ = testbed.routers[router].exits_within(KILL_TIMEOUT).await;
    let pause_ms = rand::rng().random_range(100..1_500);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    restart.start_process().await;
}

/// Suspends a process repeatedly for up to 150 ms, as an overloaded machine may.
async fn suspend_repeatedly(testbed: Arc<Testbed>, router: RouterIndex, duration: Duration) {
    let until = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < until {
        let suspended_ms = rand::rng().random_range(20..150);
        testbed.routers[router].signal(RouterSignal::Suspend);
        tokio::time::sleep(Duration::from_millis(suspended_ms)).await;
        testbed.routers[router].signal(RouterSignal::Resume);
        let pause_ms = rand::rng().random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
