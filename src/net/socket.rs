//! Sockets that hyper reads and writes while their owner still has access to the stream.
//!
//! Reads and writes follow the results of the system calls, not the readiness that the async runtime caches:
//! an interrupted call is repeated, a call that failed for lack of memory is repeated after a pause, and a
//! short read is not taken as a sign that nothing more has arrived.

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

/// The pause before a call is repeated that failed for lack of a resource of this machine.
const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// The longest pause between two attempts to connect. Pauses double up to it, from [`LOCAL_RETRY_PAUSE`] on.
const MAX_CONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A connection that has lacked a resource of this machine for this long is given up.
const LOCAL_SHORTAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Repeats a system call for as long as it is interrupted by signals.
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

/// Listens with a queue for `backlog` connections that wait to be accepted.
///
/// The runtime's own default is 128. Connections beyond it, in a burst or while the process was paused, were
/// rejected by the kernel and came back with the client's retransmission a second later.
/// Failures of this machine are retried with backoff until `deadline`.
///
/// # Errors
/// The system can't listen on the address.
pub async fn listen(address: SocketAddr, backlog: usize, deadline: Instant) -> io::Result<TcpListener> {
    retry_local_failures(deadline, async || listen_once(address, backlog)).await
}

fn listen_once(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restarted process must get its address back while connections of the previous one are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

/// Connects. Failures of this machine are retried with backoff until `deadline`; the deadline does not
/// interrupt a connect that is in progress.
///
/// Dropping the future abandons the connect.
///
/// # Errors
/// The peer's failure, or the last failure of this machine.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    retry_local_failures(deadline, async || TcpStream::connect(address).await).await
}

/// Calls `attempt` again, with backoff, for as long as it fails for this machine's sake and there is time.
async fn retry_local_failures<T>(
    deadline: Instant,
    attempt: impl AsyncFn() -> io::Result<T>,
) -> io::Result<T> {
    let mut pause = LOCAL_RETRY_PAUSE;
    loop {
        let error = match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match classify_connect_error(&error) {
            ConnectFailure::OtherSide => return Err(error),
            ConnectFailure::Interrupted => {}
            ConnectFailure::Machine if Instant::now() + pause >= deadline => return Err(error),
            ConnectFailure::Machine => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_CONNECT_PAUSE);
            }
        }
    }
}

/// Observes the writes of a [`Socket`], and may prevent them.
pub trait WriteMonitor {
    /// Called directly before each write, in the same poll: no other task runs between this call and the
    /// write.
    ///
    /// # Errors
    /// The write is not made, and fails with this error.
    fn before_write(&self, stream: &TcpStream) -> io::Result<()>;

    /// Called after a write of which the kernel has taken the first `written` bytes of `buffers`.
    fn after_write(&self, buffers: &[IoSlice<'_>], written: usize);
}

/// The monitor of a socket whose writes are not observed.
pub struct Unmonitored;

impl WriteMonitor for Unmonitored {
    fn before_write(&self, _: &TcpStream) -> io::Result<()> {
        Ok(())
    }

    fn after_write(&self, _: &[IoSlice<'_>], _: usize) {}
}

/// One of several owners of a TCP stream, which is closed when the last of them is dropped.
pub struct Socket<M = Unmonitored> {
    stream: Rc<TcpStream>,
    monitor: M,
    shortage: LocalShortage,
}

impl Socket {
    /// An owner of this stream whose writes are not observed.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        Socket::with_monitor(stream, Unmonitored)
    }
}

impl<M> Socket<M> {
    /// An owner of this stream whose writes pass through `monitor`.
    pub fn with_monitor(stream: Rc<TcpStream>, monitor: M) -> Self {
        Socket { stream, monitor, shortage: LocalShortage::default() }
    }

    /// Shuts down the sending side.
    ///
    /// # Errors
    /// The system call failed: the connection is closed already.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.stream).shutdown(Shutdown::Write)
    }

    /// Repeats a call until it succeeds or the connection can't be used any more.
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

    /// Reads what has arrived, up to `limit` bytes.
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

/// How long this machine has lacked a resource for a connection, and the pause before the next call.
#[derive(Default)]
struct LocalShortage {
    since: Option<Instant>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl LocalShortage {
    /// How long the shortage has lasted. It begins with the first call of this method after
    /// [`end`](Self::end).
    fn duration(&mut self) -> Duration {
        self.since.get_or_insert_with(Instant::now).elapsed()
    }

    /// Begins the pause before the next call.
    fn begin_pause(&mut self) {
        self.pause = Some(Box::pin(tokio::time::sleep(LOCAL_RETRY_PAUSE)));
    }

    /// Waits for the end of the pause, if there is one.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// A call has succeeded: the shortage is over.
    fn end(&mut self) {
        self.since = None;
    }
}

impl<M: Unpin> AsyncRead for Socket<M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buf.remaining();
        self.poll_read_up_to(cx, buf, limit)
    }
}

impl<M: WriteMonitor + Unpin> AsyncWrite for Socket<M> {
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
