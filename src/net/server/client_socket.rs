//! The state of a client connection: its phase, its request framing, and whether the client has disconnected.
//!
//! It is shared by hyper's I/O ([`GatedSocket`](super::gated_socket::GatedSocket)), the connection task,
//! which decides when the connection closes, the registry of connections and the request handler. All of them
//! run on one thread.

use crate::net::framing::{FramingParser, HeadFraming};
use crate::net::server::pipeline_wait::PipelineWait;
use crate::net::server::read_ahead::{CloseVisibility, ReadAhead};
use crate::net::server::read_gate::ReadGate;
use crate::net::server::read_limits::ReadLimits;
use crate::net::server::read_scheduler::ConnectionReads;
use crate::net::server::socket_probe;
use crate::rules::close::{ConnectionPhase, ConnectionSnapshot, Eviction};
use crate::runtime::exchange::ClientConnection;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The interval of polling for a disconnect while unread bytes are pending. Well below 100 ms: no request may
/// be forwarded for a client that disconnected that long ago.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same while bytes are read ahead that a close may follow.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(1);
/// The number of bytes after a request that are checked for the method of another one; no method is longer.
const METHOD_PEEK_BYTES: usize = 32;

/// A client's socket and the state of its connection.
pub struct ClientSocket {
    number: u64,
    accepted_at: Instant,
    stream: Rc<TcpStream>,
    phase: Cell<ConnectionPhase>,
    gate: ReadGate,
    reads: ConnectionReads,
    /// Whether the response in progress is the connection's last.
    is_last_response: Cell<bool>,
    is_write_blocked: Cell<bool>,
    eviction: Cell<Eviction>,
    has_responded: Cell<bool>,
    pipelining: PipelineWait,
    changed: Notify,
    framing: RefCell<FramingParser>,
    read_ahead: RefCell<ReadAhead>,
    /// Whether the close of the connection could not be detected at some time in the current phase.
    is_close_hidden: Cell<bool>,
}

impl ClientSocket {
    /// Wraps a newly accepted connection. `number` identifies it in the log.
    pub fn new(number: u64, stream: Rc<TcpStream>, limits: ReadLimits) -> Rc<Self> {
        Rc::new(ClientSocket {
            number,
            accepted_at: Instant::now(),
            stream,
            phase: Cell::new(ConnectionPhase::Idle(Instant::now())),
            gate: ReadGate::new(),
            reads: ConnectionReads::new(limits.scheduler),
            is_last_response: Cell::new(false),
            is_write_blocked: Cell::new(false),
            eviction: Cell::new(Eviction::None),
            has_responded: Cell::new(false),
            pipelining: PipelineWait::default(),
            changed: Notify::new(),
            framing: RefCell::default(),
            read_ahead: RefCell::new(ReadAhead::new(limits.read_ahead_memory)),
            is_close_hidden: Cell::new(false),
        })
    }

    /// The accepted TCP stream that the connection runs on.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// The number that identifies the connection in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The state of the connection, as input to [`close_deadline`](crate::rules::close::close_deadline).
    pub fn snapshot(&self, is_closing_phase: bool) -> ConnectionSnapshot {
        ConnectionSnapshot {
            phase: self.phase.get(),
            accepted_at: self.accepted_at,
            has_responded: self.has_responded.get(),
            is_write_blocked: self.is_write_blocked.get(),
            eviction: self.eviction.get(),
            is_closing_phase,
        }
    }

    /// The phase of the connection.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Whether output is pending because the client does not read it.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Whether the connection is evicted because its slot is needed.
    pub fn eviction(&self) -> Eviction {
        self.eviction.get()
    }

    /// Resolves when the connection enters another phase or is evicted. Cancel safe: a change without a
    /// waiter resolves the next call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether bytes were received that belong to no request so far: unread, or read ahead.
    pub fn has_pending_bytes(&self) -> bool {
        self.has_read_ahead() || self.has_unread_bytes()
    }

    /// Whether received bytes have not been read from the socket.
    pub fn has_unread_bytes(&self) -> bool {
        socket_probe::has_unread_bytes(&self.stream)
    }

    /// Whether reading has stopped within a request's body, so that the connection can carry no other
    /// request. A request whose framing could not be parsed counts as a body without end.
    pub fn is_within_body(&self) -> bool {
        !self.framing.borrow().is_in_head()
    }
}

/// Detection of client disconnects.
impl ClientSocket {
    /// Whether the client has closed the connection, or at least its sending side. Queries the kernel, not
    /// the readiness cached by the runtime. A close behind bytes that the kernel has not received is not seen.
    pub fn has_closed(&self) -> bool {
        socket_probe::is_closed_by_peer(&self.stream)
    }

    /// Whether the client has closed the connection, or may have done so unseen: it has sent more behind the
    /// active request than may be read ahead. No attempt may be made for such a request.
    pub fn has_disconnected(&self) -> bool {
        self.check_disconnect().is_break()
    }

    /// Reads ahead, and checks whether the client has disconnected. If not, returns whether a close would be seen.
    fn check_disconnect(&self) -> ControlFlow<(), CloseVisibility> {
        let visibility = self.read_ahead();
        if self.is_close_hidden.get() || self.has_closed() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(visibility)
    }

    /// Whether a close would not be seen, because the client has sent too much behind the active request.
    pub fn is_close_hidden(&self) -> bool {
        self.is_close_hidden.get()
    }

