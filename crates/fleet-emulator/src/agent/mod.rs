//! The discovery agent of one router, which serves the endpoint list and watches of it over HTTP.

mod endpoints;

pub use endpoints::{Endpoint, EndpointMessage, Health};

use crate::history::History;
use crate::http::{Head, MessageReader, encode_chunk};
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

/// The interval of heartbeats on a watch without changes. A heartbeat is an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The time from the move of an agent until it closes the connections to its old address.
const CLOSE_DELAY_AFTER_MOVE: Duration = Duration::from_millis(1_500);
/// The time that a router has to learn the changes missed on a stalled watch, counted from the stall.
pub const STALLED_WATCH_ALLOWANCE: Duration = Duration::from_secs(6);
/// The time that a router has to learn the endpoint list of a moved agent, counted from the move.
pub const MOVED_AGENT_ALLOWANCE: Duration = Duration::from_secs(4);
/// The share of messages that are indented JSON, so that routers are tested with both forms.
const INDENTED_MESSAGE_SHARE: f64 = 0.2;

/// The state of an agent, which the tasks of its connections observe.
#[derive(Clone, Copy, Debug, Default)]
struct AgentState {
    /// Whether the agent sends no data.
    is_unavailable: bool,
    /// The number of the last connection that is stalled. All earlier ones are stalled too.
    stalled_up_to: u64,
    /// The number of the last connection that is closed by a reset of watches, as are all earlier ones.
    reset_up_to: u64,
    /// The delay before each response.
    response_delay: Duration,
    /// The number of updates of the endpoint list. A change wakes the tasks of the watches.
    version: u64,
    /// The number of moves to another address so far.
    moves: u64,
}

/// The discovery agent of one router.
#[derive(Debug)]
pub struct Agent {
    router: RouterIndex,
    history: History,
    endpoints: Mutex<EndpointList>,
    /// The updates that arrived while the agent was unavailable, which it applies as soon as it is available.
    deferred_updates: Mutex<Vec<(WorkerIndex, Vec<Endpoint>)>>,
    state: watch::Sender<AgentState>,
    /// The number of connections accepted so far.
    accepted_connections: Mutex<u64>,
}

