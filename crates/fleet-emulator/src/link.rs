//! The network between one router and one worker: a fault proxy.
//!
//! It sees a router's bytes as they are written, so what is judged by it is the router's doing and not the worker's.

use crate::clock::{self, Micros};
use crate::history::{ConnectionNumber, History, Record, RouterIndex};
use crate::http;
use crate::worker::{Worker, classify, parse_duration};
use rand::Rng;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

const BACKLOG: i32 = 128;
/// Connections that fill the accept queue of a listener without backlog.
const FILLERS: usize = 2;
/// Bytes on their way, more than any request has.
const IN_FLIGHT: usize = 1 << 20;
const READ_BYTES: usize = 16 * 1024;
/// The time between some pieces of what is written bit by bit.
const PIECE_PAUSE: Micros = 3_000;
/// A reset under a request comes up to this long after it.
const RESET_WITHIN: Micros = 300_000;

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// Whether the other side can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// It can.
    #[default]
    Up,
    /// It says nothing: open connections stay open and silent, new ones never come up.
    Silent,
    /// There is no process: new connections are refused.
    Refused,
}

/// How a link is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether the other side can be reached.
    pub reach: Reach,
    /// How long a connection takes to come up.
    pub connect_delay: Micros,
    /// Whether answers come in small pieces.
    pub in_pieces: bool,
    /// The probability that a connection is reset under a request.
    pub resets: f64,
    /// Connections are closed that idle for so long.
    pub closes_idle_after: Option<Micros>,
    /// Connections that idle for so long are forgotten: the next request on them is answered by a reset.
    pub forgets_idle_after: Option<Micros>,
}

/// One router's way to one worker.
#[derive(Debug)]
pub struct Link {
    /// Where the router connects.
    pub address: SocketAddr,
    router: RouterIndex,
    worker: Arc<Worker>,
    history: History,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// A link at this address, which nobody else may use.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn start(
        address: SocketAddr,
        router: RouterIndex,
        worker: Arc<Worker>,
        history: History,
    ) -> io::Result<Arc<Self>> {
        let link = Link { address, router, worker, history, state: watch::Sender::default() };
        let link = Arc::new(link);
        let listener = listen(address)?;
        tokio::spawn(link.clone().run(listener));
        Ok(link)
    }

    /// How it is from now on.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut state = self.state.subscribe();
        let mut listener = Some(listener);
        loop {
            let reach = state.borrow_and_update().reach;
            match (reach, &listener) {
                (Reach::Up, Some(open)) => {
                    tokio::select! {
                        _ = state.changed() => {}
                        accepted = open.accept() => self.accept(accepted),
                    }
                }
                (Reach::Up, None) => listener = self.listen_again().await,
                (Reach::Refused, _) => {
                    listener = None;
                    let _ = state.wait_for(|state| state.reach != Reach::Refused).await;
                }
                (Reach::Silent, None) => listener = self.listen_again().await,
                (Reach::Silent, Some(open)) => {
                    let fillers = fill(open, self.address);
                    let _ = state.wait_for(|state| state.reach != Reach::Silent).await;
                    empty(open, &fillers);
                }
            }
        }
    }

    async fn listen_again(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => Some(listener),
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(1)).await;
                None
            }
        }
    }

    fn accept(self: &Arc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, _)) = accepted else { return };
        tokio::spawn(self.clone().carry(stream));
    }

    /// Carries one connection until a side ends it.
    async fn carry(self: Arc<Self>, stream: TcpStream) {
        let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        let delay = self.state.borrow().connect_delay;
        if delay > 0 {
            tokio::time::sleep(Duration::from_micros(delay)).await;
        }
        let _ = stream.set_nodelay(true);
        let (near, far) = tokio::io::duplex(IN_FLIGHT);
        let serving = tokio::spawn(self.worker.clone().serve(far, connection));
        let mut carrier = Carrier {
            link: &self,
            state: self.state.subscribe(),
            connection,
            requests: Requests::default(),
            held: Vec::new(),
            last_heard: None,
            reset_at: None,
            router_closed: false,
            is_silenced: false,
        };
        let end = carrier.run(&stream, near).await;
        if end == End::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        if !carrier.router_closed {
            self.history.add(Record::ConnectionClosedByWorker { connection });
        }
        // What the worker does with a connection that has ended is its own affair.
        drop(serving);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Fills the accept queue, so that the system drops what comes: to a router the machine is silent.
fn fill(listener: &TcpListener, address: SocketAddr) -> Vec<BlockingStream> {
    let _ = SockRef::from(listener).listen(0);
    (0..FILLERS).filter_map(|_| begin_connect(address).ok()).collect()
}

/// Begins a connection and does not wait for it.
fn begin_connect(address: SocketAddr) -> io::Result<BlockingStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // In progress, which is reported as an error.
    let _ = socket.connect(&address.into());
    Ok(socket.into())
}

/// Takes out what filled the queue, and lets connections come up again.
fn empty(listener: &TcpListener, fillers: &[BlockingStream]) {
    let _ = SockRef::from(listener).listen(BACKLOG);
    // Whatever came up unseen was never carried; its router connects again.
    for _ in fillers {
        let _ = SockRef::from(listener).accept();
    }
}

/// How a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    InOrder,
    Reset,
}

