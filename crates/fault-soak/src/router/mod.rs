//! The routers under test: their processes, signals, logs and resource usage.

mod log;
mod process;

pub use log::{Log, LogLine};

use fault_plan::{CONTROL_FILE_VARIABLE, ControlBlock};
use fleet_emulator::history::History;
use fleet_emulator::record::{Record, RouterIndex, RouterSignal};
use fleet_emulator::sync::lock;
use process::{Process, ResourceUsage};
use rustix::process::Pid;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::watch;

/// The pause between two readiness polls of a starting router.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout of one readiness poll.
const READINESS_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// The capacity of the pipe for a router's log: small enough to fill up within a run if the log is not read.
const LOG_PIPE_BYTES: usize = 4096;

/// The programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The path of the router program.
    pub router: PathBuf,
    /// The path of the fault shim, a shared library that is preloaded into the router.
    pub shim: PathBuf,
}

/// One router of the fleet. Its process may be restarted many times.
#[derive(Debug)]
pub struct Router {
    /// The position of the router in the fleet.
    pub index: RouterIndex,
    /// The address to which clients connect.
    pub address: SocketAddr,
    /// The path of the configuration file, which the process reads at its start and on SIGHUP.
    pub configuration: PathBuf,
    /// The control block by which faults are injected into the system calls of the process.
    pub control: ControlBlock,
    /// The log of all processes that the router has had.
    pub log: Log,
    control_file: PathBuf,
    programs: Programs,
    history: History,
    is_log_read: watch::Sender<bool>,
    process: Mutex<Option<Process>>,
}

impl Router {
    /// Creates a router with its files in `directory`, without starting a process.
    ///
    /// # Errors
    /// Returns an error if the control block can't be created.
    pub fn new(
        index: RouterIndex,
        address: SocketAddr,
        directory: &Path,
        programs: Programs,
        history: History,
    ) -> io::Result<Self> {
        let control_file = directory.join(format!("router-{index}.control"));
        Ok(Router {
            index,
            address,
            configuration: directory.join(format!("router-{index}.json")),
            control: ControlBlock::create(&control_file)?,
            log: Log::default(),
            control_file,
            programs,
            history,
            is_log_read: watch::Sender::new(true),
            process: Mutex::default(),
        })
    }

    /// Starts a process and waits until it is ready or has exited.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
    pub async fn start(&self) -> io::Result<()> {
        let mut child = self.command().spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("the router process exited immediately"))?;
        self.history.add(Record::RouterStarted { router: self.index });
        if let Some(stderr) = child.stderr.take() {
            rustix::pipe::fcntl_setpipe_size(&stderr, LOG_PIPE_BYTES)?;
            let is_reading = self.is_log_read.subscribe();
            tokio::spawn(self.log.clone().read(self.index, stderr, self.history.clone(), is_reading));
        }
        let process = Process::monitor(self.index, pid, child, self.history.clone());
        let has_exited = process.has_exited();
        *lock(&self.process) = Some(process);
        self.wait_until_ready(has_exited).await;
        Ok(())
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.programs.router);
        command
            .env("NODE_CONFIG", &self.configuration)
            .env("NODE_NAME", format!("router-{}", self.index))
            .env("RUST_LOG", "debug")
            .env("LD_PRELOAD", &self.programs.shim)
            .env(CONTROL_FILE_VARIABLE, &self.control_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    async fn wait_until_ready(&self, has_exited: watch::Receiver<bool>) {
        while !*has_exited.borrow() {
            if is_ready(self.address).await {
                self.history.add(Record::RouterReady { router: self.index });
                return;
            }
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    fn with_process<T>(&self, act: impl FnOnce(&Process) -> T) -> Option<T> {
        lock(&self.process).as_ref().filter(|process| process.is_running()).map(act)
    }

    /// Whether the router has a running process.
    pub fn is_running(&self) -> bool {
        self.with_process(|_| ()).is_some()
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: RouterSignal) {
        self.with_process(|process| {
            self.history.add(Record::RouterSignalled { router: self.index, signal });
            process.signal(signal);
        });
    }

    /// Waits for the exit of the process, and returns whether it exited within the timeout or was not
    /// running.
    pub async fn exits_within(&self, timeout: Duration) -> bool {
        let Some(mut has_exited) = self.with_process(Process::has_exited) else { return true };
        tokio::time::timeout(timeout, has_exited.wait_for(|has_exited| *has_exited)).await.is_ok()
    }

    /// Sets whether the log is read. The pipe fills up while it is not.
    pub fn set_log_reading(&self, is_reading: bool) {
        self.is_log_read.send_replace(is_reading);
    }

    /// Records the resource usage of the process, if one runs.
    pub fn record_resources(&self) {
        self.with_process(|process| {
            let ResourceUsage { memory_kb, descriptors } = process.resource_usage();
            self.history.add(Record::RouterResources { router: self.index, memory_kb, descriptors });
        });
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let poll = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await?;
        let mut status_line_start = [0; 12];
        stream.read_exact(&mut status_line_start).await?;
        io::Result::Ok(status_line_start.ends_with(b"200"))
    };
    tokio::time::timeout(READINESS_POLL_TIMEOUT, poll).await.is_ok_and(|result| result.unwrap_or(false))
}
