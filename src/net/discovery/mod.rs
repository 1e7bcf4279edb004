//! Discovery: the list of model hosts and the watch of its changes. While discovery is silent the list stands.

use crate::hashing::unit_interval;
use crate::interface::{Endpoint, Role, Settings, UpdateKind, WorkerId, WorkerKind, WorkerStatus};
use crate::net::Local;
use crate::net::socket::{Socket, connect};
use crate::runtime::counters::Counters;
use crate::runtime::{DriverHandle, DriverInput};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tower::{Service, ServiceExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A change counts as told this long after discovery had it and could be reached, whatever failed before.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// A watch on which no line, not even an empty one, ends for this long is dead: those come every 2 s.
const SILENCE: Duration = Duration::from_secs(3);
/// An object that has begun on a watch has to come whole within this, however its lines drip, and behind one that can't
/// be read another has to come: else the change that it was is asked for again.
const WHOLE_WITHIN: Duration = Duration::from_millis(3_500);
/// A call to the agent on this machine, which answers at once, is given up after this, connecting included.
const ANSWER: Duration = Duration::from_secs(1);
/// Where lists come on request a call may have to wait its turn, and discovery itself fails it after 2 s: who gives up
/// before that asks again from the end of the line, and the call left behind is served for nobody.
const ANSWER_IN_TURN: Duration = Duration::from_millis(2_250);
/// The longest pause where asking costs nothing: the agent is on this machine, and what it learns counts at once. After
/// silence there is none, for a call that is waiting when it speaks again is answered first.
const PAUSE: Duration = Duration::from_millis(200);
/// Where lists come on request, each conductor's part of it: all of them together make 25 calls a second on average.
/// There, discovery is one service for all. They start, lose their watches and fail together, and calls that come
/// faster than it works them off keep it at work on calls that it has failed already.
const PAUSE_EACH: Duration = Duration::from_millis(40);
/// Failures in a row that double the pause.
const MAX_DOUBLINGS: u32 = 2;
/// Workers remembered as withdrawn: more than drain between two looks at an agent that lags.
const MOST_WITHDRAWN: usize = 512;
/// The longest object that is read: thousands of hosts.
const MOST_LINE: usize = 4 * 1024 * 1024;

/// A message of discovery: the whole list or its changes.
#[derive(Clone, Debug, Deserialize)]
pub struct ListMessage {
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<HostEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct HostEntry {
    host: String,
    dial: Option<SocketAddr>,
    #[serde(default)]
    site: String,
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(default, rename = "block")]
    cell: u64,
    health: Health,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Ready,
    Draining,
    Gone,
}

/// A list or its changes, in the words of the domain.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// The version.
    pub seq: u64,
    /// Whether all others are gone.
    pub whole: bool,
    /// The entries, with the addresses they are reached at.
    pub entries: Vec<(Endpoint, Option<SocketAddr>)>,
}

impl From<ListMessage> for EndpointUpdate {
    fn from(message: ListMessage) -> Self {
        let entry = |h: HostEntry| {
            let status = match h.health {
                Health::Ready => WorkerStatus::Ready,
                Health::Draining => WorkerStatus::Draining,
                Health::Gone => WorkerStatus::Gone,
            };
            let started = (h.born_ms > 0.0).then_some((h.born_ms * 1000.0) as u64);
            let worker = WorkerId(h.host.into());
            let entry = Endpoint {
                worker,
                zone: h.site,
                kind: h.kind,
                cell: h.cell,
                status,
                weight: h.share,
                started_at: started,
            };
            (entry, h.dial)
        };
        let entries = message.hosts.into_iter().map(entry).collect();
        EndpointUpdate { seq: message.seq, whole: message.whole, entries }
    }
}

struct Host {
    address: Option<SocketAddr>,
    status: WorkerStatus,
    kind: String,
    started: Option<u64>,
}

