//! Workers: prefill workers read prompts and hold their KV cache, decode workers take it over and stream answers.

use crate::clock::{self, MILLISECOND, Micros, SECOND};
use crate::history::{CallKind, ConnectionNumber, History, Record, RequestId, Role, WorkerIndex};
use crate::http::{Head, Reader, chunk};
use rand::Rng;
use serde::Deserialize;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, WriteHalf};
use tokio::sync::{Semaphore, watch};

/// The path of calls that release what is held for a request.
const RELEASE_PATH: &str = "/internal/reservations/";
/// The head of a stream.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// A call that hangs holds its slot for this long.
const HANG: Duration = Duration::from_secs(20);
/// Most events of an answer.
const MAX_EVENTS: u64 = 24;
/// Tokens that one event holds.
const TOKENS_PER_EVENT: u64 = 4;
/// Bytes of an answer that never becomes one.
const ENDLESS_BYTES: usize = 256 * 1024;
/// A second answer comes up to this long after the first: less than connections rest between two requests.
const SECOND_ANSWER_WITHIN: Micros = 15 * MILLISECOND;

/// What a worker is and how fast.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Its place in the fleet.
    pub index: WorkerIndex,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: u64,
    /// Its cell.
    pub cell: u64,
    /// Requests that it serves at once.
    pub slots: usize,
    /// Requests that may wait for a slot; more are turned away.
    pub queue: usize,
    /// The least time of a prefill, and of a decode's first token.
    pub base_time: Micros,
    /// Prompt tokens that it reads in a second.
    pub prefill_tokens_per_second: u64,
    /// Time between two events of a stream.
    pub event_time: Micros,
}

/// How a worker misbehaves: probabilities for each call, and how many times slower it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Misbehaviour {
    /// It answers 500.
    pub errors: f64,
    /// It turns the request away without need.
    pub turns_away: f64,
    /// It breaks the connection before its answer.
    pub breaks_before: f64,
    /// It breaks the connection in the middle of its answer.
    pub breaks_during: f64,
    /// It never answers.
    pub hangs: f64,
    /// Its answer can't be read.
    pub spoils: f64,
    /// It sends a second answer behind the first.
    pub answers_twice: f64,
    /// It is so many times slower; 0 counts as 1.
    pub slowness: f64,
}

/// The KV caches that wait at prefill workers, by request.
#[derive(Clone, Debug, Default)]
pub struct CacheReservations(Arc<Mutex<HashMap<RequestId, Cache>>>);

#[derive(Debug, Default)]
struct Cache {
    /// Where it waits, if there is one.
    holder: Option<WorkerIndex>,
    /// Attempts at decode workers that wait to take it over.
    claims: usize,
}

impl CacheReservations {
    fn all(&self) -> MutexGuard<'_, HashMap<RequestId, Cache>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hold(&self, request: &RequestId, worker: WorkerIndex) {
        self.all().entry(request.clone()).or_default().holder = Some(worker);
    }

    /// Takes a cache over; whether there was one.
    fn take(&self, request: &RequestId) -> bool {
        self.all().get_mut(request).and_then(|cache| cache.holder.take()).is_some()
    }

    /// Releases a cache, unless an attempt waits for it; whether there was one.
    fn release(&self, request: &RequestId) -> bool {
        let mut all = self.all();
        let unclaimed = all.get_mut(request).filter(|cache| cache.claims == 0);
        unclaimed.and_then(|cache| cache.holder.take()).is_some()
    }

    /// Claims a cache for an attempt that has arrived, for as long as the claim is kept.
    fn claim(&self, request: &RequestId) -> Claim {
        self.all().entry(request.clone()).or_default().claims += 1;
        Claim { caches: self.clone(), request: request.clone() }
    }

    /// Loses all that a worker holds; for whom that was.
    fn lose(&self, worker: WorkerIndex) -> Vec<RequestId> {
        let mut lost = Vec::new();
        for (request, cache) in self.all().iter_mut() {
            if cache.holder.take_if(|holder| *holder == worker).is_some() {
                lost.push(request.clone());
            }
        }
        lost
    }
}

