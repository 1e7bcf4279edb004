//! The process of a router, from its start to its exit.

use fleet_emulator::history::History;
use fleet_emulator::record::{Record, RouterIndex, RouterSignal};
use fleet_emulator::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::{Arc, Mutex};
use tokio::process::Child;
use tokio::sync::watch;

/// The shutdown requested of a process. The variants are ordered: a request replaces only a weaker one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownRequest {
    /// No shutdown was requested.
    #[default]
    None,
    /// A graceful shutdown, by SIGTERM.
    Graceful,
    /// An immediate exit, by SIGKILL.
    Kill,
}

/// A router process, which may have exited.
#[derive(Debug)]
pub(super) struct Process {
    pid: Pid,
    shutdown: Arc<Mutex<ShutdownRequest>>,
    has_exited: watch::Receiver<bool>,
}

/// The resource usage of a process.
pub(super) struct ResourceUsage {
    pub(super) memory_kb: u64,
    pub(super) descriptors: usize,
}

impl Process {
    /// Monitors a spawned process and records its exit.
    pub(super) fn monitor(router: RouterIndex, pid: Pid, child: Child, history: History) -> Self {
        let shutdown = Arc::new(Mutex::new(ShutdownRequest::None));
        let (exit, has_exited) = watch::channel(false);
        tokio::spawn(record_exit(router, child, shutdown.clone(), exit, history));
        Process { pid, shutdown, has_exited }
    }

    pub(super) fn is_running(&self) -> bool {
        !*self.has_exited.borrow()
    }

    /// A channel whose value becomes true when the process exits.
    pub(super) fn has_exited(&self) -> watch::Receiver<bool> {
        self.has_exited.clone()
    }

    /// Sends a signal to the process and notes the shutdown that it requests.
    pub(super) fn signal(&self, signal: RouterSignal) {
        let (number, request) = match signal {
            RouterSignal::Terminate => (Signal::TERM, ShutdownRequest::Graceful),
            RouterSignal::Kill => (Signal::KILL, ShutdownRequest::Kill),
            RouterSignal::Reload => (Signal::HUP, ShutdownRequest::None),
            RouterSignal::Suspend => (Signal::STOP, ShutdownRequest::None),
            RouterSignal::Resume => (Signal::CONT, ShutdownRequest::None),
        };
        let mut shutdown = lock(&self.shutdown);
        *shutdown = request.max(*shutdown);
        drop(shutdown);
        let _ = kill_process(self.pid, number);
    }

    /// Reads the resource usage of the process from `/proc`.
    pub(super) fn resource_usage(&self) -> ResourceUsage {
        let directory = PathBuf::from(format!("/proc/{}", self.pid.as_raw_nonzero()));
        let descriptors = std::fs::read_dir(directory.join("fd")).map_or(0, Iterator::count);
        let status = std::fs::read_to_string(directory.join("status")).unwrap_or_default();
        let resident_set_size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory_kb =
            resident_set_size.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
        ResourceUsage { memory_kb, descriptors }
    }
}

async fn record_exit(
    router: RouterIndex,
    mut child: Child,
    shutdown: Arc<Mutex<ShutdownRequest>>,
    exit: watch::Sender<bool>,
    history: History,
) {
    let status: io::Result<ExitStatus> = child.wait().await;
    let was_expected = match *lock(&shutdown) {
        ShutdownRequest::None => false,
        ShutdownRequest::Graceful => status.as_ref().is_ok_and(ExitStatus::success),
        ShutdownRequest::Kill => true,
    };
    let status = status.map_or_else(|error| error.to_string(), |status| status.to_string());
    history.add(Record::RouterExited { router, was_expected, status });
    exit.send_replace(true);
}