/// What the list says now, for whoever is about to send.
#[derive(Default)]
pub struct Directory {
    hosts: RefCell<HashMap<WorkerId, Host>>,
    seq: Cell<u64>,
    withdrawn: RefCell<Withdrawn>,
}

/// Workers last heard to drain or to be gone, with the start of the life in which that was so.
#[derive(Default)]
struct Withdrawn(VecDeque<(WorkerId, Option<u64>)>);

impl Withdrawn {
    fn note(&mut self, worker: &WorkerId, started: Option<u64>) {
        self.forget(worker);
        self.0.push_back((worker.clone(), started));
        if self.0.len() > MOST_WITHDRAWN {
            self.0.pop_front();
        }
    }

    fn forget(&mut self, worker: &WorkerId) {
        self.0.retain(|(known, _)| known != worker);
    }

    fn contains(&self, worker: &WorkerId, started: Option<u64>) -> bool {
        self.0.iter().any(|(known, life)| known == worker && *life == started)
    }
}

impl Directory {
    /// Takes a listing in; gives back the hosts whose connections are of an earlier life, or that are gone.
    pub fn apply(&self, listing: &EndpointUpdate) -> Vec<WorkerId> {
        let mut hosts = self.hosts.borrow_mut();
        let mut withdrawn = self.withdrawn.borrow_mut();
        self.seq.set(listing.seq);
        if listing.whole {
            hosts.values_mut().for_each(|h| h.status = WorkerStatus::Gone);
        }
        let mut reborn = Vec::new();
        for (entry, address) in &listing.entries {
            let old = hosts.get(&entry.worker);
            let address = address.or_else(|| old.and_then(|h| h.address));
            if old.is_some_and(|h| h.started != entry.started_at || h.address != address) {
                reborn.push(entry.worker.clone());
            }
            match entry.status {
                WorkerStatus::Ready => withdrawn.forget(&entry.worker),
                WorkerStatus::Draining | WorkerStatus::Gone => {
                    withdrawn.note(&entry.worker, entry.started_at)
                }
            }
            let host =
                Host { address, status: entry.status, kind: entry.kind.clone(), started: entry.started_at };
            hosts.insert(entry.worker.clone(), host);
        }
        // Machines are replaced under new ids for as long as this runs: what is gone is forgotten here, and its
        // idle connections with it.
        hosts.retain(|worker, host| {
            if host.status == WorkerStatus::Gone {
                withdrawn.note(worker, host.started);
                reborn.push(worker.clone());
            }
            host.status != WorkerStatus::Gone
        });
        reborn
    }

    /// Corrects a listing of another agent that is older than what is held: what was heard to drain or to be gone
    /// gets nothing new for an agent that has not heard of it yet.
    pub fn keep_withdrawn(&self, listing: &mut EndpointUpdate) {
        if listing.seq >= self.seq.get() {
            return;
        }
        let withdrawn = self.withdrawn.borrow();
        for (entry, _) in &mut listing.entries {
            if entry.status == WorkerStatus::Ready && withdrawn.contains(&entry.worker, entry.started_at) {
                entry.status = WorkerStatus::Draining;
            }
        }
    }

    /// A host's address.
    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.hosts.borrow().get(worker)?.address
    }

    /// Whether a host may be sent new work at this moment.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.hosts.borrow().get(worker).is_some_and(|h| h.status == WorkerStatus::Ready)
    }

    /// All hosts in service, and after them those that drain: any of them takes a release.
    pub fn running(&self) -> Vec<WorkerId> {
        let hosts = self.hosts.borrow();
        let mut running: Vec<(&WorkerId, &Host)> = hosts.iter().collect();
        running.sort_by_key(|(_, h)| h.status != WorkerStatus::Ready);
        running.into_iter().map(|(w, _)| w.clone()).collect()
    }

    /// Whether hosts in service can do both stages between them.
    pub fn can_serve(&self, kinds: &[WorkerKind]) -> bool {
        let hosts = self.hosts.borrow();
        let role = |h: &Host| kinds.iter().find(|k| k.name == h.kind).map_or(Role::Unified, |k| k.role);
        let has = |wanted| hosts.values().any(|h| h.status == WorkerStatus::Ready && role(h) == wanted);
        has(Role::Unified) || has(Role::Prefill) && has(Role::Decode)
    }
}

