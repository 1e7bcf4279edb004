//! Stand-ins for the parties around a router: nodos, the network between router and nodos, discovery agents and
//! clients, and the start and end of a router process. Standard library only; every address is on loopback.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run, with the time since the start.
pub struct Recorder {
    start: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
    file: PathBuf,
}

impl Recorder {
    pub fn new(file: &str) -> Arc<Self> {
        Arc::new(Recorder { start: Instant::now(), lines: Mutex::default(), file: file.into() })
    }

    pub fn log(&self, text: impl Into<String>) {
        self.log_at(Instant::now(), text);
    }

    pub fn log_at(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, text)| format!("{:8.3} s  {text}\n", self.seconds(*at))).collect();
        fs::write(&self.file, text).expect("record.txt");
    }
}

/// A free port of the loopback interface.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------- HTTP messages

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the last byte had arrived.
    pub arrived: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or("-").to_owned()
    }

    /// The time that the request says is left.
    pub fn time_left(&self) -> Option<Duration> {
        let text = self.header("x-deadline")?;
        let (number, unit) = text.split_at(text.len() - 1);
        let number: u64 = number.parse().ok()?;
        Some(if unit == "m" { Duration::from_millis(number) } else { Duration::from_micros(number) })
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<Vec<(String, String)>>> {
    let mut headers = Vec::new();
    loop {
        let Some(line) = read_line(reader)? else { return Ok(None) };
        if line.is_empty() {
            return Ok(Some(headers));
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request; `None` if the connection ended before its last byte.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let Some(headers) = read_headers(reader)? else { return Ok(None) };
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)];
    if reader.read_exact(&mut body).is_err() {
        return Ok(None);
    }
    Ok(Some(Request { method, target, headers, body, arrived: Instant::now() }))
}

/// How a request was answered.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// When the first event of a stream, or the last byte of another answer, was read.
    pub final_at: Option<Instant>,
    /// When the answer had ended.
    pub end_at: Option<Instant>,
    /// Whether the answer came to its end: the last chunk, or all bytes of its length.
    pub is_whole: bool,
    pub body: Vec<u8>,
}

/// Reads one answer; a status of 0 says that the connection ended without one.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Answer {
    let mut answer = Answer::default();
    let _ = read_answer_into(reader, &mut answer);
    answer.end_at = Some(Instant::now());
    answer
}

fn read_answer_into(reader: &mut BufReader<TcpStream>, answer: &mut Answer) -> io::Result<()> {
    let Some(line) = read_line(reader)? else { return Ok(()) };
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let Some(headers) = read_headers(reader)? else { return Ok(()) };
    answer.status = status;
    let value = |name: &str| headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v);
    if value("transfer-encoding").is_some() {
        loop {
            let Some(line) = read_line(reader)? else { return Ok(()) };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            answer.final_at.get_or_insert_with(Instant::now);
            if size == 0 {
                answer.is_whole = true;
                return Ok(());
            }
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = value("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    answer.body = vec![0; length];
    reader.read_exact(&mut answer.body)?;
    answer.final_at = Some(Instant::now());
    answer.is_whole = true;
    Ok(())
}

/// A chat request as the protocol page shows it.
pub struct Ask<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub prompt_tokens: usize,
    pub max_out: usize,
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let content = "abcd".repeat(self.prompt_tokens);
        let body = format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":{},\"messages\":[{{\"role\":\"user\",\
             \"content\":\"{content}\"}}]}}",
            self.max_out
        );
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\n\
             X-Key: {}\r\nX-Deadline: {}m\r\nX-Extras: prompt_len={},prefix_len=0,max_out={}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.class,
            self.key,
            self.deadline_ms,
            self.prompt_tokens,
            self.max_out,
            body.len()
        )
        .into_bytes()
    }
}

/// Connects, sends one request, and reads its answer.
pub fn ask_once(address: SocketAddr, ask: &Ask) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else { return Answer::default() };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(ms(30_000)));
    if stream.write_all(&ask.bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------- network

/// The network between the router and one nodo: a proxy on loopback. While it is cut it carries nothing: open
/// connections stay open and silent, new ones never come up. Bytes written before or during a cut travel on
/// when it heals, unless the writer has reset the connection by then.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn to(nodo: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        thread::spawn(move || {
            for router_side in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || carry_connection(router_side, nodo, &cut));
            }
        });
        Link { address, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn carry_connection(router_side: TcpStream, nodo: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_while(cut);
    let Ok(nodo_side) = TcpStream::connect(nodo) else { return };
    let _ = (router_side.set_nodelay(true), nodo_side.set_nodelay(true));
    let (a, b) = (router_side.try_clone().unwrap(), nodo_side.try_clone().unwrap());
    let other_cut = cut.clone();
    let back = thread::spawn(move || carry(nodo_side, router_side, &other_cut));
    carry(a, b, cut);
    let _ = back.join();
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(ms(1));
    }
}