/// An attempt's claim to a cache; a release passes it by meanwhile.
struct Claim {
    caches: CacheReservations,
    request: RequestId,
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut all = self.caches.all();
        if let Some(cache) = all.get_mut(&self.request) {
            cache.claims -= 1;
            if cache.claims == 0 && cache.holder.is_none() {
                all.remove(&self.request);
            }
        }
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// What it is.
    pub settings: WorkerSettings,
    history: History,
    caches: CacheReservations,
    misbehaviour: Mutex<Misbehaviour>,
    is_draining: AtomicBool,
    slots: Semaphore,
    waiting: Semaphore,
    /// Counts the lives of its process; connections end with the life in which they began.
    life: watch::Sender<u64>,
    is_frozen: watch::Sender<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Body {
    max_tokens: u64,
}

/// Tokens of a request.
#[derive(Clone, Copy)]
struct Size {
    prompt: u64,
    answer: u64,
}

/// One call under way.
struct Exchange<'a, W> {
    worker: &'a Worker,
    output: &'a mut W,
    request: RequestId,
    connection: ConnectionNumber,
    misbehaviour: Misbehaviour,
}

/// What becomes of a connection after a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Keep,
    Break,
}

impl Worker {
    /// A worker whose process runs.
    pub fn new(settings: WorkerSettings, caches: CacheReservations, history: History) -> Arc<Self> {
        Arc::new(Worker {
            settings,
            history,
            caches,
            misbehaviour: Mutex::default(),
            is_draining: AtomicBool::new(false),
            slots: Semaphore::new(settings.slots),
            waiting: Semaphore::new(settings.slots + settings.queue),
            life: watch::Sender::new(0),
            is_frozen: watch::Sender::new(false),
        })
    }

    /// How it misbehaves from now on.
    pub fn misbehave(&self, misbehaviour: Misbehaviour) {
        *self.misbehaviour.lock().unwrap_or_else(PoisonError::into_inner) = misbehaviour;
    }

    /// Whether it turns everything new away.
    pub fn drain(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Stops or continues it as SIGSTOP and SIGCONT do: its machine goes on taking connections and bytes.
    pub fn freeze(&self, is_frozen: bool) {
        self.is_frozen.send_replace(is_frozen);
    }

    /// Ends its process: connections break, what it held is lost.
    pub fn die(&self) {
        self.life.send_modify(|life| *life += 1);
        self.history.add(Record::WorkerCrashed { worker: self.settings.index });
        for request in self.caches.lose(self.settings.index) {
            self.history.add(Record::CacheReservationEnded { request });
        }
    }

    /// Notes that its process has started.
    pub fn note_start(&self, is_cold: bool) {
        let WorkerSettings { index: worker, role, zone, cell, .. } = self.settings;
        self.history.add(Record::WorkerStarted { worker, role, zone, cell, is_cold });
    }

    /// Serves a connection until it ends, or the process does.
    pub async fn serve(
        self: Arc<Self>,
        io: impl AsyncRead + AsyncWrite + Send,
        connection: ConnectionNumber,
    ) {
        let mut life = self.life.subscribe();
        life.mark_unchanged();
        let (input, mut output) = tokio::io::split(io);
        tokio::select! {
            _ = life.changed() => {}
            _ = self.serve_calls(Reader::new(input), &mut output, connection) => {}
        }
    }

    async fn serve_calls(
        &self,
        mut input: Reader<impl AsyncRead + Unpin>,
        output: &mut WriteHalf<impl AsyncRead + AsyncWrite>,
        connection: ConnectionNumber,
    ) -> io::Result<()> {
        loop {
            self.thawed().await;
            let Some(head) = input.request().await? else { return Ok(()) };
            let body = input.body(head.content_length()).await?;
            self.thawed().await;
            if self.answer(&head, &body, &mut input, output, connection).await? == Next::Break {
                return Ok(());
            }
        }
    }

    async fn thawed(&self) {
        let _ = self.is_frozen.subscribe().wait_for(|is_frozen| !is_frozen).await;
    }

    async fn answer(
        &self,
        head: &Head,
        body: &[u8],
        input: &mut Reader<impl AsyncRead + Unpin>,
        output: &mut WriteHalf<impl AsyncRead + AsyncWrite>,
        connection: ConnectionNumber,
    ) -> io::Result<Next> {
        let (call, request) = classify(head);
        let worker = self.settings.index;
        self.history.add(Record::CallReceived { call, request: request.clone(), worker, connection });
        let misbehaviour = *self.misbehaviour.lock().unwrap_or_else(PoisonError::into_inner);
        let mut exchange = Exchange { worker: self, output, request, connection, misbehaviour };
        match call {
            CallKind::Release => exchange.release().await,
            CallKind::Other => exchange.whole(404, "", "", true).await,
            CallKind::Attempt => {
                let told = head.header("x-deadline").and_then(parse_duration);
                let deadline = told.map_or(Micros::MAX, |time| clock::now() + time);
                let body: Body = serde_json::from_slice(body).unwrap_or_default();
                let size = Size { prompt: prompt_tokens(head), answer: body.max_tokens };
                tokio::select! {
                    next = exchange.attempt(size, deadline) => next,
                    // The router has closed: a wait for a slot or a stream that nobody reads ends.
                    _ = input.fill() => Ok(Next::Break),
                }
            }
        }
    }

    fn time(&self, time: Micros, misbehaviour: &Misbehaviour) -> Duration {
        Duration::from_micros((time as f64 * misbehaviour.slowness.max(1.0)) as u64)
    }
}

/// What a call asks, and for which request.
pub fn classify(head: &Head) -> (CallKind, RequestId) {
    if let Some(request) = head.target.strip_prefix(RELEASE_PATH) {
        return (CallKind::Release, request.into());
    }
    match head.header("x-request-id") {
        Some(request) if head.method == "POST" => (CallKind::Attempt, request.into()),
        other => (CallKind::Other, other.unwrap_or_default().into()),
    }
}

/// Reads a duration in the form of the protocol: a number with `m` for milliseconds or `u` for microseconds.
pub fn parse_duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at(text.len().checked_sub(1)?);
    let unit = match unit {
        "m" => MILLISECOND,
        "u" => 1,
        _ => return None,
    };
    number.parse::<Micros>().ok().map(|number| number * unit)
}

