//! The discovery agent of one router: it serves the endpoint list and watches of its changes.

mod endpoints;

pub use endpoints::{Endpoint, EndpointMessage, Health};

use crate::history::History;
use crate::http::{Head, MessageReader, chunk};
use crate::record::{Record, RouterIndex, WorkerIndex};
use crate::sync::lock;
use endpoints::EndpointList;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The interval of empty lines on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// An agent that has moved closes its open connections after this time.
const MOVED_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// The time from the stall of a watch until its router has to know of the changes that it missed.
pub const STALLED_WATCH_ALLOWANCE: Duration = Duration::from_secs(6);
/// The time from the move of an agent until its router has to know of the changes that the new agent has.
pub const MOVED_AGENT_ALLOWANCE: Duration = Duration::from_secs(4);
/// The share of messages that are indented, which routers have to parse as well.
const INDENTED_SHARE: f64 = 0.2;

/// The state of an agent that its connections follow.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// Whether the agent sends nothing.
    is_unavailable: bool,
    /// The number of the last connection that has stalled.
    stalled_up_to: u64,
    /// The number of the last connection that is reset.
    reset_up_to: u64,
    /// The time that a response takes.
    response_delay: Duration,
    /// The number of changes of the endpoint list.
    version: u64,
    /// The number of moves to another address.
    moves: u64,
}

/// The discovery agent of one router.
#[derive(Debug)]
pub struct Agent {
    router: RouterIndex,
    history: History,
    endpoints: Mutex<EndpointList>,
    /// The updates that an unavailable agent receives as soon as it is available again.
    pending: Mutex<Vec<(WorkerIndex, Vec<Endpoint>)>>,
    condition: watch::Sender<Condition>,
    /// The number of connections so far.
    connections: Mutex<u64>,
}

impl Agent {
    /// Starts an agent that listens at an address.
    ///
    /// # Errors
    /// The address is in use.
    pub async fn start(router: RouterIndex, address: SocketAddr, history: History) -> io::Result<Arc<Self>> {
        let agent = Arc::new(Agent {
            router,
            history,
            endpoints: Mutex::default(),
            pending: Mutex::default(),
            condition: watch::Sender::default(),
            connections: Mutex::default(),
        });
        agent.clone().listen(address).await?;
        Ok(agent)
    }

    /// Moves to another address. At the old one, no new connections are accepted and open ones are closed soon.
    ///
    /// # Errors
    /// The address is in use.
    pub async fn move_to(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        self.condition.send_modify(|condition| condition.moves += 1);
        self.listen(address).await
    }