/// A connection to discovery.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Connects to discovery.
pub type Dial = Rc<dyn Fn(SocketAddr) -> Local<io::Result<Box<dyn Stream>>>>;

/// Connects over TCP.
pub fn dial_tcp() -> Dial {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = connect(address, Instant::now() + ANSWER).await?;
            Ok(Box::new(Socket::new(Rc::new(stream))) as Box<dyn Stream>)
        })
    })
}

/// A call to discovery, given by its path and query.
#[derive(Clone)]
pub struct Discovery {
    address: SocketAddr,
    dial: Dial,
}

impl Service<String> for Discovery {
    type Response = Response<Incoming>;
    type Error = Box<dyn std::error::Error>;
    type Future = Local<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, target: String) -> Self::Future {
        let connecting = (self.dial)(self.address);
        Box::pin(async move {
            let stream = connecting.await?;
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(connection);
            let request = Request::get(target).header("host", "discovery").body(Empty::<Bytes>::new())?;
            let response = sender.send_request(request).await?;
            if response.status() != 200 {
                return Err(format!("discovery answered {}", response.status()).into());
            }
            Ok(response)
        })
    }
}

/// What was found in the bytes of a watch.
enum Taken {
    /// Nothing that is whole.
    Nothing,
    /// An object or more; the last one could be read.
    Objects,
    /// The last object could not be read.
    Unreadable,
}

/// Follows discovery for as long as the conductor runs.
pub struct EndpointWatcher {
    /// What it keeps.
    pub directory: Rc<Directory>,
    /// Whom it tells.
    pub driver: DriverHandle,
    /// Called for hosts whose idle connections are of no more use.
    pub close_idle_connections: Box<dyn Fn(&WorkerId)>,
    /// Asks for the whole list.
    pub poll_requested: Rc<Notify>,
    /// How it connects.
    pub dial: Dial,
    /// When it calls.
    pub pace: Backoff,
    /// The newest version that the agent followed now has told.
    pub agent_version: Cell<Option<u64>>,
    /// Counters.
    pub counters: Rc<Counters>,
}

/// Discovery has said nothing for this long.
#[derive(Debug, thiserror::Error)]
#[error("nothing heard for {0:?}")]
struct Silent(Duration);

/// Waits so long for a sign of life.
async fn heard_within<T>(limit: Duration, sign: impl Future<Output = T>) -> Result<T, Silent> {
    tokio::time::timeout(limit, sign).await.map_err(|_| Silent(limit))
}

/// When to call discovery, again or at first.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The longest pause after a first failure, where calls wait their turn.
    longest: Duration,
    /// When a call is given up.
    answer: Duration,
    /// Whether lists come on request: calls wait their turn, and the first one is spread, too.
    each_in_turn: bool,
    /// Differs between conductors and between their starts.
    seed: u64,
}

impl Backoff {
    /// The pace that suits a deployment.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let each_in_turn = settings.watch_required;
        let longest = PAUSE.max(PAUSE_EACH * settings.replica_count);
        let answer = if each_in_turn { ANSWER_IN_TURN } else { ANSWER };
        Backoff { longest, answer, each_in_turn, seed }
    }

    /// How long to wait after so many failures in a row: by chance, up to a bound that doubles, so that conductors
    /// that fail together don't ask together. Discovery may have been back for as long as it was `silent` to the last
    /// call or watch: that, the pause and the next call fit in what a change may take.
    pub fn pause(&self, failures: u32, silent: Duration) -> Duration {
        let longest = match (self.each_in_turn, silent) {
            (false, Duration::ZERO) => PAUSE,
            (false, _) => Duration::ZERO,
            (true, _) => {
                let most = TOLD_WITHIN.saturating_sub(silent).saturating_sub(ANSWER_IN_TURN);
                most.min(self.longest * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS)))
            }
        };
        longest.mul_f64(unit_interval(xxh3_64_with_seed(&failures.to_le_bytes(), self.seed)))
    }
}

