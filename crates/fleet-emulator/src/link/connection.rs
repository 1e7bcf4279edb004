//! Forwards the data of one connection between a router and a worker, with emulated faults.

use super::scanner::{RequestScanner, ScannedRequest};
use super::{Link, LinkState, Reachability};
use crate::clock::{self, Timestamp};
use crate::protocol::{classify_call, propagated_timeout};
use crate::record::{ConnectionId, Record};
use rand::Rng;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The size of the buffers for reads from the router and from the worker.
const READ_BYTES: usize = 16 * 1024;
/// The largest fragment of a fragmented response.
const MAX_FRAGMENT_BYTES: usize = 64;
/// The share of fragments after which the link pauses.
const FRAGMENT_PAUSE_SHARE: f64 = 0.1;
/// The length of the pause after a fragment.
const FRAGMENT_PAUSE: Duration = Duration::from_millis(3);
/// The longest delay between the start of a request and an injected reset of its connection.
const MAX_RESET_DELAY: Duration = Duration::from_millis(300);

/// How a link closes a connection to its router.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseKind {
    /// With a FIN.
    Graceful,
    /// With an RST.
    Reset,
}

/// A connection that the link forwards.
pub(super) struct ProxiedConnection<'a> {
    link: &'a Link,
    state: watch::Receiver<LinkState>,
    id: ConnectionId,
    scanner: RequestScanner,
    /// The bytes from the router that have not been forwarded to the worker.
    undelivered: Vec<u8>,
    /// The time at which data from the worker last arrived.
    last_response_at: Option<Timestamp>,
    /// When the connection is going to be reset, if a reset is scheduled.
    reset_at: Option<Timestamp>,
    is_closed_by_router: bool,
    /// Whether the connection has stalled at least once.
    was_stalled: bool,
}

impl<'a> ProxiedConnection<'a> {
    /// Creates the state of an accepted connection. `first_byte_at` is the time of the router's first byte,
    /// if that arrived before forwarding starts.
    pub(super) fn new(
        link: &'a Link,
        state: watch::Receiver<LinkState>,
        id: ConnectionId,
        first_byte_at: Option<Timestamp>,
    ) -> Self {
        ProxiedConnection {
            link,
            state,
            id,
            scanner: RequestScanner::new(first_byte_at),
            undelivered: Vec::new(),
            last_response_at: None,
            reset_at: None,
            is_closed_by_router: false,
            was_stalled: false,
        }
    }

    pub(super) fn is_closed_by_router(&self) -> bool {
        self.is_closed_by_router
    }

    /// Forwards data in both directions until either side closes the connection. While the link is
    /// unresponsive, it forwards neither data nor a close by the router.
    pub(super) async fn forward(&mut self, stream: &TcpStream, worker: DuplexStream) -> CloseKind {
        let (mut from_worker, mut to_worker) = tokio::io::split(worker);
        let mut response = vec![0; READ_BYTES];
        loop {
            let state = *self.state.borrow_and_update();
            let is_responsive = state.reachability != Reachability::Unresponsive;
            if !is_responsive {
                self.record_stall();
            }
            if is_responsive
                && !self.undelivered.is_empty()
                && to_worker.write_all(&self.undelivered).await.is_ok()
            {
                self.undelivered.clear();
            }
            if is_responsive && self.is_closed_by_router {
                return CloseKind::Graceful;
            }
            let close_at = self.idle_since().zip(state.idle_close_after).map(|(since, after)| since + after);
            tokio::select! {
                // Changes of the link state, and a close or reset that is due, take precedence over data that
                // is ready.
                biased;
                _ = self.state.changed() => {}
                () = clock::sleep_until_or_forever(close_at), if is_responsive => return CloseKind::Graceful,
                () = clock::sleep_until_or_forever(self.reset_at) => return CloseKind::Reset,
                read = read_available(stream), if !self.is_closed_by_router => {
                    if let ControlFlow::Break(kind) = self.handle_router_read(read, &state) {
                        return kind;
                    }
                }
                read = from_worker.read(&mut response), if is_responsive => {
                    let Some(length) = read.ok().filter(|length| *length > 0) else { return draw_close() };
                    self.last_response_at = Some(clock::now());
                    if write(stream, &response[..length], state.is_fragmenting).await.is_err() {
                        return CloseKind::Reset;
                    }
                }
            }
        }
    }

