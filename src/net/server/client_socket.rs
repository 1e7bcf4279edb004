//! The state of a client connection: what has been read, what it is doing, and whether its client is still there.
//!
//! It is shared by hyper's input and output ([`GatedSocket`](super::gated_socket::GatedSocket)), the task that decides
//! when the connection closes, the registry of connections and the request handler. All of them run on one thread.

use crate::net::server::framing::{Framing, HeadFraming};
use crate::net::server::read_gate::ReadGate;
use crate::net::server::socket_probe;
use crate::rules::close::{ConnectionPhase, ConnectionSnapshot, Eviction};
use crate::runtime::exchange::ClientConnection;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often a close behind unread bytes is polled for. Nothing may be forwarded for a client that disconnected 0.1 s
/// ago; this is well within that.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Enough bytes to tell whether what follows a request may begin another: more than any method has.
const METHOD_BYTES: usize = 32;

/// A client's socket and what is known of it.
pub struct ClientSocket {
    number: u64,
    accepted: Instant,
    stream: Rc<TcpStream>,
    phase: Cell<ConnectionPhase>,
    gate: ReadGate,
    /// Whether the response in progress is the connection's last.
    is_last_response: Cell<bool>,
    is_write_blocked: Cell<bool>,
    eviction: Cell<Eviction>,
    has_answered: Cell<bool>,
    pipelining: PipelineWait,
    changed: Notify,
    framing: RefCell<Framing>,
}

/// Since when pipelined requests have waited for the one before them.
#[derive(Default)]
struct PipelineWait {
    /// When bytes of the next request were first seen behind the active one.
    next_since: Cell<Option<Instant>>,
    /// The same for the request that was read last.
    current_since: Cell<Option<Instant>>,
}

impl PipelineWait {
    /// Bytes of the next request wait behind the active one.
    fn record_next_request(&self) {
        if self.next_since.get().is_none() {
            self.next_since.set(Some(Instant::now()));
        }
    }

    /// The next request is read, and becomes the current one.
    fn begin_request(&self) {
        self.current_since.set(self.next_since.take());
    }

    /// How long ago the current request was first seen waiting; zero if it did not wait.
    fn elapsed(&self) -> Duration {
        self.current_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }
}

/// What the connection is doing, for those who decide about it.
impl ClientSocket {
    /// A connection that was accepted now. `number` identifies it in the log.
    pub fn new(number: u64, stream: Rc<TcpStream>) -> Rc<Self> {
        Rc::new(ClientSocket {
            number,
            accepted: Instant::now(),
            stream,
            phase: Cell::new(ConnectionPhase::Idle(Instant::now())),
            gate: ReadGate::new(),
            is_last_response: Cell::new(false),
            is_write_blocked: Cell::new(false),
            eviction: Cell::new(Eviction::None),
            has_answered: Cell::new(false),
            pipelining: PipelineWait::default(),
            changed: Notify::new(),
            framing: RefCell::default(),
        })
    }

    /// The socket itself.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// The number that identifies the connection in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The state of the connection now, as the rules on closing it take it.
    pub fn facts(&self, is_closing_phase: bool) -> ConnectionSnapshot {
        ConnectionSnapshot {
            phase: self.phase.get(),
            accepted_at: self.accepted,
            has_answered: self.has_answered.get(),
            is_write_blocked: self.is_write_blocked.get(),
            eviction: self.eviction.get(),
            is_closing_phase,
        }
    }

    /// What the connection is doing.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Whether bytes of a response wait that the client does not take.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Whether the connection is to close because its slot is needed.
    pub fn eviction(&self) -> Eviction {
        self.eviction.get()
    }

    /// Resolves when the connection enters another phase or is evicted. Cancel-safe: a change that nobody waits for
    /// resolves the next call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether bytes have been received that were not read.
    pub fn has_unread_bytes(&self) -> bool {
        socket_probe::has_unread_bytes(&self.stream)
    }

    /// Whether the connection can carry no further request: the last request's body was not read to its end, or its
    /// framing could not be followed.
    pub fn is_exhausted(&self) -> bool {
        !self.framing.borrow().is_between_requests()
    }
}

