//! Stand-ins for the cases of the second review: nodos, agents and clients on loopback, real router processes,
//! and the record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// One line of the record.
#[derive(Clone, Debug)]
pub struct Event {
    /// Seconds since the start of the test.
    pub at: f64,
    /// What happened, such as `begin` (the last byte of an attempt arrived) or `answer`.
    pub kind: &'static str,
    /// The party that saw it.
    pub who: String,
    /// The id of the request, if there is one.
    pub id: String,
    pub detail: String,
    pub value: f64,
}

/// The test: its clock, record, parties and processes.
pub struct World {
    started: Instant,
    pub trouble: bool,
    events: Mutex<Vec<Event>>,
    /// The requests whose read states wait at readers.
    held: Mutex<HashSet<String>>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
    pub temp: PathBuf,
    finished: AtomicBool,
}

impl World {
    /// `folder` is the folder of the case, where `record.txt` is written.
    pub fn start(seconds: u64) -> Arc<World> {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        let world = Arc::new(World {
            started: Instant::now(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            events: Mutex::default(),
            held: Mutex::default(),
            children: Mutex::default(),
            folder,
            temp,
            finished: AtomicBool::new(false),
        });
        let guard = world.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(seconds));
            guard.finish(NOT_RUN, "the test took too long");
        });
        let guard = world.clone();
        std::panic::set_hook(Box::new(move |info| {
            eprintln!("{info}");
            if thread::current().name() == Some("main") {
                guard.finish(NOT_RUN, &format!("{info}"));
            }
        }));
        world
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn note(&self, kind: &'static str, who: &str, id: &str, detail: &str, value: f64) -> f64 {
        let at = self.now();
        self.note_at(at, kind, who, id, detail, value);
        at
    }

    pub fn note_at(&self, at: f64, kind: &'static str, who: &str, id: &str, detail: &str, value: f64) {
        let (who, id, detail) = (who.to_owned(), id.to_owned(), detail.to_owned());
        self.events.lock().unwrap().push(Event { at, kind, who, id, detail, value });
    }

    pub fn events(&self, kind: &str) -> Vec<Event> {
        let mut events: Vec<Event> =
            self.events.lock().unwrap().iter().filter(|event| event.kind == kind).cloned().collect();
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        events
    }

    /// Ends all processes, writes the record and exits.
    pub fn finish(&self, status: i32, verdict: &str) -> ! {
        if self.finished.swap(true, Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(5));
            std::process::exit(NOT_RUN);
        }
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let mut events = self.events.lock().unwrap().clone();
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut text = format!("trouble: {}\n", if self.trouble { "yes" } else { "no" });
        for event in events {
            let Event { at, kind, who, id, detail, value } = event;
            text += &format!("{at:9.4} {kind:8} {who:10} {id:12} {value:10.4} {detail}\n");
        }
        let outcome = match status {
            HELD => "held",
            BROKEN => "BROKEN",
            _ => "could not run",
        };
        text += &format!("verdict: {outcome}: {verdict}\n");
        let _ = fs::write(self.folder.join("record.txt"), text);
        println!("{outcome}: {verdict}");
        let _ = fs::remove_dir_all(&self.temp);
        std::process::exit(status);
    }
}

/// A message's head and body. `first_at` and `at` are the times of its first and last byte.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub first_at: f64,
    pub at: f64,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }

    /// A number of `X-Extras`.
    pub fn extra(&self, name: &str) -> f64 {
        let mut pairs = self.header("x-extras").split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(0.0)
    }

    /// `X-Deadline` in seconds.
    pub fn deadline(&self) -> f64 {
        let text = self.header("x-deadline");
        let number: f64 = text.trim_end_matches(['m', 'u']).parse().unwrap_or(0.0);
        if text.ends_with('m') { number / 1e3 } else { number / 1e6 }
    }
}

/// Reads messages from a connection and keeps what lies beyond them.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    world: Arc<World>,
}

impl Reader {
    pub fn new(world: &Arc<World>, stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new(), world: world.clone() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn take(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let mut message = Message { first_at: self.world.now(), ..Message::default() };
        let Some(start) = self.line()? else { return Ok(None) };
        message.start = start;
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                message.at = self.world.now();
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a whole message with a content length.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let length = message.header("content-length").parse().unwrap_or(0);
        let Some(body) = self.take(length)? else { return Ok(None) };
        (message.body, message.at) = (body, self.world.now());
        Ok(Some(message))
    }

    /// Reads a chunk; `None` if the connection ended before it, an empty one at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
            return Ok(None);
        };
        let Some(mut data) = self.take(size + 2)? else { return Ok(None) };
        data.truncate(size);
        Ok(Some(data))
    }
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    stream.write_all(
        format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}").as_bytes(),
    )
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Accepts without end, and serves each connection in a thread.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Reader,
    Writer,
}

