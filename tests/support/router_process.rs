//! A router process under test, with its log and its counters.

use super::{HANG_TIMEOUT, Message, request, rpc_request};
use std::fs::DirEntry;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

/// The file descriptor limit of a router whose test does not set one.
pub const MAX_DESCRIPTORS: usize = 1024;

/// A router process, which is killed on drop.
pub struct RouterProcess {
    child: Child,
    /// The address of its client listener.
    pub address: SocketAddr,
    log: mpsc::Receiver<String>,
    /// While a test holds this lock, the log is not read.
    pub log_reading: Arc<Mutex<()>>,
    operator_file: PathBuf,
}

impl RouterProcess {
    /// Starts a router with this operator's file, and waits until it serves requests.
    pub fn start(operator_file: &str) -> RouterProcess {
        RouterProcess::start_with_descriptor_limit(MAX_DESCRIPTORS, operator_file)
    }

    /// Starts a router with a file descriptor limit.
    pub fn start_with_descriptor_limit(descriptors: usize, operator_file: &str) -> RouterProcess {
        RouterProcess::start_with_environment(descriptors, operator_file, &[])
    }

    /// Starts a router with a file descriptor limit and additional environment variables.
    pub fn start_with_environment(
        descriptors: usize,
        operator_file: &str,
        environment: &[(&str, &Path)],
    ) -> RouterProcess {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("llm-router-{}-{number}.toml", std::process::id()));
        std::fs::write(&file, operator_file).unwrap();
        let mut child = Command::new("sh")
            .args(["-c", "ulimit -n $0; exec \"$@\"", &descriptors.to_string()])
            .args([env!("CARGO_BIN_EXE_llm-router"), "serve", file.to_str().unwrap()])
            .envs(environment.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log_reading = Arc::new(Mutex::new(()));
        let log = read_log(child.stderr.take().unwrap(), log_reading.clone());
        let address = "127.0.0.1:1".parse().unwrap();
        let mut router = RouterProcess { child, address, log, log_reading, operator_file: file };
        let line = router.wait_for_log_line("serves on ");
        let address = line.split("serves on ").nth(1).unwrap().split(',').next().unwrap();
        router.address = address.parse().unwrap();
        router
    }

    /// Waits for the next log line that contains this text, and returns it.
    pub fn wait_for_log_line(&self, text: &str) -> String {
        self.log_lines_until(text).pop().unwrap_or_default()
    }

    /// Waits for the next log line that contains this text. Returns the lines up to and including it.
    pub fn log_lines_until(&self, text: &str) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        while !lines.last().is_some_and(|line| line.contains(text)) {
            let line = self.log.recv_timeout(HANG_TIMEOUT);
            lines.push(line.unwrap_or_else(|_| panic!("no line with {text:?} in the log")));
        }
        lines
    }

    /// Replaces the operator's file and sends SIGHUP.
    pub fn reload(&self, operator_file: &str) {
        std::fs::write(&self.operator_file, operator_file).unwrap();
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The private memory of the process in kB, without the pages of its program file.
    pub fn private_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// The CPU time that its threads have used.
    pub fn cpu_time(&self) -> Duration {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let nanoseconds = |thread: DirEntry| -> u64 {
            let statistics = std::fs::read_to_string(thread.path().join("schedstat")).unwrap();
            statistics.split(' ').next().unwrap().parse().unwrap()
        };
        Duration::from_nanos(threads.map(|thread| nanoseconds(thread.unwrap())).sum())
    }

    /// Shuts the router down gracefully and returns its counters.
    pub fn stop(mut self) -> Counters {
        self.signal("-TERM");
        let line = self.wait_for_log_line("stopped; counters:");
        assert!(self.child.wait().unwrap().success());
        Counters(line)
    }

    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    /// Sends bytes unchanged on a new connection, and reads one response.
    pub fn send_raw(&self, bytes: &[u8]) -> Message {
        exchange(self.address, bytes)
    }

    /// Sends a chat completion request on a new connection, and reads the response.
    pub fn request(&self, id: &str, class: &str) -> Message {
        self.send_raw(request(id, class, "hello").as_bytes())
    }

    /// Sends a JSON-RPC message on a new connection, and reads the response.
    pub fn rpc(&self, body: &str) -> Message {
        self.send_raw(rpc_request(body).as_bytes())
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Opens a client connection to a router.
fn connect(router: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(router).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends bytes unchanged to a router on a new connection, and reads one response. Returns an empty message if
/// the connection ends without one.
pub fn exchange(router: SocketAddr, bytes: &[u8]) -> Message {
    let mut stream = connect(router);
    stream.write_all(bytes).unwrap();
    Message::read(&mut BufReader::new(stream)).unwrap_or_default()
}

/// Starts a thread that reads the log line by line whenever the lock is free.
fn read_log(log: ChildStderr, log_reading: Arc<Mutex<()>>) -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _guard = log_reading.lock();
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// A router's counters, in the log line that prints them.
pub struct Counters(pub String);

impl Counters {
    /// The value of a counter. Panics if there is no counter of this name.
    pub fn get(&self, name: &str) -> u64 {
        let mut pairs = self.0.split(' ');
        let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        value.unwrap_or_else(|| panic!("no counter {name} in {}", self.0))
    }
}
