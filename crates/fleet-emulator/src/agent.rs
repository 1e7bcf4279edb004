//! A discovery agent on the machine of one router: the worker list, and watches of its changes.

use crate::clock::{Micros, SECOND};
use crate::history::{History, Record, RouterIndex, WorkerIndex};
use crate::http::{Head, Reader, chunk};
use rand::Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// An empty line comes on a watch on which nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// An agent that was moved closes its open connections after this.
const MOVED_CLOSES_AFTER: Duration = Duration::from_millis(1_500);
/// What was missed on a silent watch counts as told this long after it fell silent.
pub const SILENT_WATCH_ALLOWANCE: Micros = 6 * SECOND;
/// What a new agent has counts as told this long after the router was told of it.
pub const MOVED_AGENT_ALLOWANCE: Micros = 4 * SECOND;

/// Whether a worker wants new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// A worker as the list names it.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointEntry {
    /// Its name.
    pub host: String,
    /// Where this router reaches it.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its kind.
    pub class: String,
    /// Its cell.
    pub block: u64,
    /// Whether it wants new work.
    pub health: Health,
    /// Its size.
    pub share: f64,
    /// When its process started, in milliseconds since 1970; 0 means long ago.
    pub born_ms: u64,
}

/// The whole list or its changes, as the wire has them.
#[derive(Debug, Serialize)]
pub struct ListMessage {
    seq: u64,
    whole: bool,
    hosts: Vec<EndpointEntry>,
}

/// What an agent knows.
#[derive(Clone, Debug, Default)]
struct Known {
    version: u64,
    /// Each worker's entry and the version that brought it.
    entries: BTreeMap<WorkerIndex, (u64, EndpointEntry)>,
}

impl Known {
    fn learn(&mut self, worker: WorkerIndex, entry: EndpointEntry) {
        self.version += 1;
        self.entries.insert(worker, (self.version, entry));
    }

    fn whole(&self) -> ListMessage {
        let alive = self.entries.values().filter(|(_, entry)| entry.health != Health::Gone);
        ListMessage { seq: self.version, whole: true, hosts: alive.map(|(_, entry)| entry.clone()).collect() }
    }

    fn changes_after(&self, version: u64) -> ListMessage {
        if version > self.version {
            return self.whole();
        }
        let changed = self.entries.values().filter(|(since, _)| *since > version);
        ListMessage {
            seq: self.version,
            whole: false,
            hosts: changed.map(|(_, entry)| entry.clone()).collect(),
        }
    }
}

/// How an agent is, as its connections see it.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// Discovery is down: the agent says nothing.
    is_down: bool,
    /// Connections opened before the so many-th are silent.
    silent_before: u64,
    /// Those opened before the so many-th are reset.
    reset_before: u64,
    /// Answers take so long.
    delay: Micros,
    /// Counts the changes of the list.
    version: u64,
    /// Counts the moves to another address.
    moves: u64,
}