/// The speeds of a nodo.
#[derive(Clone, Copy)]
pub struct Speed {
    pub tokens_per_second: f64,
    pub first_token: f64,
    pub event_gap: f64,
    pub tokens_per_event: f64,
}

pub const SPEED: Speed =
    Speed { tokens_per_second: 18_000.0, first_token: 0.02, event_gap: 0.05, tokens_per_event: 4.0 };

pub struct Nodo {
    pub name: String,
    pub index: usize,
    pub role: Role,
    pub address: SocketAddr,
    pub speed: Speed,
    /// The connections that are open, to be closed when the process ends.
    streams: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
    running: AtomicU64,
    /// Of a hundred streams, so many are followed by a second full answer, this many seconds after their end.
    pub second_answers: Mutex<(u64, f64)>,
    streams_ended: AtomicU64,
}

impl Nodo {
    /// Starts a nodo that behaves as the protocol page says.
    pub fn start(world: &Arc<World>, index: usize, role: Role, speed: Speed) -> Arc<Nodo> {
        let (listener, address) = listen();
        let name = format!("{}-{index}", if role == Role::Reader { "reader" } else { "writer" });
        let nodo = Arc::new(Nodo {
            name,
            index,
            role,
            address,
            speed,
            streams: Mutex::default(),
            ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            second_answers: Mutex::new((0, 0.0)),
            streams_ended: AtomicU64::new(0),
        });
        let (served, world) = (nodo.clone(), world.clone());
        serve(listener, move |stream| {
            if served.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                served.streams.lock().unwrap().push(copy);
            }
            let _ = served.serve(&world, stream);
        });
        nodo
    }

    /// The number of requests in work.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// Ends the process: its connections are reset or closed, new ones are closed at once.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, world: &Arc<World>, stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(world, stream);
        while let Some(request) = reader.message()? {
            self.running.fetch_add(1, Ordering::SeqCst);
            let result = self.handle(world, &request, &mut reader.stream);
            self.running.fetch_sub(1, Ordering::SeqCst);
            result?;
        }
        Ok(())
    }

    fn handle(&self, world: &Arc<World>, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if request.method() == "DELETE" {
            let id = request.path().rsplit('/').next().unwrap_or("").to_owned();
            let was_held = world.held.lock().unwrap().remove(&id);
            world.note_at(request.at, "release", &self.name, &id, &format!("held: {was_held}"), 0.0);
            return respond(stream, 204, "", "");
        }
        let id = request.header("x-request-id").to_owned();
        if request.method() != "POST" || id.is_empty() {
            return respond(stream, 404, "", "");
        }
        let deadline = request.deadline();
        world.note_at(request.first_at, "first", &self.name, &id, "first byte of an attempt", 0.0);
        world.note_at(request.at, "begin", &self.name, &id, "told the time that is left", deadline);
        match self.role {
            Role::Reader => {
                let seconds = 0.005 + request.extra("prompt_len") / self.speed.tokens_per_second;
                thread::sleep(Duration::from_secs_f64(seconds));
                if is_closed(stream) {
                    // The state of a read that was cancelled or timed out goes by itself.
                    world.note("read", &self.name, &id, "the conductor has given up: no state", 0.0);
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                world.held.lock().unwrap().insert(id.clone());
                world.note("read", &self.name, &id, "the state is held", 0.0);
                respond(stream, 202, "content-type: application/json\r\n", r#"{"cached_tokens":0}"#)
            }
            Role::Writer => {
                if !world.held.lock().unwrap().remove(&id) {
                    world.note("miss", &self.name, &id, "no state to fetch", 0.0);
                    return respond(stream, 410, "x-not-run: 1\r\n", "");
                }
                let result = self.stream(world, request, &id, stream);
                let detail = if result.is_ok() { "whole" } else { "cut" };
                world.note("written", &self.name, &id, detail, 0.0);
                result?;
                let (share, after) = *self.second_answers.lock().unwrap();
                // Spread evenly: 37 and 100 have no common divisor.
                if self.streams_ended.fetch_add(1, Ordering::SeqCst) * 37 % 100 < share {
                    thread::sleep(Duration::from_secs_f64(after));
                    world.note("second", &self.name, &id, "a second answer is written", after);
                    return stream.write_all(&whole_answer(&id));
                }
                Ok(())
            }
        }
    }

    fn stream(
        &self,
        world: &Arc<World>,
        request: &Message,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let events = (request.extra("max_out") / self.speed.tokens_per_event).max(1.0) as usize;
        thread::sleep(Duration::from_secs_f64(self.speed.first_token));
        world.note("run", &self.name, id, "the answer starts", 0.0);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut start = head.as_bytes().to_vec();
        for number in 0..events {
            if number > 0 {
                thread::sleep(Duration::from_secs_f64(self.speed.event_gap));
            }
            if self.ended.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            start.extend(encode_chunk(&encode_event(id, number)));
            stream.write_all(&start)?;
            start.clear();
        }
        let mut end = encode_chunk(
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":9,\
             \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n",
        );
        end.extend(encode_chunk("data: [DONE]\n\n"));
        end.extend(b"0\r\n\r\n");
        stream.write_all(&end)
    }
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// A whole streamed answer of one event.
fn whole_answer(id: &str) -> Vec<u8> {
    let mut bytes =
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    bytes.extend(encode_chunk(&encode_event(id, 0)));
    bytes.extend(encode_chunk("data: [DONE]\n\n"));
    bytes.extend(b"0\r\n\r\n");
    bytes
}

pub fn encode_event(id: &str, number: usize) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id} {number}\"}},\
         \"finish_reason\":null}}]}}\n\n"
    )
}

