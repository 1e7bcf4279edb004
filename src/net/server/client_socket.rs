//! A client's socket: what is read of it, how far its request has come, and whether its client is still there.
//!
//! hyper reads through a gate that lets one request through and shuts behind its last byte until it has been answered.
//! What comes behind stays in the system's buffer: where it can't be answered any more it was never read, and its
//! client may send it again elsewhere.

use crate::net::failure::{TransferFailure, transfer_failure};
use crate::net::server::framing::Framing;
use crate::net::socket::{Socket, uninterrupted};
use crate::rules::close::{ConnectionFacts, Eviction, Phase};
use crate::runtime::exchange::ClientConnection;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, recv};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Between two looks for a close behind bytes that are left unread: well within the 0.1 s after which nothing may be
/// sent on for a client that has left.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Bytes of a head that are looked at in one step, ahead of their reading.
const PEEK_BYTES: usize = 4 * 1024;
/// Bytes that tell whether what stands behind a request may be the beginning of another: more than any method has.
const METHOD_BYTES: usize = 32;

/// A client's socket and what is known of it, shared between hyper's input, the supervisor and the service.
pub struct ClientSocket {
    /// Its number in the log.
    number: u64,
    accepted: Instant,
    stream: Rc<TcpStream>,
    phase: Cell<Phase>,
    /// Whether hyper may read.
    gate_open: Cell<bool>,
    /// Whether the answer under way is the last one.
    is_last_answer: Cell<bool>,
    /// Whoever wants to read while the gate is shut.
    reader: RefCell<Option<Waker>>,
    is_write_blocked: Cell<bool>,
    eviction: Cell<Eviction>,
    has_answered: Cell<bool>,
    /// When bytes of the next request were first seen to wait behind the one in hand.
    next_waits_since: Cell<Option<Instant>>,
    /// The same of the request that was read last.
    waited_since: Cell<Option<Instant>>,
    changed: Notify,
    framing: RefCell<Framing>,
}

impl ClientSocket {
    /// A connection accepted now.
    pub fn new(number: u64, stream: Rc<TcpStream>) -> Rc<Self> {
        Rc::new(ClientSocket {
            number,
            accepted: Instant::now(),
            stream,
            phase: Cell::new(Phase::Idle(Instant::now())),
            gate_open: Cell::new(true),
            is_last_answer: Cell::new(false),
            reader: RefCell::default(),
            is_write_blocked: Cell::new(false),
            eviction: Cell::new(Eviction::None),
            has_answered: Cell::new(false),
            next_waits_since: Cell::new(None),
            waited_since: Cell::new(None),
            changed: Notify::new(),
            framing: RefCell::default(),
        })
    }