impl EndpointWatcher {
    /// Takes a listing in and tells the core.
    pub fn take(&self, listing: EndpointUpdate, kind: UpdateKind) {
        for (entry, _) in &listing.entries {
            let level = if kind == UpdateKind::Delta { log::Level::Info } else { log::Level::Debug };
            let Endpoint { worker, zone, kind, cell, status, .. } = entry;
            log::log!(level, "discovery: {} ({kind}, {zone}, cell {cell}) is {status:?}", worker.0);
        }
        for worker in self.directory.apply(&listing) {
            (self.close_idle_connections)(&worker);
        }
        let entries = listing.entries.into_iter().map(|(entry, _)| entry).collect();
        self.driver.submit(DriverInput::EndpointsUpdated { kind, endpoints: entries });
    }

    /// Takes in what an agent tells, if it is of use: versions never run backwards within one agent, and an agent that
    /// has just started may know nobody yet, which is no reason to think that all have gone.
    fn take_news(&self, mut listing: EndpointUpdate) {
        let seq = listing.seq;
        if self.agent_version.get().is_some_and(|newest| seq < newest) {
            log::warn!("discovery: version {seq} is older than what this agent has told: not taken");
            return;
        }
        if listing.whole && listing.entries.is_empty() {
            log::warn!("discovery: version {seq} is a whole list without entries: not taken");
            return;
        }
        self.agent_version.set(Some(seq));
        self.directory.keep_withdrawn(&mut listing);
        let kind = if listing.whole { UpdateKind::Snapshot } else { UpdateKind::Delta };
        self.take(listing, kind);
    }

    /// Watches until the task ends; what breaks is begun again, from the version held. Where the address changes,
    /// the watch moves at once.
    pub async fn follow(self, mut address: watch::Receiver<Option<SocketAddr>>) {
        let mut failures = 0u32;
        // The list held is the configuration's or this agent's. Versions of another one say nothing of it, so that
        // one is asked for its whole list before its changes.
        let mut whole = false;
        if self.pace.each_in_turn {
            tokio::time::sleep(self.pace.pause(0, Duration::ZERO)).await;
        }
        loop {
            let Some(at) = *address.borrow_and_update() else {
                if address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let ended = tokio::select! {
                biased;
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    (whole, failures) = (true, 0);
                    self.agent_version.set(None);
                    continue;
                }
                ended = self.watching(at, &mut whole, &mut failures) => ended,
            };
            self.counters.watches_lost.increment();
            // Once for each outage: it may last long.
            let level = if failures == 0 { log::Level::Warn } else { log::Level::Debug };
            let error = ended.err();
            let silent =
                error.as_ref().and_then(|e| e.downcast_ref::<Silent>()).map_or(Duration::ZERO, |s| s.0);
            let why = error.map_or_else(|| "the watch ended".to_owned(), |error| error.to_string());
            log::log!(level, "discovery: {why}; the list stands");
            failures = failures.saturating_add(1);
            self.driver.submit(DriverInput::EndpointsUpdated {
                kind: UpdateKind::Unavailable,
                endpoints: Vec::new(),
            });
            tokio::select! {
                _ = address.changed() => {
                    (whole, failures) = (true, 0);
                    self.agent_version.set(None);
                }
                () = tokio::time::sleep(self.pace.pause(failures, silent)) => {}
            }
        }
    }