/// The length of the prompt, as the client states it.
fn prompt_tokens(head: &Head) -> u64 {
    let pairs = head.header("x-extras").unwrap_or_default().split(',');
    let mut lengths = pairs.filter_map(|pair| pair.strip_prefix("prompt_len=")?.parse().ok());
    lengths.next().unwrap_or_default()
}

fn happens(probability: f64) -> bool {
    probability > 0.0 && rand::rng().random_bool(probability.min(1.0))
}

impl<W: AsyncWrite + Unpin> Exchange<'_, W> {
    fn note_answer(&self, status: u16, had_no_effect: bool, is_complete: bool) {
        let (request, worker) = (self.request.clone(), self.worker.settings.index);
        let connection = self.connection;
        self.worker.history.add(Record::CallCompleted {
            request,
            worker,
            connection,
            status,
            had_no_effect,
            is_complete,
        });
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.worker.thawed().await;
        self.output.write_all(bytes).await?;
        self.output.flush().await
    }

    /// Sends an answer with a body of known length.
    async fn whole(
        &mut self,
        status: u16,
        headers: &str,
        body: &str,
        had_no_effect: bool,
    ) -> io::Result<Next> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.note_answer(status, had_no_effect, true);
        self.write(text.as_bytes()).await?;
        Ok(Next::Keep)
    }

    async fn turn_away(&mut self, status: u16) -> io::Result<Next> {
        self.whole(status, "x-not-run: 1\r\n", "", true).await
    }

    async fn break_off(&mut self) -> io::Result<Next> {
        self.note_answer(0, false, false);
        Ok(Next::Break)
    }

    async fn release(&mut self) -> io::Result<Next> {
        if self.worker.caches.release(&self.request) {
            self.worker.history.add(Record::CacheReservationEnded { request: self.request.clone() });
        }
        self.whole(204, "", "", true).await
    }

    async fn attempt(&mut self, size: Size, deadline: Micros) -> io::Result<Next> {
        let worker = self.worker;
        let _claim = (worker.settings.role == Role::Decode).then(|| worker.caches.claim(&self.request));
        let is_draining = worker.is_draining.load(Ordering::Relaxed);
        if is_draining || happens(self.misbehaviour.turns_away) {
            return self.turn_away(503).await;
        }
        let Ok(_waiting) = worker.waiting.try_acquire() else { return self.turn_away(503).await };
        let Ok(_slot) = worker.slots.acquire().await else { return self.break_off().await };
        if clock::now() >= deadline {
            return self.turn_away(504).await;
        }
        if happens(self.misbehaviour.hangs) {
            tokio::time::sleep(HANG).await;
            return self.break_off().await;
        }
        if happens(self.misbehaviour.breaks_before) {
            return self.break_off().await;
        }
        if happens(self.misbehaviour.errors) {
            return self.whole(500, "", "an error", false).await;
        }
        match worker.settings.role {
            Role::Prefill => self.prefill(size.prompt).await,
            Role::Decode => self.decode(size.answer).await,
        }
    }

    async fn prefill(&mut self, prompt_tokens: u64) -> io::Result<Next> {
        let worker = self.worker;
        let settings = &worker.settings;
        let read = prompt_tokens * SECOND / settings.prefill_tokens_per_second.max(1);
        tokio::time::sleep(worker.time(settings.base_time + read, &self.misbehaviour)).await;
        if happens(self.misbehaviour.spoils) {
            return self.spoil().await;
        }
        worker.caches.hold(&self.request, settings.index);
        let (request, index) = (self.request.clone(), settings.index);
        worker.history.add(Record::CacheReserved { request, worker: index });
        if happens(self.misbehaviour.breaks_during) {
            return self.break_off().await;
        }
        let next =
            self.whole(202, "content-type: application/json\r\n", r#"{"cached_tokens":16}"#, true).await?;
        if happens(self.misbehaviour.answers_twice) {
            self.answer_again().await?;
        }
        Ok(next)
    }

    async fn decode(&mut self, max_tokens: u64) -> io::Result<Next> {
        let worker = self.worker;
        if !worker.caches.take(&self.request) {
            return self.turn_away(410).await;
        }
        worker.history.add(Record::CacheReservationEnded { request: self.request.clone() });
        tokio::time::sleep(worker.time(worker.settings.base_time, &self.misbehaviour)).await;
        if happens(self.misbehaviour.spoils) {
            return self.spoil().await;
        }
        let events = (max_tokens / TOKENS_PER_EVENT).clamp(1, MAX_EVENTS);
        let breaks_at = happens(self.misbehaviour.breaks_during).then(|| rand::rng().random_range(0..events));
        let mut begin = STREAM_HEAD.as_bytes().to_vec();
        for event in 0..events {
            if breaks_at == Some(event) {
                return self.break_off().await;
            }
            if event > 0 {
                tokio::time::sleep(worker.time(worker.settings.event_time, &self.misbehaviour)).await;
            }
            begin.extend(chunk(&self.event(event)));
            if event == 0 {
                let (request, index) = (self.request.clone(), worker.settings.index);
                worker.history.add(Record::StreamStarted { request, worker: index });
            }
            self.write(&std::mem::take(&mut begin)).await?;
        }
        self.end_stream(events).await
    }

    async fn end_stream(&mut self, events: u64) -> io::Result<Next> {
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":64,\"completion_tokens\":{},\
             \"prompt_tokens_details\":{{\"cached_tokens\":16}}}}}}\n\n",
            events * TOKENS_PER_EVENT
        );
        let mut end = chunk(&usage);
        end.extend(chunk("data: [DONE]\n\n"));
        end.extend(b"0\r\n\r\n");
        self.note_answer(200, false, true);
        self.write(&end).await?;
        if happens(self.misbehaviour.answers_twice) {
            self.answer_again().await?;
        }
        Ok(Next::Keep)
    }

    /// An event that names its request, its attempt, its place in the stream and its moment.
    fn event(&self, number: u64) -> String {
        let (request, connection, now) = (&self.request, self.connection, clock::now());
        format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{request} {connection} {number} {now}\"}},\
             \"finish_reason\":null}}]}}\n\n"
        )
    }

    async fn answer_again(&mut self) -> io::Result<()> {
        let wait = rand::rng().random_range(0..SECOND_ANSWER_WITHIN);
        tokio::time::sleep(Duration::from_micros(wait)).await;
        self.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 12\r\n\r\ndata: no\n\n\r\n")
            .await
    }

    /// An answer that can't be read.
    async fn spoil(&mut self) -> io::Result<Next> {
        self.note_answer(0, false, false);
        let form = rand::rng().random_range(0..4);
        match form {
            0 => self.write(b"\x00\x01 what is this\r\n\r\n").await?,
            1 => {
                self.write(&b"x-filler: ".iter().copied().cycle().take(ENDLESS_BYTES).collect::<Vec<u8>>())
                    .await?
            }
            2 => {
                self.write(STREAM_HEAD.as_bytes()).await?;
                self.write(b"zz\r\ndata: no\n\n\r\n").await?;
            }
            _ => {
                self.write(STREAM_HEAD.as_bytes()).await?;
                self.write(b"c0000000\r\n").await?;
                self.write(&vec![b'x'; ENDLESS_BYTES]).await?;
            }
        }
        tokio::time::sleep(HANG).await;
        Ok(Next::Break)
    }
}