    /// The socket itself.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// Its number in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// What is known of the connection now, for whoever decides on its end.
    pub fn facts(&self, is_closing_stage: bool) -> ConnectionFacts {
        ConnectionFacts {
            phase: self.phase.get(),
            accepted: self.accepted,
            has_answered: self.has_answered.get(),
            is_write_blocked: self.is_write_blocked.get(),
            eviction: self.eviction.get(),
            is_closing_stage,
        }
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Whether bytes wait that the client doesn't take.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Whether its place is wanted for others.
    pub fn eviction(&self) -> Eviction {
        self.eviction.get()
    }

    /// Whether anything was ever answered on it.
    pub fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Resolves when the connection is in another phase, or is evicted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether the client has closed the connection, or at least its sending side, as the system knows it at this
    /// moment: also behind bytes that have not been read.
    pub fn has_left(&self) -> bool {
        const AT_ONCE: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut fds = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        // An error of the call itself tells nothing of the client.
        let _ = uninterrupted(|| Ok(poll(&mut fds, Some(&AT_ONCE))?));
        fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// The connection as the client side of a request sees it.
    pub fn connection(self: &Rc<Self>) -> ClientConnection {
        let client = self.clone();
        ClientConnection::new(Rc::new(move || client.has_left()))
    }

    /// Resolves when the client has closed the connection.
    pub async fn left(&self) {
        while !self.has_left() {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() {
                return;
            }
            if !self.has_unread() {
                // All has been read of what made the socket readable: the next event is waited for.
                let _ = self.stream.try_io(Interest::READABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
                continue;
            }
            if self.next_waits_since.get().is_none() {
                self.next_waits_since.set(Some(Instant::now()));
            }
            // Bytes that are left unread keep the socket readable.
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// How long ago the request in hand was seen to wait behind an earlier one. Its client's time has run since.
    pub fn waited(&self) -> Duration {
        self.waited_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Looks at bytes that have arrived, and leaves them where they are.
    fn peek(&self, bytes: &mut [u8]) -> usize {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let arrived = uninterrupted(|| Ok(recv(self.stream.as_fd(), &mut *bytes, flags)?));
        arrived.map_or(0, |(arrived, _)| arrived)
    }

    /// Whether bytes have arrived that were not read.
    pub fn has_unread(&self) -> bool {
        self.peek(&mut [0]) > 0
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }

    /// The next head is handed to the service; whether its framing can be read in one way only.
    pub fn is_next_head_sound(&self) -> bool {
        self.framing.borrow_mut().next_verdict()
    }

    /// The request in hand has come whole.
    pub fn request_is_whole(&self) {
        self.enter(Phase::InHand);
    }

    /// The answer to the request in hand is a stream, and begins.
    pub fn streams(&self) {
        self.enter(Phase::Streaming);
    }

    /// The connection is shut down from this side.
    pub fn closes(&self) {
        self.enter(Phase::Closing(Instant::now()));
    }

    /// The answer under way is the last one: nothing is read behind it.
    pub fn answers_last(&self) {
        self.is_last_answer.set(true);
    }

    /// An answer has been handed over.
    pub fn answered(&self) {
        self.has_answered.set(true);
        self.enter(Phase::Idle(Instant::now()));
        if !self.is_last_answer.get() {
            self.gate_open.set(true);
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
        }
    }

    /// The connection's place is wanted for others.
    pub fn evict(&self, eviction: Eviction) {
        self.eviction.set(eviction.max(self.eviction.get()));
        self.changed.notify_one();
    }

    /// Whether not all of the last request's body was read, or it is past following: the connection ends with it.
    pub fn is_spent(&self) -> bool {
        !self.framing.borrow().is_between_requests()
    }

    /// Whether what came behind the request in hand is no beginning of another: its length was wrong.
    pub fn has_excess(&self) -> bool {
        let mut bytes = [0; METHOD_BYTES];
        let arrived = self.peek(&mut bytes);
        let method = bytes[..arrived].split(|b| matches!(b, b' ' | b'\n')).next().unwrap_or_default();
        !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
    }

    /// Takes note of bytes that were handed to hyper.
    fn handed(&self, bytes: &[u8]) {
        if let Phase::Idle(_) = self.phase.get() {
            self.waited_since.set(self.next_waits_since.take());
            self.enter(Phase::Arriving(Instant::now()));
        }
        let mut framing = self.framing.borrow_mut();
        framing.take(bytes);
        if framing.is_at_end() {
            self.gate_open.set(false);
        }
    }

    /// How many of the bytes that have arrived belong to the request that is arriving.
    fn poll_available(&self, cx: &mut Context<'_>, wanted: usize) -> Poll<io::Result<usize>> {
        let certain = self.framing.borrow().certain_bytes();
        if certain > 0 {
            return Poll::Ready(Ok(wanted.min(usize::try_from(certain).unwrap_or(usize::MAX))));
        }
        let mut bytes = [0; PEEK_BYTES];
        let mut arrived = ReadBuf::new(&mut bytes[..wanted.min(PEEK_BYTES)]);
        while let Err(error) = ready!(self.stream.poll_peek(cx, &mut arrived)) {
            if transfer_failure(&error) != TransferFailure::Interrupted {
                return Poll::Ready(Err(error));
            }
        }
        Poll::Ready(Ok(self.framing.borrow().clone().take(arrived.filled())))
    }
}

/// The socket as hyper sees it: reading stops behind each request until it is answered.
pub struct GatedSocket {
    socket: Socket,
    client: Rc<ClientSocket>,
}

impl GatedSocket {
    /// A client's socket.
    pub fn new(client: Rc<ClientSocket>) -> Self {
        GatedSocket { socket: Socket::new(client.stream.clone()), client }
    }

    fn note_write<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.client.is_write_blocked.set(result.is_pending());
        result
    }
}

impl AsyncRead for GatedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let client = self.client.clone();
        if !client.gate_open.get() {
            client.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let available = ready!(client.poll_available(cx, buf.remaining()))?;
        ready!(self.socket.poll_read_up_to(cx, buf, available))?;
        client.handed(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.note_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.note_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