/// Carries the bytes of one connection.
struct Carrier<'a> {
    link: &'a Link,
    state: watch::Receiver<LinkState>,
    connection: ConnectionNumber,
    requests: Requests,
    /// What the router wrote and the worker has not got.
    held: Vec<u8>,
    /// When the worker last said something.
    last_heard: Option<Instant>,
    reset_at: Option<Instant>,
    /// Whether the router has ended the connection.
    router_closed: bool,
    /// Whether the link has been silent meanwhile.
    is_silenced: bool,
}

impl Carrier<'_> {
    async fn run(&mut self, stream: &TcpStream, near: DuplexStream) -> End {
        let (mut from_worker, mut to_worker) = tokio::io::split(near);
        let mut answer = vec![0; READ_BYTES];
        loop {
            let state = *self.state.borrow_and_update();
            let is_up = state.reach != Reach::Silent;
            if !is_up && !std::mem::replace(&mut self.is_silenced, true) {
                self.link.history.add(Record::ConnectionStalled { connection: self.connection });
            }
            if is_up && !self.held.is_empty() && to_worker.write_all(&self.held).await.is_ok() {
                self.held.clear();
            }
            if is_up && self.router_closed {
                return End::InOrder;
            }
            let idle_since = self.last_heard.filter(|_| self.requests.is_between());
            let close_at = idle_since.zip(state.closes_idle_after).map(|(at, after)| at + micros(after));
            tokio::select! {
                biased;
                _ = self.state.changed() => {}
                () = until(close_at), if is_up => return End::InOrder,
                () = until(self.reset_at) => return End::Reset,
                read = read_some(stream), if !self.router_closed => {
                    let bytes = match read {
                        Ok(bytes) if !bytes.is_empty() => bytes,
                        ended => {
                            self.router_closed = true;
                            let connection = self.connection;
                            self.link.history.add(Record::ConnectionClosedByRouter { connection });
                            if ended.is_err() {
                                // Reset: what is still on its way is lost with it.
                                return End::Reset;
                            }
                            continue;
                        }
                    };
                    if self.is_forgotten(&state) {
                        return End::Reset;
                    }
                    self.take(&bytes, &state);
                }
                read = from_worker.read(&mut answer), if is_up => match read {
                    Ok(length) if length > 0 => {
                        self.last_heard = Some(Instant::now());
                        if write(stream, &answer[..length], state.in_pieces).await.is_err() {
                            return End::Reset;
                        }
                    }
                    // A process that closes does it in order, and one that dies resets: seen from here both look alike.
                    _ => return if rand::rng().random_bool(0.5) { End::InOrder } else { End::Reset },
                },
            }
        }
    }

    fn is_forgotten(&self, state: &LinkState) -> bool {
        let idle = self.last_heard.filter(|_| self.requests.is_between());
        idle.zip(state.forgets_idle_after).is_some_and(|(at, after)| at.elapsed() >= micros(after))
    }

    /// Takes in what the router wrote.
    fn take(&mut self, bytes: &[u8], state: &LinkState) {
        self.held.extend_from_slice(bytes);
        let began = self.requests.take(bytes);
        for begun in began {
            let (call, request) = classify(&begun.head);
            if state.resets > 0.0 && rand::rng().random_bool(state.resets.min(1.0)) {
                let after = rand::rng().random_range(0..RESET_WITHIN);
                self.reset_at = Some(Instant::now() + micros(after));
            }
            let propagated_timeout = begun.head.header("x-deadline").and_then(parse_duration);
            let (router, worker) = (self.link.router, self.link.worker.settings.index);
            let connection = self.connection;
            let record =
                Record::CallStarted { call, request, router, worker, connection, propagated_timeout };
            self.link.history.add_at(begun.at, record);
        }
    }
}

/// A request whose head has come.
struct Begun {
    at: Micros,
    head: http::Head,
}

/// Finds the requests in what a router writes.
#[derive(Default)]
struct Requests {
    head: Vec<u8>,
    body_left: usize,
    began_at: Micros,
}

impl Requests {
    /// Whether the last request has come whole.
    fn is_between(&self) -> bool {
        self.head.is_empty() && self.body_left == 0
    }

    fn take(&mut self, mut bytes: &[u8]) -> Vec<Begun> {
        let mut begun = Vec::new();
        while !bytes.is_empty() {
            if self.body_left > 0 {
                let taken = self.body_left.min(bytes.len());
                self.body_left -= taken;
                bytes = &bytes[taken..];
                continue;
            }
            if self.head.is_empty() {
                self.began_at = clock::now();
            }
            self.head.extend_from_slice(bytes);
            let Ok(Some((head, length))) = http::parse_request(&self.head) else { break };
            let before = self.head.len() - bytes.len();
            bytes = &bytes[length - before..];
            self.head.clear();
            self.body_left = head.content_length();
            begun.push(Begun { at: self.began_at, head });
        }
        begun
    }
}

fn micros(time: Micros) -> Duration {
    Duration::from_micros(time)
}

async fn until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

/// Reads what has come; empty at the end. May be dropped and called again.
async fn read_some(stream: &TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; READ_BYTES];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(length) => {
                bytes.truncate(length);
                return Ok(bytes);
            }
        }
    }
}

async fn write(stream: &TcpStream, bytes: &[u8], in_pieces: bool) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let most = if in_pieces { rand::rng().random_range(1..=64) } else { rest.len() };
        stream.writable().await?;
        match stream.try_write(&rest[..most.min(rest.len())]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(written) => rest = &rest[written..],
        }
        let pause = if in_pieces && rand::rng().random_bool(0.1) { PIECE_PAUSE } else { 0 };
        tokio::time::sleep(micros(pause)).await;
    }
    Ok(())
}