pub fn encode_chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

/// An entry of the list, in the agent's form.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub class: &'static str,
    pub health: &'static str,
    pub block: u64,
    pub born_ms: u64,
}

impl Entry {
    pub fn of(nodo: &Nodo) -> Entry {
        let class = if nodo.role == Role::Reader { "lectura" } else { "respuesta" };
        let (host, dial) = (nodo.name.clone(), nodo.address);
        Entry { host, dial, class, health: "ready", block: 1, born_ms: 0 }
    }

    pub fn json(&self) -> String {
        let Entry { host, dial, class, health, block, born_ms } = self;
        format!(
            "{{\"host\":\"{host}\",\"dial\":\"{dial}\",\"site\":\"a\",\"class\":\"{class}\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
        )
    }
}

/// A list, or changes of it, as one JSON object.
pub fn list(seq: u64, whole: bool, entries: &[Entry]) -> String {
    let hosts: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What an agent has: its list, and the changes since its start.
struct AgentState {
    seq: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
}

pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    state: Mutex<AgentState>,
    changed: Condvar,
    /// The time that the answer to a call for the whole list takes from its first to its last byte.
    pub list_takes: Mutex<f64>,
    closed: AtomicBool,
}

impl Agent {
    pub fn start(world: &Arc<World>, name: &str, seq: u64, entries: Vec<Entry>) -> Arc<Agent> {
        let (listener, address) = listen();
        let agent = Arc::new(Agent {
            name: name.to_owned(),
            address,
            state: Mutex::new(AgentState { seq, entries, changes: Vec::new() }),
            changed: Condvar::new(),
            list_takes: Mutex::new(0.0),
            closed: AtomicBool::new(false),
        });
        let (served, world) = (agent.clone(), world.clone());
        serve(listener, move |stream| {
            if !served.closed.load(Ordering::SeqCst) {
                let _ = served.serve(&world, stream);
            }
        });
        agent
    }

    /// Changes entries and passes the change on.
    pub fn change(&self, world: &World, entries: &[Entry]) -> f64 {
        let mut state = self.state.lock().unwrap();
        for entry in entries {
            state.seq += 1;
            let seq = state.seq;
            state.changes.push((seq, entry.clone()));
            state.entries.retain(|known| known.host != entry.host);
            if entry.health != "gone" {
                state.entries.push(entry.clone());
            }
            world.note("change", &self.name, "-", &entry.json(), seq as f64);
        }
        self.changed.notify_all();
        world.now()
    }