/// Whether the client is still there.
impl ClientSocket {
    /// Whether the client has closed the connection, or at least its sending side, as the system knows it at this
    /// moment.
    pub fn has_disconnected(&self) -> bool {
        socket_probe::is_closed_by_peer(&self.stream)
    }

    /// Resolves when the client has closed the connection or its sending side. Cancel-safe.
    pub async fn disconnected(&self) {
        while !self.has_disconnected() {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            if !self.has_unread_bytes() {
                // All that made the socket readable has been read. Reporting that nothing is left clears the runtime's
                // readiness, so that the next round waits for a new event.
                let _ = self.stream.try_io(Interest::READABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
                continue;
            }
            self.pipelining.record_next_request();
            // Bytes that are left unread keep the socket readable: no event announces a close behind them.
            tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// The connection as the upstream side of a request sees it.
    pub fn connection(self: &Rc<Self>) -> ClientConnection {
        let client = self.clone();
        ClientConnection::new(Rc::new(move || client.has_disconnected()))
    }

    /// How long the active request had waited behind the one before it when it was read, and has since: its client's
    /// deadline has run all that time.
    pub fn pipeline_wait(&self) -> Duration {
        self.pipelining.elapsed()
    }
}

/// The framing of requests as they are read.
impl ClientSocket {
    /// The gate that hyper's reads pass.
    pub(super) fn gate(&self) -> &ReadGate {
        &self.gate
    }

    /// Whether the next head that is passed to the request handler can be read in one way only.
    pub fn next_head_framing(&self) -> HeadFraming {
        self.framing.borrow_mut().next_head()
    }

    /// Whether the bytes behind the active request cannot begin another one: its declared length was too short.
    pub fn has_excess_bytes(&self) -> bool {
        let mut bytes = [0; METHOD_BYTES];
        let received = socket_probe::peek(&self.stream, &mut bytes);
        let method = bytes[..received].split(|b| matches!(b, b' ' | b'\n')).next().unwrap_or_default();
        !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
    }

    /// How many of the bytes to come certainly belong to the request that is arriving.
    pub(super) fn bytes_within_request(&self) -> u64 {
        self.framing.borrow().bytes_within_request()
    }

    /// How many of these bytes, which have been received and not read, belong to the request that is arriving.
    pub(super) fn request_bytes_in(&self, received: &[u8]) -> usize {
        self.framing.borrow().clone().advance(received)
    }

    /// Records bytes that hyper has read. The gate closes behind the last byte of a request.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if let ConnectionPhase::Idle(_) = self.phase.get() {
            self.pipelining.begin_request();
            self.enter_phase(ConnectionPhase::ReceivingRequest(Instant::now()));
        }
        let mut framing = self.framing.borrow_mut();
        framing.advance(bytes);
        if framing.is_at_request_end() {
            self.gate.close();
        }
    }
}

/// Transitions between phases.
impl ClientSocket {
    /// The request has been received to its end.
    pub fn complete_request(&self) {
        self.enter_phase(ConnectionPhase::AwaitingResponse);
    }

    /// The response to the active request is a stream, and begins.
    pub fn begin_streaming(&self) {
        self.enter_phase(ConnectionPhase::Streaming);
    }

    /// The response in progress is the last one: nothing is read behind it.
    pub fn mark_last_response(&self) {
        self.is_last_response.set(true);
    }

    /// A response has been handed over: the next request may be read, unless this response was the last.
    pub fn finish_response(&self) {
        self.has_answered.set(true);
        self.enter_phase(ConnectionPhase::Idle(Instant::now()));
        if !self.is_last_response.get() {
            self.gate.open();
        }
    }

    /// The sending side of the connection is shut down.
    pub fn begin_closing(&self) {
        self.enter_phase(ConnectionPhase::Closing(Instant::now()));
    }

    /// The connection's slot is needed for others. A more urgent eviction is never weakened.
    pub fn evict(&self, eviction: Eviction) {
        self.eviction.set(eviction.max(self.eviction.get()));
        self.changed.notify_one();
    }

    /// Records whether the client currently takes what is written to it.
    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.set(is_blocked);
    }

    /// Every change of phase passes here, and wakes the task that decides when the connection closes.
    fn enter_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }
}