    /// Resolves when [`has_disconnected`](Self::has_disconnected) returns true. Cancel safe.
    pub async fn disconnected(&self) {
        loop {
            let ControlFlow::Continue(visibility) = self.check_disconnect() else { return };
            if self.has_read_ahead() {
                self.pipelining.record_next_request();
            }
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            if !self.has_unread_bytes() {
                // All received bytes have been read. `WouldBlock` clears the runtime's cached readiness, so
                // that the next iteration waits for a new event.
                let _ = self.stream.try_io(Interest::READABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
                continue;
            }
            self.pipelining.record_next_request();
            // Unread bytes keep the socket readable, so no event reports a close that follows them.
            let is_catching_up = visibility == CloseVisibility::CatchingUp;
            tokio::time::sleep(if is_catching_up { CATCH_UP_INTERVAL } else { DISCONNECT_POLL_INTERVAL })
                .await;
        }
    }

    /// Reads ahead behind the active request, as far as necessary for a close to be seen. Once a response is
    /// streamed, no further attempt depends on the client, and nothing is read ahead.
    fn read_ahead(&self) -> CloseVisibility {
        if self.phase.get() != ConnectionPhase::AwaitingResponse {
            return CloseVisibility::Visible;
        }
        let visibility = self.read_ahead.borrow_mut().read_available(&self.stream);
        if visibility == CloseVisibility::Hidden && !self.is_close_hidden.replace(true) {
            log::debug!("connection {}: too many bytes behind the active request", self.number);
        }
        visibility
    }

    /// A handle by which the upstream side of a request checks whether the client has disconnected.
    pub fn connection(self: &Rc<Self>) -> ClientConnection {
        let client = self.clone();
        ClientConnection::new(Rc::new(move || client.has_disconnected()))
    }

    /// The time since the active request was first detected while it waited for the request before it; zero
    /// if it did not wait. The client's deadline includes this time.
    pub fn pipeline_wait(&self) -> Duration {
        self.pipelining.elapsed()
    }
}

/// Request framing.
impl ClientSocket {
    /// The gate in front of hyper's reads.
    pub(super) fn gate(&self) -> &ReadGate {
        &self.gate
    }

    /// The reads of this connection, which the scheduler of all connections limits.
    pub(super) fn reads(&self) -> &ConnectionReads {
        &self.reads
    }

    /// Whether bytes that were read ahead are left.
    pub(super) fn has_read_ahead(&self) -> bool {
        !self.read_ahead.borrow().is_empty()
    }

    /// The framing of the next head that is passed to the request handler.
    pub fn next_head_framing(&self) -> HeadFraming {
        self.framing.borrow_mut().next_head()
    }

    /// Whether the bytes after the active request cannot begin another one: the declared length of its body
    /// was too short.
    pub fn has_excess_bytes(&self) -> bool {
        let mut bytes = [0; METHOD_PEEK_BYTES];
        let received = self.read_ahead.borrow().peek(&self.stream, &mut bytes);
        let method = bytes[..received].split(|b| matches!(b, b' ' | b'\n')).next().unwrap_or_default();
        !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
    }

    /// The number of further bytes that belong to the request being received, whatever their content.
    pub(super) fn bytes_within_request(&self) -> u64 {
        self.framing.borrow().bytes_within_request()
    }

    /// The number of these peeked bytes that belong to the request being received.
    pub(super) fn request_bytes_in(&self, received: &[u8]) -> usize {
        self.framing.borrow().clone().advance(received)
    }

    /// Moves bytes that were read ahead into `buf`, up to the end of the request being received.
    pub(super) fn take_read_ahead(&self, buf: &mut ReadBuf<'_>) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let front = read_ahead.front();
        let available = &front[..front.len().min(buf.remaining())];
        let length = self.request_bytes_in(available);
        buf.put_slice(&available[..length]);
        read_ahead.consume(length);
    }

    /// Records bytes that were read from the socket while hyper waited for them.
    pub(super) fn record_socket_read(&self, length: usize) {
        self.read_ahead.borrow_mut().record_read(length);
    }

    /// Records bytes that hyper has read. Closes the gate after the last byte of a request.
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
    /// Records that the active request has been received completely.
    pub fn complete_request(&self) {
        self.enter_phase(ConnectionPhase::AwaitingResponse);
    }

    /// Records that a streamed response to the active request begins.
    pub fn begin_streaming(&self) {
        self.enter_phase(ConnectionPhase::Streaming);
    }

    /// Marks the response in progress as the connection's last: no request is read after it.
    pub fn mark_last_response(&self) {
        self.is_last_response.set(true);
    }

    /// Records that hyper is done with a response. Opens the gate for the next request unless this response
    /// was the last.
    pub fn finish_response(&self) {
        self.has_responded.set(true);
        self.reads.record_response();
        self.enter_phase(ConnectionPhase::Idle(Instant::now()));
        if !self.is_last_response.get() {
            self.gate.open();
        }
    }

    /// Frees the memory of bytes that were read ahead, when the connection has ended.
    pub(super) fn discard_read_ahead(&self) {
        self.read_ahead.borrow_mut().clear();
    }

    /// Records that the sending side of the connection is being shut down.
    pub fn begin_closing(&self) {
        self.enter_phase(ConnectionPhase::Closing(Instant::now()));
    }

    /// Evicts the connection because its slot is needed. Never downgrades an earlier, more urgent eviction.
    pub fn evict(&self, eviction: Eviction) {
        self.eviction.set(eviction.max(self.eviction.get()));
        self.changed.notify_one();
    }

    /// Records whether output is pending because the client does not read it.
    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.set(is_blocked);
    }

    /// Changes the phase and wakes the connection task. Every phase change goes through this method.
    fn enter_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.is_close_hidden.set(false);
        self.changed.notify_one();
    }
}