    /// Accepts no new connection from now on, and closes the open ones.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn serve(&self, world: &Arc<World>, stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(world, stream);
        while let Some(request) = reader.message()? {
            world.note_at(request.at, "call", &self.name, "-", request.path(), 0.0);
            if request.path().contains("watch=1") {
                return self.watch(world, request.path(), &mut reader.stream);
            }
            let body = {
                let state = self.state.lock().unwrap();
                list(state.seq, true, &state.entries)
            };
            self.answer_list(world, &body, &mut reader.stream)?;
        }
        Ok(())
    }

    /// Writes the whole list in ten pieces.
    fn answer_list(&self, world: &Arc<World>, body: &str, stream: &mut TcpStream) -> io::Result<()> {
        let seconds = *self.list_takes.lock().unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        if seconds == 0.0 {
            stream.write_all(body.as_bytes())?;
        } else {
            let pieces: Vec<&[u8]> = body.as_bytes().chunks(body.len().div_ceil(10)).collect();
            for (number, piece) in pieces.iter().enumerate() {
                if number > 0 {
                    thread::sleep(Duration::from_secs_f64(seconds / (pieces.len() - 1) as f64));
                }
                if let Err(error) = stream.write_all(piece) {
                    world.note("cut", &self.name, "-", "the conductor closed the call", number as f64);
                    return Err(error);
                }
            }
        }
        world.note("listed", &self.name, "-", "the whole list is written", 0.0);
        Ok(())
    }

    fn watch(&self, world: &Arc<World>, path: &str, stream: &mut TcpStream) -> io::Result<()> {
        let after = path.rsplit("after=").next().and_then(|text| text.parse().ok()).unwrap_or(0);
        stream.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n",
        )?;
        let mut sent: u64 = after;
        loop {
            if self.closed.load(Ordering::SeqCst) {
                return Ok(());
            }
            let mut state = self.state.lock().unwrap();
            let line = if state.seq > sent {
                let changes: Vec<Entry> = state
                    .changes
                    .iter()
                    .filter(|(seq, _)| *seq > sent)
                    .map(|(_, entry)| entry.clone())
                    .collect();
                let first = state.changes.first().map_or(state.seq, |(seq, _)| seq - 1);
                let line = if sent >= first {
                    list(state.seq, false, &changes)
                } else {
                    list(state.seq, true, &state.entries)
                };
                sent = state.seq;
                Some(line)
            } else {
                let (next, waited) = self.changed.wait_timeout(state, Duration::from_millis(1_900)).unwrap();
                state = next;
                waited.timed_out().then(String::new)
            };
            drop(state);
            if let Some(line) = line {
                let is_change = !line.is_empty();
                stream.write_all(&encode_chunk(&format!("{line}\n")))?;
                if is_change {
                    world.note("told", &self.name, "-", &line, sent as f64);
                }
            }
        }
    }
}

/// A class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub give_up_us: u64,
}

pub const CLASSES: [Class; 2] = [
    Class { name: "consulta", effect: "read_like", give_up_us: 5_000_000 },
    Class { name: "multa", effect: "read_like", give_up_us: 15_000_000 },
];

pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
    config: PathBuf,
    world: Arc<World>,
    child: usize,
    settings: RouterSettings,
}

#[derive(Clone)]
pub struct RouterSettings {
    pub classes: String,
    pub known: String,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub replicas: u64,
    pub index: u64,
}

impl RouterSettings {
    pub fn new(known: String, discovery: SocketAddr) -> RouterSettings {
        let classes: Vec<String> = CLASSES
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"effect\":\"{}\",\"dedup_scope\":\"all\",\"repeat_window_us\":5000000,\
                     \"objective_us\":1000000,\"give_up_us\":{},\"value\":1.0,\"late_share\":0.3,\"stream\":true}}",
                    class.name, class.effect, class.give_up_us
                )
            })
            .collect();
        RouterSettings {
            classes: classes.join(","),
            known,
            discovery,
            memory_mb: 192,
            sockets: 1024,
            replicas: 2,
            index: 0,
        }
    }

    /// The configuration, with the settings of the wire page's example.
    fn json(&self, name: &str, listen: SocketAddr, seed: u64) -> String {
        let RouterSettings { classes, known, discovery, memory_mb, sockets, replicas, index } = self;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"classes":[{classes}],"clients":{{"marks_retry":false}},"family":"twostage",
"family_info":{{"aim_us_per_1000_prompt_tokens":[60000.0,120000.0],"kv_tokens":[289289,167304],"may_reserve":false,
"move_fee":0.08,"release_us":500000,"resume":false,"role_by_kind":["read","write"],"self_prefill":false,
"token_aim_us":[50000.0,80000.0]}},"load_report":{{"fields":[],"how":"none"}},"my_zone":"a","over_share_worth":0.1,
"permissions":{{"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":573733,"idle_close_us":30000000,
"max_attempts":6,"max_open":28686,"max_retry_after_us":2000000,"may_cancel":true,"may_tell":false,"probes":false,
"retry_after":true,"second_copies":false,"streams_per_conn":100}},"registry_mode":"pushed",
"replicas_of_me":{replicas},"rules":{{"answer_slack_us":16000,"ask_within_us":10000000,"cold_from":0.25,
"cold_us":14000000,"drain_grace_us":250000,"fall_multiple":2.5,"fall_us":1000000}},"self_index":{index},
"skus":["lectura","respuesta"],"tenants":[],"tick_us":4000,"tier":0,"tiers":["asistente"],"weights":"rough",
"worth_by":"work","zones":["a"]}}}}"#
        )
    }
}

