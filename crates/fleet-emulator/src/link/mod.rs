//! The network between one router and one worker: a proxy that emulates network faults.
//!
//! A link observes the bytes of a router when they are written, so what it records is the behaviour of the router and
//! not that of the worker.

mod carrier;
mod scanner;

use crate::clock::{self, Timestamp};
use crate::history::History;
use crate::record::{ConnectionId, Record, RouterIndex};
use crate::worker::Worker;
use carrier::{Carrier, End};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BACKLOG: i32 = 128;
/// The number of connections that fill the accept queue of a listener with a backlog of 0.
const FILLER_CONNECTIONS: usize = 2;
/// The bytes between a link and its worker, which is more than any request has.
const WORKER_BUFFER_BYTES: usize = 1 << 20;
/// The pause before another try to listen on an address that is still in use.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(1);

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// Whether a router can reach a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It can.
    #[default]
    Up,
    /// Nothing passes: open connections stay open, new ones are never established.
    Unresponsive,
    /// There is no process: new connections are refused.
    Refused,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether the router can reach the worker.
    pub reachability: Reachability,
    /// The time from the start of a connection until it carries bytes.
    pub connect_delay: Duration,
    /// Whether responses arrive in small fragments.
    pub is_fragmenting: bool,
    /// The probability that a connection is reset under a request.
    pub reset_probability: f64,
    /// Connections that are idle for this time are closed.
    pub idle_close_after: Option<Duration>,
    /// Connections that are idle for this time are dropped silently: the next request is answered by a reset.
    pub idle_drop_after: Option<Duration>,
}

/// The path from one router to one worker.
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
    /// The address is in use.
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

    /// Changes the state of the link.
    pub fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// Accepts connections, and emulates a worker that can't be reached.
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
                    listener = self.listen_again().await;
                }
                (Reachability::Refused, _) => {
                    listener = None;
                    let _ = state.wait_for(|state| state.reachability != Reachability::Refused).await;
                }
                (Reachability::Unresponsive, Some(open)) => {
                    let fillers = fill_accept_queue(open, self.address);
                    let _ = state.wait_for(|state| state.reachability != Reachability::Unresponsive).await;
                    empty_accept_queue(open, &fillers);
                }
            }
        }
    }

    async fn listen_again(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => Some(listener),
            Err(_) => {
                tokio::time::sleep(LISTEN_RETRY_PAUSE).await;
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
        let connection: ConnectionId = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        let delay = self.state.borrow().connect_delay;
        let first_byte_at = if delay.is_zero() { None } else { delay_connection(&stream, delay).await };
        let _ = stream.set_nodelay(true);
        let (near, far) = tokio::io::duplex(WORKER_BUFFER_BYTES);
        let serving = tokio::spawn(self.worker.clone().serve(far, connection));
        let mut carrier = Carrier::new(&self, self.state.subscribe(), connection, first_byte_at);
        let end = carrier.run(&stream, near).await;
        if end == End::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        drop(stream);
        if !carrier.is_closed_by_router() {
            self.history.add(Record::ConnectionClosedByWorker { connection });
        }
        // The worker notices the end of the connection by itself, so its task is detached and not aborted.
        drop(serving);
    }
}

/// Waits while a connection carries nothing. Returns when the router wrote its first byte, if it did so meanwhile.
async fn delay_connection(stream: &TcpStream, delay: Duration) -> Option<Timestamp> {
    let until = clock::now() + delay;
    let is_written = tokio::time::timeout(delay, stream.readable()).await.is_ok();
    let first_byte_at = is_written.then(clock::now);
    clock::sleep_until(until).await;
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

/// Fills the accept queue so that the kernel drops further connection attempts, as if the machine were unresponsive.
fn fill_accept_queue(listener: &TcpListener, address: SocketAddr) -> Vec<BlockingStream> {
    let _ = SockRef::from(listener).listen(0);
    (0..FILLER_CONNECTIONS).filter_map(|_| begin_connect(address).ok()).collect()
}

/// Starts a connection without waiting for it to be established.
fn begin_connect(address: SocketAddr) -> io::Result<BlockingStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // The connection is in progress, which is reported as an error.
    let _ = socket.connect(&address.into());
    Ok(socket.into())
}

/// Removes the connections that filled the accept queue, so that new ones are established again.
fn empty_accept_queue(listener: &TcpListener, fillers: &[BlockingStream]) {
    let _ = SockRef::from(listener).listen(BACKLOG);
    // This may remove a router's connection in place of a filler. It has carried nothing, so the router retries.
    for _ in fillers {
        let _ = SockRef::from(listener).accept();
    }
}