    async fn watching(
        &self,
        address: SocketAddr,
        whole: &mut bool,
        failures: &mut u32,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let mut discovery = Discovery { address, dial: self.dial.clone() };
        if *whole {
            let listing = heard_within(self.pace.answer, self.fetch(&mut discovery)).await??;
            // An agent that has just started may know nobody yet: no reason to think that all have gone.
            if listing.entries.is_empty() {
                return Err("the whole list is empty".into());
            }
            self.take_news(listing);
            *whole = false;
        }
        let target = format!("/v1/servers?watch=1&after={}", self.directory.seq.get());
        let response = heard_within(self.pace.answer, discovery.ready().await?.call(target)).await??;
        if std::mem::take(failures) > 0 {
            log::info!("discovery: watched again after version {}", self.directory.seq.get());
        }
        let body = response.into_body();
        tokio::select! {
            ended = self.watch(body) => ended,
            // Where the module asks for the whole list, it comes beside the watch.
            error = async {
                loop {
                    self.poll_requested.notified().await;
                    match heard_within(self.pace.answer, self.fetch(&mut discovery)).await {
                        Ok(Ok(listing)) => self.take_news(listing),
                        Ok(Err(error)) => break error,
                        Err(error) => break error.into(),
                    }
                }
            } => Err(error),
        }
    }

    async fn watch(&self, mut body: Incoming) -> Result<(), Box<dyn std::error::Error>> {
        let (mut text, mut heard) = (BytesMut::new(), Instant::now());
        // Since when an object has not come whole, or could not be read: lines alone are no sign of life then.
        let mut owed: Option<Instant> = None;
        loop {
            let limit = owed.map_or(heard + SILENCE, |owed| (owed + WHOLE_WITHIN).min(heard + SILENCE));
            let frame = tokio::time::timeout_at(limit, body.frame()).await.map_err(|_| Silent(SILENCE))?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            // Bytes that end no line are no sign of life.
            if data.contains(&b'\n') {
                heard = Instant::now();
            }
            text.extend_from_slice(&data);
            match self.take_whole(&mut text) {
                Taken::Objects => owed = None,
                Taken::Unreadable => _ = owed.get_or_insert_with(Instant::now),
                Taken::Nothing => {}
            }
            if !text.is_empty() {
                owed.get_or_insert_with(Instant::now);
            }
            if text.len() > MOST_LINE {
                return Err("a line without end".into());
            }
        }
    }

    /// Takes in what has come whole. An object may be written over several lines; what is none, and can't become one,
    /// is skipped to the end of its line.
    fn take_whole(&self, text: &mut BytesMut) -> Taken {
        let mut taken = Taken::Nothing;
        loop {
            let begin = text.len() - text.trim_ascii_start().len();
            text.advance(begin);
            // Only behind a closing brace: a long object in many pieces is not read anew at each of them.
            if !text.trim_ascii_end().ends_with(b"}") && !text.contains(&b'\n') {
                return taken;
            }
            let mut objects = serde_json::Deserializer::from_slice(text).into_iter::<ListMessage>();
            match objects.next() {
                Some(Ok(message)) => {
                    text.advance(objects.byte_offset());
                    taken = Taken::Objects;
                    self.take_news(message.into());
                }
                Some(Err(error)) if !error.is_eof() => {
                    log::warn!("discovery: what can't be read: {error}");
                    if text.starts_with(b"{") {
                        taken = Taken::Unreadable;
                    }
                    let end = text.iter().position(|b| *b == b'\n').map_or(text.len(), |end| end + 1);
                    text.advance(end);
                }
                _ => return taken,
            }
        }
    }

    /// Asks once for the whole list.
    async fn fetch(&self, discovery: &mut Discovery) -> Result<EndpointUpdate, Box<dyn std::error::Error>> {
        let response = discovery.ready().await?.call("/v1/servers".into()).await?;
        let body = http_body_util::Limited::new(response.into_body(), MOST_LINE).collect().await;
        let message = serde_json::from_slice::<ListMessage>(&body.map_err(|e| e.to_string())?.to_bytes())?;
        Ok(EndpointUpdate { whole: true, ..message.into() })
    }
}
