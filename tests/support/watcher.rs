//! A discovery watcher under test: the test acts as the agent, step by step, on in-memory streams.

use llm_router::interface::{Settings, UpdateKind, WorkerId};
use llm_router::net::discovery::{Backoff, Connector, Directory, DiscoveryStream, EndpointWatcher};
use llm_router::runtime::{Clock, DriverHandle, DriverInput};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

/// Time within which the driver has to be notified of a change once discovery has it and is reachable.
pub const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const OLD_AGENT: &str = "127.0.0.1:1";
pub const NEW_AGENT: &str = "127.0.0.1:2";
pub const POLL_REQUEST_LINE: &str = "GET /v1/servers HTTP/1.1";

pub fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

pub fn endpoint(worker: &str, status: &str) -> String {
    format!(r#"{{"host":"{worker}","dial":"127.0.0.1:9","class":"answer","health":"{status}"}}"#)
}

pub fn snapshot(sequence: u64, endpoints: &[String]) -> String {
    format!(r#"{{"seq":{sequence},"whole":true,"hosts":[{}]}}"#, endpoints.join(","))
}

pub fn delta(sequence: u64, endpoints: &[String]) -> String {
    format!(r#"{{"seq":{sequence},"whole":false,"hosts":[{}]}}"#, endpoints.join(","))
}

/// The agent's end of a connection.
pub struct Call {
    pub agent: SocketAddr,
    stream: DuplexStream,
}

impl Call {
    /// Reads the request and returns its first line.
    pub async fn request_line(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.unwrap());
        }
        String::from_utf8(head).unwrap().lines().next().unwrap().to_owned()
    }

    pub async fn respond(&mut self, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Begins a response with the first `bytes` bytes of its body.
    pub async fn begin_response(&mut self, body: &str, bytes: usize) {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = self.stream.write_all(head.as_bytes()).await;
        let _ = self.stream.write_all(&body.as_bytes()[..bytes]).await;
    }

    /// Whether the router has closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        matches!(timeout(Duration::from_millis(1), self.stream.read_u8()).await, Ok(Err(_)))
    }

    /// Responds with a body in `pieces` pieces of equal length, over `duration` from the first to the last.
    pub async fn respond_in_pieces(&mut self, body: &str, pieces: usize, duration: Duration) {
        self.begin_response(body, 0).await;
        for (number, piece) in split(body, pieces).enumerate() {
            if number > 0 {
                sleep(duration / (pieces as u32 - 1)).await;
            }
            let _ = self.stream.write_all(piece.as_bytes()).await;
        }
    }

    pub async fn begin_watch(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.stream.write_all(head).await;
    }

    /// Writes a chunk of the body, such as a part of a line.
    pub async fn write_chunk(&mut self, text: &str) {
        let _ = self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await;
    }

    /// Writes a text in `pieces` chunks of equal length, over `duration` from the first to the last.
    pub async fn write_in_pieces(&mut self, text: &str, pieces: usize, duration: Duration) {
        for (number, piece) in split(text, pieces).enumerate() {
            if number > 0 {
                sleep(duration / (pieces as u32 - 1)).await;
            }
            self.write_chunk(piece).await;
        }
    }

    pub async fn write_line(&mut self, text: &str) {
        self.write_chunk(&format!("{text}\n")).await;
    }
}

/// Splits an ASCII text into pieces of equal length; the last one may be shorter.
fn split(text: &str, pieces: usize) -> impl Iterator<Item = &str> {
    let piece_length = text.len().div_ceil(pieces);
    (0..text.len()).step_by(piece_length).map(move |at| &text[at..text.len().min(at + piece_length)])
}

/// An agent that serves a list and watches without changes, slowly.
#[derive(Clone, Copy)]
pub struct SlowAgent {
    /// The time from a request to the head of its response.
    pub response_delay: Duration,
    /// The time from the first byte of the list to its last.
    pub list_time: Duration,
}

impl SlowAgent {
    /// The number of pieces of the list.
    const PIECES: usize = 10;

    /// Serves the calls of a watcher from now on.
    pub fn spawn(self, fixture: &mut Fixture, list: &str) {
        let (_, no_calls) = mpsc::unbounded_channel();
        let mut calls = std::mem::replace(&mut fixture.calls, no_calls);
        let list = list.to_owned();
        tokio::task::spawn_local(async move {
            while let Some(call) = calls.recv().await {
                tokio::task::spawn_local(self.serve(call, list.clone()));
            }
        });
    }

    async fn serve(self, mut call: Call, list: String) {
        let is_watch = call.request_line().await.contains("watch=1");
        sleep(self.response_delay).await;
        if is_watch {
            call.begin_watch().await;
            call.write_in_pieces(&list, Self::PIECES, self.list_time).await;
            std::future::pending::<()>().await;
        }
        call.respond_in_pieces(&list, Self::PIECES, self.list_time).await;
    }
}

/// A running watcher with its inputs and outputs.
pub struct RunningWatcher {
    pub driver_inputs: mpsc::UnboundedReceiver<DriverInput>,
    pub directory: Rc<Directory>,
    pub poll_requested: Rc<Notify>,
    /// The address of the agent. The watcher stops when it is dropped.
    pub address: watch::Sender<Option<SocketAddr>>,
}

impl RunningWatcher {
    /// Starts a watcher of the old agent.
    pub fn spawn(connector: Connector, backoff: Backoff) -> RunningWatcher {
        let (driver, driver_inputs) = DriverHandle::channel(Clock::start());
        let (directory, poll_requested) = (Rc::<Directory>::default(), Rc::<Notify>::default());
        let watcher = EndpointWatcher {
            directory: directory.clone(),
            driver,
            close_idle_connections: Box::new(|_| {}),
            poll_requested: poll_requested.clone(),
            connector,
            backoff,
            counters: Rc::default(),
        };
        let (address, address_receiver) = watch::channel(Some(address(OLD_AGENT)));
        tokio::task::spawn_local(watcher.run(address_receiver));
        RunningWatcher { driver_inputs, directory, poll_requested, address }
    }
}

/// A watcher whose agents are played by the test.
pub struct Fixture {
    pub calls: mpsc::UnboundedReceiver<Call>,
    pub watcher: RunningWatcher,
    /// The delays between the watcher's calls.
    pub backoff: Backoff,
    /// Whether connections are established; otherwise connection attempts stay pending.
    pub accepts_connections: Rc<Cell<bool>>,
}

impl Fixture {
    /// Starts a watcher of an agent on the same machine.
    pub fn start() -> Fixture {
        Fixture::start_with(Settings::default())
    }

    /// Starts a watcher of a discovery service that the routers share.
    pub fn start_with_shared_service() -> Fixture {
        Fixture::start_with(Settings { watch_required: true, ..Settings::default() })
    }

    fn start_with(settings: Settings) -> Fixture {
        let (call_sender, calls) = mpsc::unbounded_channel();
        let accepts_connections = Rc::new(Cell::new(true));
        let backoff = Backoff::new(&Settings { replica_count: 3, ..settings }, 1);
        let connector = in_memory_connector(call_sender, accepts_connections.clone());
        let watcher = RunningWatcher::spawn(connector, backoff);
        Fixture { calls, watcher, backoff, accepts_connections }
    }

    /// Waits for the next connection of the watcher.
    pub async fn next_call(&mut self) -> Call {
        timeout(UPDATE_DEADLINE, self.calls.recv()).await.expect("no call in time").unwrap()
    }

    /// Accepts a watch, sends a snapshot on it and waits until the driver is notified.
    pub async fn accept_watch(&mut self, list: &str) -> Call {
        let mut call = self.next_call().await;
        assert!(call.request_line().await.contains("watch=1"));
        call.begin_watch().await;
        call.write_line(list).await;
        self.next_update().await;
        call
    }

    /// Waits for the next update that the driver is notified of. Returns its kind and workers.
    pub async fn next_update(&mut self) -> (UpdateKind, Vec<String>) {
        let update = async {
            loop {
                if let Some(DriverInput::EndpointsUpdated { kind, endpoints }) =
                    self.watcher.driver_inputs.recv().await
                    && kind != UpdateKind::Unavailable
                {
                    let workers = endpoints.iter().map(|e| format!("{} {:?}", e.worker.0, e.status));
                    return (kind, workers.collect());
                }
            }
        };
        timeout(UPDATE_DEADLINE, update).await.expect("no update in time")
    }

    /// Waits until the driver is notified that discovery is unavailable.
    pub async fn wait_until_unavailable(&mut self) {
        while !matches!(
            self.watcher.driver_inputs.recv().await,
            Some(DriverInput::EndpointsUpdated { kind: UpdateKind::Unavailable, .. })
        ) {}
    }

    pub fn is_ready(&self, worker: &str) -> bool {
        self.watcher.directory.is_ready(&WorkerId(worker.into()))
    }

    pub fn switch_to_new_agent(&self) {
        self.watcher.address.send(Some(address(NEW_AGENT))).unwrap();
    }
}

/// A connector that passes the agent's end of each connection to the test.
fn in_memory_connector(calls: mpsc::UnboundedSender<Call>, accepts_connections: Rc<Cell<bool>>) -> Connector {
    Rc::new(move |agent| {
        let (calls, accepts_connections) = (calls.clone(), accepts_connections.clone());
        Box::pin(async move {
            if !accepts_connections.get() {
                std::future::pending::<()>().await;
            }
            let (client_end, stream) = tokio::io::duplex(64 * 1024);
            let _ = calls.send(Call { agent, stream });
            Ok(Box::new(client_end) as Box<dyn DiscoveryStream>)
        })
    })
}

pub async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}