/// The agent of one router.
#[derive(Debug)]
pub struct Agent {
    router: RouterIndex,
    history: History,
    known: Mutex<Known>,
    /// What discovery has for an agent that is down.
    missed: Mutex<Vec<(WorkerIndex, EndpointEntry)>>,
    condition: watch::Sender<Condition>,
    connections: Mutex<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// An agent that listens at this address.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn start(router: RouterIndex, address: SocketAddr, history: History) -> io::Result<Arc<Self>> {
        let agent = Arc::new(Agent {
            router,
            history,
            known: Mutex::default(),
            missed: Mutex::default(),
            condition: watch::Sender::default(),
            connections: Mutex::default(),
        });
        agent.clone().listen(address).await?;
        Ok(agent)
    }

    /// Moves to another address: the old one takes no new connection and closes the open ones soon.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub async fn move_to(self: Arc<Self>, address: SocketAddr) -> io::Result<()> {
        self.condition.send_modify(|condition| condition.moves += 1);
        self.listen(address).await
    }

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

    /// The list as the agent has it, for a router's configuration.
    pub fn list(&self) -> ListMessage {
        lock(&self.known).whole()
    }

    /// Tells the agent of a worker, at once or as soon as discovery is back.
    pub fn learn(&self, worker: WorkerIndex, entry: EndpointEntry) {
        if self.condition.borrow().is_down {
            lock(&self.missed).push((worker, entry));
            return;
        }
        let (router, is_ready) = (self.router, entry.health == Health::Ready);
        lock(&self.known).learn(worker, entry);
        let withdrawn = Record::WorkerWithdrawn { router, worker };
        self.history.add(if is_ready { Record::WorkerInService { router, worker } } else { withdrawn });
        self.condition.send_modify(|condition| condition.version += 1);
    }

    /// Takes discovery down or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.condition.send_modify(|condition| condition.is_down = is_down);
        if !is_down {
            for (worker, entry) in std::mem::take(&mut *lock(&self.missed)) {
                self.learn(worker, entry);
            }
        }
    }

    /// Lets the open watches fall silent.
    pub fn silence_watches(&self) {
        let opened = *lock(&self.connections);
        self.history
            .add(Record::DiscoveryDisturbed { router: self.router, allowance: SILENT_WATCH_ALLOWANCE });
        self.condition.send_modify(|condition| condition.silent_before = opened);
    }

    /// Resets the open watches.
    pub fn reset_watches(&self) {
        let opened = *lock(&self.connections);
        self.condition.send_modify(|condition| condition.reset_before = opened);
    }

    /// Makes answers take so long.
    pub fn set_delay(&self, delay: Micros) {
        self.condition.send_modify(|condition| condition.delay = delay);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, moves: u64) {
        let number = {
            let mut connections = lock(&self.connections);
            *connections += 1;
            *connections
        };
        let _ = stream.set_nodelay(true);
        let mut condition = self.condition.subscribe();
        let ended = async {
            tokio::select! {
                _ = condition.wait_for(|now| number <= now.reset_before) => {}
                () = async {
                    let _ = self.condition.subscribe().wait_for(|now| now.moves != moves).await;
                    tokio::time::sleep(MOVED_CLOSES_AFTER).await;
                } => {}
            }
        };
        let (input, output) = stream.into_split();
        tokio::select! {
            () = ended => {}
            _ = self.serve_calls(Reader::new(input), output, number) => {}
        }
    }

    async fn serve_calls(
        &self,
        mut input: Reader<impl tokio::io::AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
        number: u64,
    ) -> io::Result<()> {
        while let Some(head) = input.request().await? {
            let delay = self.condition.borrow().delay;
            tokio::time::sleep(Duration::from_micros(delay)).await;
            self.audible(number).await;
            if let Some(after) = watched_version(&head) {
                return self.serve_watch(after, &mut output, number).await;
            }
            let body = self.text(&self.list());
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            output.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// Waits until the agent may speak on a connection.
    async fn audible(&self, number: u64) {
        let is_audible = |now: &Condition| !now.is_down && number > now.silent_before;
        let _ = self.condition.subscribe().wait_for(is_audible).await;
    }

    async fn serve_watch(
        &self,
        after: u64,
        output: &mut (impl AsyncWrite + Unpin),
        number: u64,
    ) -> io::Result<()> {
        let mut condition = self.condition.subscribe();
        output.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
        let mut told = after;
        loop {
            condition.mark_unchanged();
            let message = lock(&self.known).changes_after(told);
            if !message.hosts.is_empty() || message.whole {
                told = message.seq;
                self.audible(number).await;
                self.write_in_pieces(output, &format!("{}\n", self.text(&message))).await?;
            }
            tokio::select! {
                _ = condition.changed() => {}
                () = tokio::time::sleep(HEARTBEAT) => {
                    self.audible(number).await;
                    output.write_all(&chunk("\n")).await?;
                }
            }
            self.audible(number).await;
        }
    }

    /// A message as text, indented now and then.
    fn text(&self, message: &ListMessage) -> String {
        let text = if rand::rng().random_bool(0.2) {
            serde_json::to_string_pretty(message)
        } else {
            serde_json::to_string(message)
        };
        text.unwrap_or_default()
    }

    async fn write_in_pieces(&self, output: &mut (impl AsyncWrite + Unpin), text: &str) -> io::Result<()> {
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
}

/// The version after which a call wants to watch; `None` for a call for the whole list.
fn watched_version(head: &Head) -> Option<u64> {
    let (_, query) = head.target.split_once('?')?;
    let pairs = || query.split('&').filter_map(|pair| pair.split_once('='));
    pairs().find(|(key, value)| *key == "watch" && *value == "1")?;
    pairs().find(|(key, _)| *key == "after").and_then(|(_, value)| value.parse().ok())
}