    /// Accepts connections at an address until the agent moves away.
    async fn listen(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let mut condition = self.condition.subscribe();
        let moves = condition.borrow_and_update().moves;
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = condition.wait_for(|now| now.moves != moves) => return,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        tokio::spawn(self.clone().serve(stream, moves));
                    }
                }
            }
        });
        Ok(())
    }

    /// All endpoints that the agent knows, as they stand in a router's configuration.
    pub fn snapshot(&self) -> EndpointMessage {
        lock(&self.endpoints).snapshot()
    }

    /// Updates the entries of a worker, or, while the agent is unavailable, as soon as it is available again. The first
    /// entry is the worker's own; the others are further names of it.
    pub fn update(&self, worker: WorkerIndex, entries: Vec<Endpoint>) {
        if self.condition.borrow().is_unavailable {
            lock(&self.pending).push((worker, entries));
            return;
        }
        let router = self.router;
        let is_ready = entries.first().is_some_and(|endpoint| endpoint.health == Health::Ready);
        lock(&self.endpoints).update(worker, entries);
        let withdrawn = Record::WorkerWithdrawn { router, worker };
        self.history.add(if is_ready { Record::WorkerInService { router, worker } } else { withdrawn });
        self.condition.send_modify(|condition| condition.version += 1);
    }

    /// Makes the agent unavailable or available: an unavailable one sends nothing and receives no updates.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.condition.send_modify(|condition| condition.is_unavailable = is_unavailable);
        if !is_unavailable {
            for (worker, entries) in std::mem::take(&mut *lock(&self.pending)) {
                self.update(worker, entries);
            }
        }
    }

    /// Stalls the open connections: nothing more is sent on them, and they stay open.
    pub fn stall_watches(&self) {
        let opened = *lock(&self.connections);
        self.history
            .add(Record::DiscoveryDisturbed { router: self.router, allowance: STALLED_WATCH_ALLOWANCE });
        self.condition.send_modify(|condition| condition.stalled_up_to = opened);
    }

    /// Resets the open connections.
    pub fn reset_watches(&self) {
        let opened = *lock(&self.connections);
        self.condition.send_modify(|condition| condition.reset_up_to = opened);
    }

    /// Sets the time that a response takes.
    pub fn set_response_delay(&self, delay: Duration) {
        self.condition.send_modify(|condition| condition.response_delay = delay);
    }

    /// Serves a connection until it ends, is reset or the agent has moved away.
    async fn serve(self: Arc<Self>, stream: TcpStream, moves: u64) {
        let connection = self.next_connection();
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        tokio::select! {
            () = self.until_reset(connection) => {}
            () = self.until_moved_away(moves) => {}
            _ = self.serve_calls(MessageReader::new(input), output, connection) => {}
        }
    }

    fn next_connection(&self) -> u64 {
        let mut connections = lock(&self.connections);
        *connections += 1;
        *connections
    }

    async fn until_reset(&self, connection: u64) {
        let _ = self.condition.subscribe().wait_for(|now| connection <= now.reset_up_to).await;
    }

    async fn until_moved_away(&self, moves: u64) {
        let _ = self.condition.subscribe().wait_for(|now| now.moves != moves).await;
        tokio::time::sleep(MOVED_CLOSE_DELAY).await;
    }

    /// Waits until the agent may send on a connection.
    async fn until_sending(&self, connection: u64) {
        let may_send = |now: &Condition| !now.is_unavailable && connection > now.stalled_up_to;
        let _ = self.condition.subscribe().wait_for(may_send).await;
    }

    async fn serve_calls(
        &self,
        mut input: MessageReader<impl AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
        connection: u64,
    ) -> io::Result<()> {
        while let Some(head) = input.read_request().await? {
            let delay = self.condition.borrow().response_delay;
            tokio::time::sleep(delay).await;
            self.until_sending(connection).await;
            if let Some(version) = watched_version(&head) {
                return self.serve_watch(version, &mut output, connection).await;
            }
            let body = encode(&self.snapshot());
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            output.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    /// Streams the changes after a version, and heartbeats while there are none.
    async fn serve_watch(
        &self,
        version: u64,
        output: &mut (impl AsyncWrite + Unpin),
        connection: u64,
    ) -> io::Result<()> {
        let mut condition = self.condition.subscribe();
        output.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        let mut sent_version = version;
        loop {
            condition.mark_unchanged();
            let message = lock(&self.endpoints).changes_after(sent_version);
            if !message.endpoints.is_empty() || message.is_snapshot {
                sent_version = message.version;
                self.until_sending(connection).await;
                write_in_two_chunks(output, &format!("{}\n", encode(&message))).await?;
            }
            tokio::select! {
                _ = condition.changed() => {}
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    self.until_sending(connection).await;
                    output.write_all(&chunk("\n")).await?;
                }
            }
            self.until_sending(connection).await;
        }
    }
}

/// Encodes a message as JSON, indented or not.
fn encode(message: &EndpointMessage) -> String {
    let text = if rand::rng().random_bool(INDENTED_SHARE) {
        serde_json::to_string_pretty(message)
    } else {
        serde_json::to_string(message)
    };
    text.unwrap_or_default()
}

/// Writes a text in two chunks, so that routers can't rely on one chunk for each message.
async fn write_in_two_chunks(output: &mut (impl AsyncWrite + Unpin), text: &str) -> io::Result<()> {
    let cut = rand::rng().random_range(0..text.len());
    let cut = (0..=cut).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    for piece in [&text[..cut], &text[cut..]] {
        if !piece.is_empty() {
            output.write_all(&chunk(piece)).await?;
            output.flush().await?;
        }
    }
    Ok(())
}

/// The version whose later changes a call wants to watch; `None` for a call that wants the whole list.
fn watched_version(head: &Head) -> Option<u64> {
    let (_, query) = head.target.split_once('?')?;
    let pairs = || query.split('&').filter_map(|pair| pair.split_once('='));
    pairs().find(|(key, value)| *key == "watch" && *value == "1")?;
    pairs().find(|(key, _)| *key == "after").and_then(|(_, value)| value.parse().ok())
}
