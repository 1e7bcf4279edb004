//! The network between one router and one worker: a TCP proxy that emulates network faults.
//!
//! A link observes data from the router before any emulated delay or fault, so its records show the behaviour
//! of the router rather than that of the worker.

mod connection;
mod scanner;

use crate::clock::{self, Timestamp};
use crate::history::History;
use crate::record::{ConnectionId, Record, RouterIndex};
use crate::worker::Worker;
use connection::{CloseKind, ProxiedConnection};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The listen backlog of a reachable link.
const BACKLOG: i32 = 128;
/// The number of connections that fill the accept queue of a listener with a backlog of 0.
const FILLER_CONNECTIONS: usize = 2;
/// The size of the buffer between a link and its worker. It exceeds the size of any request.
const WORKER_BUFFER_BYTES: usize = 1 << 20;
/// The backoff before another attempt to listen on an address that is in use.
const LISTEN_RETRY_BACKOFF: Duration = Duration::from_millis(1);

static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(1);

/// Whether a router can reach a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// The link forwards data and accepts connections.
    #[default]
    Up,
    /// Packets are dropped: open connections stay open without data, new ones are never established.
    Unresponsive,
    /// No process listens: new connections are refused.
    Refused,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether data and new connections pass from the router to the worker.
    pub reachability: Reachability,
    /// The time from the establishment of a connection until it forwards data.
    pub connect_delay: Duration,
    /// Whether responses are forwarded in small fragments.
    pub is_fragmenting: bool,
    /// The probability per request, from 0 to 1, that its connection is reset.
    pub reset_probability: f64,
    /// The idle time after which a connection is closed.
    pub idle_close_after: Option<Duration>,
    /// The idle time after which a connection is silently dropped: the next request on it is answered with a
    /// reset.
    pub idle_drop_after: Option<Duration>,
}

/// The network link from one router to one worker.
#[derive(Debug)]
pub struct Link {
    /// The address to which the router connects.
    pub address: SocketAddr,
    router: RouterIndex,
    worker: Arc<Worker>,
    history: History,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Starts a link that listens on an address of its own.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub fn start(
        address: SocketAddr,
        router: RouterIndex,
        worker: Arc<Worker>,
        history: History,
    ) -> io::Result<Arc<Self>> {
        let link = Arc::new(Link { address, router, worker, history, state: watch::Sender::default() });
        let listener = listen(address)?;
        tokio::spawn(link.clone().run(listener));
        Ok(link)
    }

    /// Changes the state of the link, also for open connections.
    pub fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// Accepts connections while the worker is reachable, and otherwise refuses them or leaves them
    /// unanswered.
    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut state = self.state.subscribe();
        let mut listener = Some(listener);
        loop {
            let reachability = state.borrow_and_update().reachability;
            match (reachability, &listener) {
                (Reachability::Up, Some(open)) => {
                    tokio::select! {
                        _ = state.changed() => {}
                        accepted = open.accept() => self.accept(accepted),
                    }
                }
                (Reachability::Up | Reachability::Unresponsive, None) => {
                    listener = self.retry_listen().await;
                }
                (Reachability::Refused, _) => {
                    listener = None;
                    let _ = state.wait_for(|state| state.reachability != Reachability::Refused).await;
                }
                (Reachability::Unresponsive, Some(open)) => {
                    let fillers = fill_accept_queue(open, self.address);
                    let _ = state.wait_for(|state| state.reachability != Reachability::Unresponsive).await;
                    drain_accept_queue(open, &fillers);
                }
            }
        }
    }

    /// Listens again after new connections were refused. Returns `None` after a backoff if the address is
    /// still in use.
    async fn retry_listen(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => Some(listener),
            Err(_) => {
                tokio::time::sleep(LISTEN_RETRY_BACKOFF).await;
                None
            }
        }
    }

    fn accept(self: &Arc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, _)) = accepted else { return };
        tokio::spawn(self.clone().proxy(stream));
    }

    /// Proxies one connection until either side closes it.
    async fn proxy(self: Arc<Self>, stream: TcpStream) {
        let id: ConnectionId = NEXT_CONNECTION_ID.fetch_add(1, Ordering::Relaxed);
        let delay = self.state.borrow().connect_delay;
        let first_byte_at = if delay.is_zero() { None } else { delay_connection(&stream, delay).await };
        let _ = stream.set_nodelay(true);
        let (link_side, worker_side) = tokio::io::duplex(WORKER_BUFFER_BYTES);
        let worker_task = tokio::spawn(self.worker.clone().serve(worker_side, id));
        let mut connection = ProxiedConnection::new(&self, self.state.subscribe(), id, first_byte_at);
        let close_kind = connection.forward(&stream, link_side).await;
        if close_kind == CloseKind::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        if !connection.is_closed_by_router() {
            self.history.add(Record::ConnectionClosedByWorker { connection: id });
        }
        // The worker notices the close by itself, so its task is detached rather than aborted.
        drop(worker_task);
    }
}

/// Delays the forwarding of a connection. Returns the time of the router's first byte, if it arrived during
/// the delay.
async fn delay_connection(stream: &TcpStream, delay: Duration) -> Option<Timestamp> {
    let delay_ends_at = clock::now() + delay;
    let has_data = tokio::time::timeout(delay, stream.readable()).await.is_ok();
    let first_byte_at = has_data.then(clock::now);
    clock::sleep_until(delay_ends_at).await;
    first_byte_at
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Fills the accept queue, so that the kernel drops further SYNs as if the host were unresponsive.
fn fill_accept_queue(listener: &TcpListener, address: SocketAddr) -> Vec<BlockingStream> {
    let _ = SockRef::from(listener).listen(0);
    (0..FILLER_CONNECTIONS).filter_map(|_| begin_connect(address).ok()).collect()
}

/// Starts a connection without waiting for it to be established.
fn begin_connect(address: SocketAddr) -> io::Result<BlockingStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // A non-blocking connect reports the connection in progress as an error.
    let _ = socket.connect(&address.into());
    Ok(socket.into())
}

/// Removes the connections that fill the accept queue, so that new ones are established again.
fn drain_accept_queue(listener: &TcpListener, fillers: &[BlockingStream]) {
    let _ = SockRef::from(listener).listen(BACKLOG);
    // This may remove a connection of the router instead of a filler. No data was forwarded on it, so the
    // router retries.
    for _ in fillers {
        let _ = SockRef::from(listener).accept();
    }
}