impl Router {
    /// Starts a router with the deploy file's command, and waits until it is ready.
    pub fn start(world: &Arc<World>, name: &str, settings: RouterSettings) -> Router {
        let (listener, address) = listen();
        drop(listener);
        Router::start_at(world, name, address, settings)
    }

    pub fn start_at(world: &Arc<World>, name: &str, address: SocketAddr, settings: RouterSettings) -> Router {
        let config = world.temp.join(format!("{name}.json"));
        fs::write(&config, settings.json(name, address, unix_ms())).expect("the configuration");
        let log = fs::File::create(world.temp.join(format!("{name}.log"))).expect("a log");
        let copy = log.try_clone().expect("a log");
        let private = world.temp.join(format!("{name}-tmp"));
        fs::create_dir_all(&private).expect("a folder");
        let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "llm_router=info".into());
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", settings.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &private)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("the router");
        let pid = child.id();
        let mut children = world.children.lock().unwrap();
        children.push(child);
        let child = children.len() - 1;
        drop(children);
        world.note("start", name, "-", &format!("listens on {address}"), f64::from(pid));
        let router =
            Router { name: name.to_owned(), address, pid, config, world: world.clone(), child, settings };
        router.wait_ready();
        router
    }

    fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.health() == 200 {
                self.world.note("ready", &self.name, "-", "healthz answers 200", 0.0);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.world.finish(NOT_RUN, "the router did not become ready");
    }

    pub fn health(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return 0 };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        if stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").is_err() {
            return 0;
        }
        let mut reader = Reader::new(&self.world, stream);
        reader.message().ok().flatten().map_or(0, |message| message.status())
    }

    pub fn signal(&self, name: &str) {
        self.world.note("signal", &self.name, "-", name, 0.0);
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid)]).status();
    }

    /// Replaces the configuration's discovery address and sends SIGHUP.
    pub fn move_discovery(&mut self, discovery: SocketAddr) {
        self.settings.discovery = discovery;
        let text = self.settings.json(&self.name, self.address, 7);
        let next = self.config.with_extension("next");
        fs::write(&next, text).expect("the configuration");
        fs::rename(&next, &self.config).expect("the configuration");
        self.signal("HUP");
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.world.children.lock().unwrap()[self.child].try_wait().ok().flatten().is_some()
    }

    pub fn kill(&self) {
        self.world.note("signal", &self.name, "-", "KILL", 0.0);
        let mut children = self.world.children.lock().unwrap();
        let _ = children[self.child].kill();
        let _ = children[self.child].wait();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.world.temp.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

/// `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("a command").to_owned()
}

/// A client's request, as bytes.
pub fn request(
    id: &str,
    class: &str,
    deadline_ms: u64,
    prompt: u64,
    max_out: u64,
    body_bytes: usize,
) -> Vec<u8> {
    let filler = "x".repeat(body_bytes);
    let body = format!(
        "{{\"model\":\"{class}\",\"stream\":true,\"max_tokens\":{max_out},\"messages\":[{{\"role\":\"user\",\
         \"content\":\"{filler}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Key: s{id}\r\nX-Deadline: {deadline_ms}m\r\nX-Extras: prompt_len={prompt},max_out={max_out}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// What a client saw of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// The time of its first byte and of its last one.
    pub first_at: f64,
    pub at: f64,
    /// Whether it has its end.
    pub whole: bool,
    pub text: String,
}

/// Reads one answer. Status 0: the connection ended without one.
pub fn read_answer(world: &Arc<World>, reader: &mut Reader, id: &str) -> Answer {
    let mut answer = Answer::default();
    let Ok(Some(head)) = reader.head() else {
        answer.at = world.note("answer", "client", id, "none: the connection ended", 0.0);
        return answer;
    };
    (answer.status, answer.first_at) = (head.status(), world.now());
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match reader.chunk() {
                Ok(Some(data)) if data.is_empty() => {
                    answer.whole = true;
                    break;
                }
                Ok(Some(data)) => answer.text += &String::from_utf8_lossy(&data),
                _ => break,
            }
        }
    } else {
        let length = head.header("content-length").parse().unwrap_or(0);
        if let Ok(Some(body)) = reader.take(length) {
            (answer.whole, answer.text) = (true, String::from_utf8_lossy(&body).into_owned());
        }
    }
    let whole = if answer.whole { "whole" } else { "cut" };
    answer.at = world.note("answer", "client", id, whole, f64::from(answer.status));
    answer
}
