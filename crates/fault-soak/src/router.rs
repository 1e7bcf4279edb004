//! Router processes: start, signals, log and end.

use fault_plan::{CONTROL_VARIABLE, Control};
use fleet_emulator::clock::{self, Micros};
use fleet_emulator::history::{History, Record, RouterIndex};
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;

/// How often a router that starts is asked whether it is ready.
const READY_POLL: Duration = Duration::from_millis(20);
/// Bytes of a router's log that may wait to be read.
const LOG_PIPE_BYTES: usize = 4096;
/// Most lines of a router's log that are kept.
const MAX_LOG_LINES: usize = 400_000;
/// Words in the log that tell of a fault in the program.
const COMPLAINTS: [&str; 2] = ["violation:", "panicked"];

/// The programs that a run needs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The router.
    pub router: PathBuf,
    /// The fault shim, loaded into it.
    pub shim: Option<PathBuf>,
}

/// A line of a router's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When it was read.
    pub at: Micros,
    /// The line.
    pub text: String,
}

/// The log of a router, over all of its lives.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Vec<LogLine>>>);

impl Log {
    fn add(&self, text: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() < MAX_LOG_LINES {
            lines.push(LogLine { at: clock::now(), text });
        }
    }

    /// The lines that hold a text.
    pub fn lines_with(&self, text: &str) -> Vec<LogLine> {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.text.contains(text)).cloned().collect()
    }
}

/// One router's place in the fleet; its process may be started and ended many times.
#[derive(Debug)]
pub struct Router {
    /// Its place.
    pub index: RouterIndex,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its configuration file.
    pub configuration: PathBuf,
    /// Its shim's control block.
    pub control: Control,
    /// Its log.
    pub log: Log,
    control_file: PathBuf,
    programs: Programs,
    history: History,
    /// Whether its log is read.
    reads_log: watch::Sender<bool>,
    process: Mutex<Option<Process>>,
}

/// How a process has been told to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    /// Not at all.
    #[default]
    Untold,
    /// In order.
    Orderly,
    /// At once.
    Killed,
}

#[derive(Debug)]
struct Process {
    pid: Pid,
    /// How it has been told to end.
    ending: Arc<Mutex<Ending>>,
    ended: watch::Receiver<bool>,
}

impl Router {
    /// A router whose files are kept in this folder; it does not run yet.
    ///
    /// # Errors
    /// The files can't be written.
    pub fn new(
        index: RouterIndex,
        address: SocketAddr,
        folder: &Path,
        programs: Programs,
        history: History,
    ) -> io::Result<Self> {
        let control_file = folder.join(format!("router-{index}.control"));
        Ok(Router {
            index,
            address,
            configuration: folder.join(format!("router-{index}.json")),
            control: Control::create(&control_file)?,
            log: Log::default(),
            control_file,
            programs,
            history,
            reads_log: watch::Sender::new(true),
            process: Mutex::default(),
        })
    }

    /// Starts its process and waits until it is ready, or has ended.
    ///
    /// # Errors
    /// The program can't be started.
    pub async fn start(&self) -> io::Result<()> {
        let mut command = Command::new(&self.programs.router);
        command
            .env("NODE_CONFIG", &self.configuration)
            .env("NODE_NAME", format!("router-{}", self.index))
            .env("RUST_LOG", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        if let Some(shim) = &self.programs.shim {
            command.env("LD_PRELOAD", shim).env(CONTROL_VARIABLE, &self.control_file);
        }
        let mut child = command.spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("the process ended at once"))?;
        self.history.add(Record::RouterStarted { router: self.index });
        if let Some(stderr) = child.stderr.take() {
            // A log that nobody reads fills its pipe within a run.
            rustix::pipe::fcntl_setpipe_size(&stderr, LOG_PIPE_BYTES)?;
            let (log, history) = (self.log.clone(), self.history.clone());
            tokio::spawn(read_log(self.index, stderr, log, history, self.reads_log.subscribe()));
        }
        let ending = Arc::new(Mutex::new(Ending::Untold));
        let (end, ended) = watch::channel(false);
        tokio::spawn(watch_end(self.index, child, ending.clone(), end, self.history.clone()));
        let process = Process { pid, ending, ended: ended.clone() };
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(process);
        self.wait_until_ready(ended).await;
        Ok(())
    }

    async fn wait_until_ready(&self, ended: watch::Receiver<bool>) {
        while !*ended.borrow() {
            if is_ready(self.address).await {
                self.history.add(Record::RouterReady { router: self.index });
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    fn process<T>(&self, act: impl FnOnce(&Process) -> T) -> Option<T> {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        process.as_ref().filter(|process| !*process.ended.borrow()).map(act)
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.process(|_| ()).is_some()
    }

    /// Sends a signal to its process, if there is one.
    pub fn signal(&self, signal: Signal, name: &'static str) {
        self.process(|process| {
            let told = match signal {
                Signal::TERM => Ending::Orderly,
                Signal::KILL => Ending::Killed,
                _ => Ending::Untold,
            };
            let mut ending = process.ending.lock().unwrap_or_else(PoisonError::into_inner);
            *ending = told.max(*ending);
            drop(ending);
            self.history.add(Record::RouterSignalled { router: self.index, signal: name });
            let _ = kill_process(process.pid, signal);
        });
    }

    /// Waits for the end of its process, for so long at most; whether it has ended.
    pub async fn ended_within(&self, time: Duration) -> bool {
        let Some(mut ended) = self.process(|process| process.ended.clone()) else { return true };
        tokio::time::timeout(time, ended.wait_for(|ended| *ended)).await.is_ok()
    }

    /// Whether its log is read; a pipe that nobody reads fills up.
    pub fn read_log(&self, reads: bool) {
        self.reads_log.send_replace(reads);
    }

    /// Notes what its process takes of the machine.
    pub fn note_resources(&self) {
        self.process(|process| {
            let folder = PathBuf::from(format!("/proc/{}", process.pid.as_raw_nonzero()));
            let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let memory_kb =
                resident.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
            self.history.add(Record::RouterResources { router: self.index, memory_kb, descriptors });
        });
    }
}

async fn read_log(
    router: RouterIndex,
    stderr: ChildStderr,
    log: Log,
    history: History,
    mut reads: watch::Receiver<bool>,
) {
    let mut lines = BufReader::new(stderr).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if COMPLAINTS.iter().any(|word| line.contains(word)) {
            history.add(Record::RouterErrorLogged { router, line: line.clone() });
        }
        log.add(line);
        let _ = reads.wait_for(|reads| *reads).await;
    }
}

async fn watch_end(
    router: RouterIndex,
    mut child: Child,
    ending: Arc<Mutex<Ending>>,
    end: watch::Sender<bool>,
    history: History,
) {
    let status: io::Result<ExitStatus> = child.wait().await;
    let was_expected = match *ending.lock().unwrap_or_else(PoisonError::into_inner) {
        Ending::Untold => false,
        Ending::Orderly => status.as_ref().is_ok_and(ExitStatus::success),
        Ending::Killed => true,
    };
    let how = status.map_or_else(|error| error.to_string(), |status| status.to_string());
    history.add(Record::RouterExited { router, was_expected, how });
    end.send_replace(true);
}

async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        io::Result::Ok(answer.ends_with(b"200"))
    };
    tokio::time::timeout(Duration::from_secs(1), ask).await.is_ok_and(|result| result.unwrap_or(false))
}