/// Carries one direction. Reads nothing while the link is cut: the bytes stay with the sender's kernel.
fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; 64 * 1024];
    let mut peeked = [0];
    loop {
        // Waits for bytes without taking them, so that a reset during a cut discards them.
        let waiting = from.peek(&mut peeked);
        wait_while(cut);
        let read = match waiting {
            Ok(0) => 0,
            Ok(_) => match from.read(&mut buffer) {
                Ok(read) => read,
                Err(_) => break,
            },
            Err(_) => break,
        };
        if read == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

// ---------------------------------------------------------------------------------------------- nodos

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Reader,
    Writer,
    Both,
}

/// What a nodo does with a request.
#[derive(Clone, Debug)]
pub struct Work {
    /// The time to read the prompt (a reader, or a mixed nodo without a state).
    pub read: Duration,
    /// The time from the request's arrival at a writer to the first token.
    pub first_token: Duration,
    pub tokens: usize,
    pub token: Duration,
    /// Answers 500 after the work was begun.
    pub fails: bool,
    /// The token whose chunk has the size 0 in place of its length.
    pub spoilt_at: Option<usize>,
}

impl Work {
    /// Work that ends well.
    pub fn ordinary(read: Duration, first_token: Duration, tokens: usize, token: Duration) -> Work {
        Work { read, first_token, tokens, token, fails: false, spoilt_at: None }
    }
}

/// A send that a nodo received: the last byte of a chat request has arrived.
#[derive(Clone, Debug)]
pub struct Send {
    pub id: String,
    pub nodo: String,
    pub arrived: Instant,
    pub told: Duration,
    /// What came of it: `read`, `streamed`, `turned away`, `failed`, `repeat dropped`.
    pub outcome: String,
    /// Whether an effect was applied.
    pub is_applied: bool,
}

/// The nodos of a deployment, with the states that wait at their readers.
pub struct Nodos {
    pub record: Arc<Recorder>,
    pub sends: Mutex<Vec<Send>>,
    states: Mutex<HashMap<String, String>>,
    /// When each idempotency key was first used; the key is forgotten after the window.
    keys: Mutex<HashMap<String, Instant>>,
    plan: Box<dyn Fn(&str, &Request) -> Work + std::marker::Send + Sync>,
    /// The class whose requests carry a key, and the window for repeats.
    keyed: Option<(String, Duration)>,
}