    fn record_stall(&mut self) {
        if !self.was_stalled {
            self.was_stalled = true;
            self.link.history.add(Record::ConnectionStalled { connection: self.id });
        }
    }

    /// The start of the current idle period; `None` during a request and before the first response.
    fn idle_since(&self) -> Option<Timestamp> {
        self.last_response_at.filter(|_| self.scanner.is_between_requests())
    }

    /// Whether the connection has been idle for so long that the network has silently dropped it.
    fn is_dropped(&self, state: &LinkState) -> bool {
        let idle = self.idle_since().zip(state.idle_drop_after);
        idle.is_some_and(|(since, after)| clock::now().since(since) >= after)
    }

    /// Handles data from the router, or the close of the connection by the router.
    fn handle_router_read(&mut self, read: io::Result<Vec<u8>>, state: &LinkState) -> ControlFlow<CloseKind> {
        let bytes = match read {
            Ok(bytes) if !bytes.is_empty() => bytes,
            closed => {
                self.is_closed_by_router = true;
                let connection = self.id;
                self.link.history.add(Record::ConnectionClosedByRouter { connection });
                // A reset discards undelivered bytes. After a graceful close they are still delivered.
                return if closed.is_err() {
                    ControlFlow::Break(CloseKind::Reset)
                } else {
                    ControlFlow::Continue(())
                };
            }
        };
        if self.is_dropped(state) {
            return ControlFlow::Break(CloseKind::Reset);
        }
        self.undelivered.extend_from_slice(&bytes);
        for request in self.scanner.scan(&bytes) {
            self.schedule_reset(state);
            self.record_call(&request);
        }
        ControlFlow::Continue(())
    }

    fn schedule_reset(&mut self, state: &LinkState) {
        let probability = state.reset_probability;
        if probability > 0.0 && rand::rng().random_bool(probability.min(1.0)) {
            let delay = rand::rng().random_range(Duration::ZERO..MAX_RESET_DELAY);
            self.reset_at = Some(clock::now() + delay);
        }
    }

    fn record_call(&self, ScannedRequest { started_at, head }: &ScannedRequest) {
        let (call, request) = classify_call(head);
        let record = Record::CallStarted {
            call,
            request,
            router: self.link.router,
            worker: self.link.worker.settings.index,
            connection: self.id,
            propagated_timeout: propagated_timeout(head),
        };
        self.link.history.add_at(*started_at, record);
    }
}

/// Draws how the link closes a connection that the worker has closed. A worker that closes a connection sends
/// a FIN and one that crashes sends an RST, but the in-memory connection does not tell the two apart.
fn draw_close() -> CloseKind {
    if rand::rng().random_bool(0.5) { CloseKind::Graceful } else { CloseKind::Reset }
}

/// Reads the available bytes; empty at the end of the stream. Cancel-safe.
async fn read_available(stream: &TcpStream) -> io::Result<Vec<u8>> {
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

/// Writes data to the router, in random fragments with occasional pauses if `is_fragmenting`.
async fn write(stream: &TcpStream, bytes: &[u8], is_fragmenting: bool) -> io::Result<()> {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let limit =
            if is_fragmenting { rand::rng().random_range(1..=MAX_FRAGMENT_BYTES) } else { remaining.len() };
        stream.writable().await?;
        match stream.try_write(&remaining[..limit.min(remaining.len())]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(length) => remaining = &remaining[length..],
        }
        let is_paused = is_fragmenting && rand::rng().random_bool(FRAGMENT_PAUSE_SHARE);
        tokio::time::sleep(if is_paused { FRAGMENT_PAUSE } else { Duration::ZERO }).await;
    }
    Ok(())
}
