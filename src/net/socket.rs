//! TCP sockets with shared ownership: hyper reads and writes a socket while the owner keeps access to the
//! stream.
//!
//! Reads and writes rely on the results of system calls, not on the readiness that the async runtime caches:
//! an interrupted call is repeated, a call that failed for lack of memory is repeated after a pause, and a
//! short read does not imply that the receive buffer is empty.

use super::failure::{ConnectFailure, TransferFailure, classify_connect_error, classify_transfer_error};
use bytes::BufMut;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, Sleep};

/// The pause before a system call that failed for lack of a local resource is repeated.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// The maximum backoff between two attempts to connect or listen. The backoff starts at [`LOCAL_RETRY_PAUSE`]
/// and doubles.
const MAX_LOCAL_BACKOFF: Duration = Duration::from_millis(20);
/// The time limit for a shortage of local resources, after which the connection fails.
const LOCAL_SHORTAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Repeats a system call while it is interrupted by signals.
///
/// # Errors
/// Any other error of the call.
pub fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if classify_transfer_error(&error) == TransferFailure::Interrupted => {}
            result => return result,
        }
    }
}

/// Listens with this backlog, the maximum number of connections that wait to be accepted.
///
/// The runtime's default of 128 is too small: in a burst, or while the process is suspended, the kernel drops
/// the connections above it, and the client retransmits a second later. Local failures are retried with
/// backoff until `deadline`.
///
/// # Errors
/// The kernel cannot listen on the address.
pub async fn listen(address: SocketAddr, backlog: usize, deadline: Instant) -> io::Result<TcpListener> {
    retry_local_failures(deadline, async || listen_once(address, backlog)).await
}

fn listen_once(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restarted process must be able to bind while connections of the previous one are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

/// Connects to `address`. Local failures are retried with backoff until `deadline`; the deadline does not
/// interrupt a connect in progress.
///
/// Dropping the future aborts the connect.
///
/// # Errors
/// A failure of the peer, or the last local failure.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    retry_local_failures(deadline, async || TcpStream::connect(address).await).await
}

/// Repeats `attempt` with backoff until it succeeds, fails for a reason that is not local, or the deadline
/// would pass.
async fn retry_local_failures<T>(
    deadline: Instant,
    attempt: impl AsyncFn() -> io::Result<T>,
) -> io::Result<T> {
    let mut backoff = LOCAL_RETRY_PAUSE;
    loop {
        let error = match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match classify_connect_error(&error) {
            ConnectFailure::OtherSide => return Err(error),
            ConnectFailure::Interrupted => {}
            ConnectFailure::Machine if Instant::now() + backoff >= deadline => return Err(error),
            ConnectFailure::Machine => {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_LOCAL_BACKOFF);
            }
        }
    }
}

/// Observes the reads and writes of a [`Socket`], and may make them fail.
pub trait TransferMonitor {
    /// Called before each write, in the same poll: no other task runs between this call and the write.
    ///
    /// # Errors
    /// The write is prevented, and fails with this error.
    fn before_write(&self, stream: &TcpStream) -> io::Result<()>;

    /// Called after a write; the kernel has accepted the first `written` bytes of `buffers`.
    fn after_write(&self, buffers: &[IoSlice<'_>], written: usize);

    /// Called before each read.
    ///
    /// # Errors
    /// The peer has sent what it may not. The read fails with this error.
    fn before_read(&self) -> io::Result<()>;

    /// Called after a read, with the bytes that were read.
    fn after_read(&self, bytes: &[u8]);
}

/// A monitor that does nothing.
pub struct Unmonitored;

impl TransferMonitor for Unmonitored {
    fn before_write(&self, _: &TcpStream) -> io::Result<()> {
        Ok(())
    }

    fn after_write(&self, _: &[IoSlice<'_>], _: usize) {}

    fn before_read(&self) -> io::Result<()> {
        Ok(())
    }

    fn after_read(&self, _: &[u8]) {}
}

/// One of the owners of a shared TCP stream, which closes when its last owner is dropped.
pub struct Socket<M = Unmonitored> {
    stream: Rc<TcpStream>,
    monitor: M,
    shortage: LocalShortage,
}

impl Socket {
    /// Creates an owner of this stream that is not monitored.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        Socket::with_monitor(stream, Unmonitored)
    }
}

impl<M> Socket<M> {
    /// Creates an owner of this stream whose reads and writes are reported to `monitor`.
    pub fn with_monitor(stream: Rc<TcpStream>, monitor: M) -> Self {
        Socket { stream, monitor, shortage: LocalShortage::default() }
    }

    /// Shuts down the sending side.
    ///
    /// # Errors
    /// The system call failed because the connection is already closed.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.stream).shutdown(Shutdown::Write)
    }

    /// Repeats a system call until it succeeds, the connection has failed or a local shortage lasts too long.
    fn poll_transfer<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll_ready: impl Fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
        mut call: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        ready!(self.shortage.poll_pause(cx));
        loop {
            ready!(poll_ready(&self.stream, cx))?;
            let error = match call(&self.stream) {
                Ok(value) => {
                    self.shortage.end();
                    return Poll::Ready(Ok(value));
                }
                Err(error) => error,
            };
            match classify_transfer_error(&error) {
                TransferFailure::Interrupted | TransferFailure::NotReady => {}
                TransferFailure::Machine if self.shortage.duration() < LOCAL_SHORTAGE_TIMEOUT => {
                    self.shortage.begin_pause();
                    ready!(self.shortage.poll_pause(cx));
                }
                TransferFailure::Machine | TransferFailure::Connection => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Reads received bytes, up to `limit`.
    pub fn poll_read_up_to(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let read = |stream: &TcpStream| stream.try_read_buf(&mut (&mut *buf).limit(limit)).map(|_| ());
        self.poll_transfer(cx, TcpStream::poll_read_ready, read)
    }
}

/// A shortage of local resources that affects a connection, and the pause before the next system call.
#[derive(Default)]
struct LocalShortage {
    since: Option<Instant>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl LocalShortage {
    /// The duration of the shortage. It begins with the first call of this method after [`end`](Self::end).
    fn duration(&mut self) -> Duration {
        self.since.get_or_insert_with(Instant::now).elapsed()
    }

    /// Begins the pause before the next system call.
    fn begin_pause(&mut self) {
        self.pause = Some(Box::pin(tokio::time::sleep(LOCAL_RETRY_PAUSE)));
    }

    /// Ready when no pause is in progress.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Ends the shortage after a successful system call.
    fn end(&mut self) {
        self.since = None;
    }
}

impl<M: TransferMonitor + Unpin> AsyncRead for Socket<M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.monitor.before_read()?;
        let limit = buf.remaining();
        let filled = buf.filled().len();
        ready!(self.poll_read_up_to(cx, buf, limit))?;
        self.monitor.after_read(&buf.filled()[filled..]);
        Poll::Ready(Ok(()))
    }
}

impl<M: TransferMonitor + Unpin> AsyncWrite for Socket<M> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.monitor.before_write(&self.stream)?;
        let write = |stream: &TcpStream| stream.try_write_vectored(bufs);
        let written = ready!(self.poll_transfer(cx, TcpStream::poll_write_ready, write))?;
        self.monitor.after_write(bufs, written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