impl Nodos {
    pub fn new(
        record: Arc<Recorder>,
        keyed: Option<(String, Duration)>,
        plan: impl Fn(&str, &Request) -> Work + std::marker::Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Nodos {
            record,
            sends: Mutex::default(),
            states: Mutex::default(),
            keys: Mutex::default(),
            plan: Box::new(plan),
            keyed,
        })
    }

    /// Starts a nodo and returns its address.
    pub fn start(self: &Arc<Self>, name: &str, role: Role) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (nodos, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (nodos, name) = (nodos.clone(), name.clone());
                thread::spawn(move || nodos.serve(&name, role, stream));
            }
        });
        address
    }

    pub fn sends(&self) -> Vec<Send> {
        self.sends.lock().unwrap().clone()
    }

    fn serve(&self, name: &str, role: Role, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(stream), writer);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if request.method == "DELETE" {
                let id = request.target.rsplit('/').next().unwrap_or("").to_owned();
                let had = self.states.lock().unwrap().remove(&id).is_some();
                self.record.log_at(request.arrived, format!("{name}: DELETE {id} (state there: {had})"));
                if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            if self.work(name, role, &request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn end(&self, send: Send, index: usize) {
        self.record.log(format!("{}: {} {}", send.nodo, send.id, send.outcome));
        self.sends.lock().unwrap()[index] = send;
    }

    fn work(&self, name: &str, role: Role, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.id();
        let told = request.time_left().unwrap_or_default();
        self.record.log_at(
            request.arrived,
            format!("{name}: {id} arrived, told that {:.3} s are left", told.as_secs_f64()),
        );
        let mut send = Send {
            id: id.clone(),
            nodo: name.to_owned(),
            arrived: request.arrived,
            told,
            outcome: "begun".into(),
            is_applied: false,
        };
        let index = {
            let mut sends = self.sends.lock().unwrap();
            sends.push(send.clone());
            sends.len() - 1
        };
        let work = (self.plan)(name, request);
        if role == Role::Reader {
            thread::sleep(work.read);
            self.states.lock().unwrap().insert(id, name.to_owned());
            send.outcome = "read".into();
            self.end(send, index);
            let body = "{\"cached_tokens\":0}";
            return writer.write_all(
                format!(
                    "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            );
        }
        if role == Role::Writer {
            thread::sleep(work.first_token);
            if self.states.lock().unwrap().remove(&id).is_none() {
                send.outcome = "turned away (no state)".into();
                self.end(send, index);
                return writer.write_all(not_run("410 Gone").as_bytes());
            }
        } else {
            thread::sleep(work.read + work.first_token);
        }
        send.is_applied = self.apply(&id, request);
        if work.fails {
            send.outcome = "failed with 500 after it had run".into();
            self.end(send, index);
            return writer.write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        }
        send.outcome = if send.is_applied { "run, streamed" } else { "repeat dropped, streamed" }.into();
        self.end(send, index);
        stream(writer, &work)
    }

    /// Applies the effect of a request unless it is a repeat whose key is still remembered.
    fn apply(&self, id: &str, request: &Request) -> bool {
        let Some((_, window)) =
            self.keyed.as_ref().filter(|(class, _)| request.header("x-class") == Some(class.as_str()))
        else {
            return true;
        };
        let mut keys = self.keys.lock().unwrap();
        if keys.get(id).is_some_and(|first| request.arrived < *first + *window) {
            return false;
        }
        keys.insert(id.to_owned(), request.arrived);
        true
    }
}

fn not_run(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

fn stream(writer: &mut TcpStream, work: &Work) -> io::Result<()> {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    for token in 0..work.tokens {
        if token > 0 {
            thread::sleep(work.token);
        }
        let reason = if token + 1 == work.tokens { "\"stop\"" } else { "null" };
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"tok{token}\"}},\"finish_reason\":{reason}}}]}}\n\n"
        );
        if work.spoilt_at == Some(token) {
            head.push_str(&format!("0\r\n{event}\r\n"));
        } else {
            head.push_str(&chunk(&event));
        }
        writer.write_all(std::mem::take(&mut head).as_bytes())?;
    }
    let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1,\
                 \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
    writer.write_all(format!("{}{}0\r\n\r\n", chunk(usage), chunk("data: [DONE]\n\n")).as_bytes())
}

// ---------------------------------------------------------------------------------------------- discovery

/// An entry of the list of nodos.
#[derive(Clone)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub class: &'static str,
    pub health: &'static str,
}

impl Host {
    pub fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"sala-centro\",\"class\":\"{}\",\"block\":1,\
             \"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
            self.host, self.dial, self.class, self.health
        )
    }
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

/// Starts a discovery agent whose list does not change, and returns its address. The first object of a watch is
/// the whole list; an empty line follows every 2 s.
pub fn start_agent(record: &Arc<Recorder>, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, list) = (record.clone(), list.clone());
            thread::spawn(move || serve_agent(stream, &record, &list));
        }
    });
    address
}

fn serve_agent(stream: TcpStream, record: &Recorder, list: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let Ok(Some(request)) = read_request(&mut BufReader::new(stream)) else { return };
    record.log(format!("agent: GET {}", request.target));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    if !request.target.contains("watch=1") {
        let _ = write!(writer, "{head}Content-Length: {}\r\n\r\n{list}", list.len());
        return;
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{list}\n")));
    while writer.write_all(text.as_bytes()).is_ok() {
        thread::sleep(ms(2000));
        text = chunk("\n");
    }
}

// ---------------------------------------------------------------------------------------------- router

/// A class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub objective_ms: u64,
    pub give_up_ms: u64,
    pub repeat_window_ms: u64,
    pub value: f64,
}