impl Agent {
    /// Starts an agent that listens on an address.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub async fn start(router: RouterIndex, address: SocketAddr, history: History) -> io::Result<Arc<Self>> {
        let agent = Arc::new(Agent {
            router,
            history,
            endpoints: Mutex::default(),
            deferred_updates: Mutex::default(),
            state: watch::Sender::default(),
            accepted_connections: Mutex::default(),
        });
        agent.clone().listen(address).await?;
        Ok(agent)
    }

    /// Moves the agent to another address. It accepts no more connections on the old one and closes the open
    /// ones after a delay.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub async fn move_to(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        self.state.send_modify(|state| state.moves += 1);
        self.listen(address).await
    }

    /// Accepts connections on an address until the agent moves.
    async fn listen(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let mut state = self.state.subscribe();
        let moves = state.borrow_and_update().moves;
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = state.wait_for(|state| state.moves != moves) => return,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        tokio::spawn(self.clone().serve(stream, moves));
                    }
                }
            }
        });
        Ok(())
    }

    /// A snapshot of the endpoint list. The configuration of a router contains the list in the same form.
    pub fn snapshot(&self) -> EndpointMessage {
        lock(&self.endpoints).snapshot()
    }

    /// Updates the endpoints of a worker, of which the first is the primary one. An unavailable agent defers
    /// the update until it is available.
    pub fn update(&self, worker: WorkerIndex, endpoints: Vec<Endpoint>) {
        if self.state.borrow().is_unavailable {
            lock(&self.deferred_updates).push((worker, endpoints));
            return;
        }
        let router = self.router;
        let is_ready = endpoints.first().is_some_and(|endpoint| endpoint.health == Health::Ready);
        lock(&self.endpoints).update(worker, endpoints);
        let in_service = Record::WorkerInService { router, worker };
        let withdrawn = Record::WorkerWithdrawn { router, worker };
        self.history.add(if is_ready { in_service } else { withdrawn });
        self.state.send_modify(|state| state.version += 1);
    }

    /// Makes the agent unavailable or available. While unavailable, it sends no data and defers updates.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state.send_modify(|state| state.is_unavailable = is_unavailable);
        if !is_unavailable {
            for (worker, endpoints) in std::mem::take(&mut *lock(&self.deferred_updates)) {
                self.update(worker, endpoints);
            }
        }
    }

    /// Stalls the open connections: they stay open, but no more data is sent on them.
    pub fn stall_watches(&self) {
        let last_connection = *lock(&self.accepted_connections);
        self.history
            .add(Record::DiscoveryDisrupted { router: self.router, allowance: STALLED_WATCH_ALLOWANCE });
        self.state.send_modify(|state| state.stalled_up_to = last_connection);
    }

    /// Closes the open connections, also in the middle of a message.
    pub fn reset_watches(&self) {
        let last_connection = *lock(&self.accepted_connections);
        self.state.send_modify(|state| state.reset_up_to = last_connection);
    }

    /// Sets the delay before each response.
    pub fn set_response_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.response_delay = delay);
    }

    /// Serves a connection until it closes, is reset, or the agent has moved.
    async fn serve(self: Arc<Self>, stream: TcpStream, moves: u64) {
        let connection = self.next_connection_number();
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        tokio::select! {
            () = self.wait_for_reset(connection) => {}
            () = self.wait_to_close_after_move(moves) => {}
            _ = self.serve_calls(MessageReader::new(input), output, connection) => {}
        }
    }

    fn next_connection_number(&self) -> u64 {
        let mut accepted = lock(&self.accepted_connections);
        *accepted += 1;
        *accepted
    }

    async fn wait_for_reset(&self, connection: u64) {
        let _ = self.state.subscribe().wait_for(|state| connection <= state.reset_up_to).await;
    }

    async fn wait_to_close_after_move(&self, moves: u64) {
        let _ = self.state.subscribe().wait_for(|state| state.moves != moves).await;
        tokio::time::sleep(CLOSE_DELAY_AFTER_MOVE).await;
    }

    /// Waits while the agent is unavailable or the connection is stalled.
    async fn wait_until_sendable(&self, connection: u64) {
        let may_send = |state: &AgentState| !state.is_unavailable && connection > state.stalled_up_to;
        let _ = self.state.subscribe().wait_for(may_send).await;
    }

    async fn serve_calls(
        &self,
        mut input: MessageReader<impl AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
        connection: u64,
    ) -> io::Result<()> {
        while let Some(head) = input.read_request().await? {
            let delay = self.state.borrow().response_delay;
            tokio::time::sleep(delay).await;
            self.wait_until_sendable(connection).await;
            if let Some(version) = watched_version(&head) {
                return self.serve_watch(version, &mut output, connection).await;
            }
            let body = encode(&self.snapshot());
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            output.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    /// Streams the changes since a version, and heartbeats while there are none.
    async fn serve_watch(
        &self,
        version: u64,
        output: &mut (impl AsyncWrite + Unpin),
        connection: u64,
    ) -> io::Result<()> {
        let mut state = self.state.subscribe();
        output.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        let mut sent_version = version;
        loop {
            state.mark_unchanged();
            let message = lock(&self.endpoints).delta_since(sent_version);
            if !message.endpoints.is_empty() || message.is_snapshot {
                sent_version = message.version;
                self.wait_until_sendable(connection).await;
                write_in_two_chunks(output, &format!("{}\n", encode(&message))).await?;
            }
            tokio::select! {
                _ = state.changed() => {}
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    self.wait_until_sendable(connection).await;
                    output.write_all(&encode_chunk("\n")).await?;
                }
            }
            self.wait_until_sendable(connection).await;
        }
    }
}

/// Encodes a message as JSON, and indents a random share of the messages.
fn encode(message: &EndpointMessage) -> String {
    let text = if rand::rng().random_bool(INDENTED_MESSAGE_SHARE) {
        serde_json::to_string_pretty(message)
    } else {
        serde_json::to_string(message)
    };
    text.unwrap_or_default()
}

/// Writes a message in two chunks, because routers must not rely on one chunk per message.
async fn write_in_two_chunks(output: &mut (impl AsyncWrite + Unpin), message: &str) -> io::Result<()> {
    let split = rand::rng().random_range(0..message.len());
    let split = (0..=split).rev().find(|at| message.is_char_boundary(*at)).unwrap_or(0);
    for piece in [&message[..split], &message[split..]] {
        if !piece.is_empty() {
            output.write_all(&encode_chunk(piece)).await?;
            output.flush().await?;
        }
    }
    Ok(())
}

/// The version after which a call watches the list, or `None` if the call asks for a snapshot.
fn watched_version(head: &Head) -> Option<u64> {
    let (_, query) = head.target.split_once('?')?;
    let pairs = || query.split('&').filter_map(|pair| pair.split_once('='));
    pairs().find(|(key, value)| *key == "watch" && *value == "1")?;
    pairs().find(|(key, _)| *key == "after").and_then(|(_, value)| value.parse().ok())
}