/// The settings of the sample on the wire page, with these kinds, roles and classes.
pub fn settings(skus: &[&str], roles: &[&str], classes: &[Class]) -> String {
    let quoted = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
        names.join(",")
    };
    let numbers = |value: &dyn Fn(&Class) -> String| {
        let values: Vec<String> = classes.iter().map(value).collect();
        values.join(",")
    };
    let memory: Vec<&str> = skus.iter().map(|_| "200000").collect();
    let class_list: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                "{{\"dedup_scope\":\"all\",\"effect\":\"{}\",\"give_up_us\":{},\"late_share\":0.2,\"name\":\"{}\",\
                 \"objective_us\":{},\"repeat_window_us\":{},\"stream\":true,\"value\":{}}}",
                class.effect,
                class.give_up_ms * 1000,
                class.name,
                class.objective_ms * 1000,
                class.repeat_window_ms * 1000,
                class.value
            )
        })
        .collect();
    format!(
        "{{\"classes\":[{}],\"clients\":{{\"marks_retry\":false}},\"family\":\"twostage\",\"family_info\":{{\
         \"aim_us_per_1000_prompt_tokens\":[{}],\"kv_tokens\":[{}],\"may_reserve\":false,\"move_fee\":0.08,\
         \"release_us\":500000,\"resume\":false,\"role_by_kind\":[{}],\"self_prefill\":false,\
         \"token_aim_us\":[{}]}},\"load_report\":{{\"fields\":[],\"how\":\"none\"}},\"my_zone\":\"sala-centro\",\
         \"over_share_worth\":0.1,\"permissions\":{{\"connect_timeout_us\":250000,\"idle_close_us\":30000000,\
         \"max_attempts\":6,\"max_open\":28686,\"max_retry_after_us\":2000000,\"may_cancel\":true,\
         \"may_tell\":false,\"probes\":false,\"retry_after\":true,\"second_copies\":false,\
         \"streams_per_conn\":100}},\"registry_mode\":\"pushed\",\"replicas_of_me\":1,\"rules\":{{\
         \"answer_slack_us\":16000,\"ask_within_us\":10000000,\"cold_from\":0.25,\"cold_us\":14000000,\
         \"drain_grace_us\":250000,\"fall_multiple\":2.5,\"fall_us\":1000000}},\"self_index\":0,\
         \"skus\":[{}],\"tenants\":[],\"tick_us\":4000,\"tier\":0,\"tiers\":[\"asistente\"],\
         \"weights\":\"rough\",\"worth_by\":\"work\",\"zones\":[\"sala-centro\"]}}",
        class_list.join(","),
        numbers(&|_| "60000".into()),
        memory.join(","),
        quoted(roles),
        numbers(&|_| "50000".into()),
        quoted(skus)
    )
}

/// A router process, started as the deploy file says.
pub struct Router {
    pub address: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// The limits of a router process.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Router {
    /// Writes the configuration to a temporary folder, starts the router by `run` of the deploy file and waits
    /// until its health check answers 200.
    pub fn start(
        record: &Recorder,
        discovery: SocketAddr,
        known: String,
        settings: String,
    ) -> Result<Router, String> {
        Router::start_with(record, discovery, known, settings, Limits { memory_mb: 192, sockets: 1024 })
    }

    /// The same, with these limits. The limit on descriptors is set for the process as a platform does; that on
    /// memory is up to the case.
    pub fn start_with(
        record: &Recorder,
        discovery: SocketAddr,
        known: String,
        settings: String,
        limits: Limits,
    ) -> Result<Router, String> {
        let run = format!("ulimit -n {} && {}", limits.sockets, deploy_command("run")?);
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), free_address().port()));
        let scratch = folder.join("tmp");
        fs::create_dir_all(&scratch).map_err(|e| e.to_string())?;
        let address = free_address();
        write_config(&folder, address, discovery, &known, &settings, limits).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("TMPDIR", scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        // No run takes longer: then the router is ended, and the case could not run.
        let pid = child.id().to_string();
        thread::spawn(move || {
            thread::sleep(ms(110_000));
            let _ = Command::new("kill").args(["-KILL", &pid]).status();
            std::process::exit(COULD_NOT_RUN);
        });
        let mut router = Router { address, folder, child };
        let started = Instant::now();
        while !router.is_ready() {
            let has_ended = router.child.try_wait().ok().flatten().is_some();
            if has_ended || started.elapsed() > ms(30_000) {
                return Err("the router was not ready within 30 s".into());
            }
            thread::sleep(ms(20));
        }
        record.log(format!("router: ready at {address}"));
        Ok(router)
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n");
        read_answer(&mut BufReader::new(stream)).status == 200
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP_LOG").is_ok() {
            eprintln!("{}", self.log_text());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn write_config(
    folder: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &str,
    limits: Limits,
) -> io::Result<()> {
    let Limits { memory_mb, sockets } = limits;
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{known},\
         \"settings\":{settings}}}"
    );
    fs::write(folder.join("config.new"), text)?;
    fs::rename(folder.join("config.new"), folder.join("config.json"))
}

/// A command of the deploy file, which is read from the current folder.
fn deploy_command(key: &str) -> Result<String, String> {
    let text =
        fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find(|line| line.starts_with(&format!("{key} =")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.map(str::to_owned).ok_or(format!("deploy/balancer.toml has no {key}"))
}
