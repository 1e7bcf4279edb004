//! A socket that hyper reads and writes while its owner still sees it.
//!
//! Reads and writes go by what the system says, not by what the runtime concludes: an interrupted call is made again, one
//! for which the system lacks memory a moment later, and a short read is no sign that nothing more has come.

use super::failure::{ConnectFailure, TransferFailure, connect_failure, transfer_failure};
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

/// Before a call is made again that failed for want of something at this machine.
const MACHINE_PAUSE: Duration = Duration::from_millis(2);
/// The longest pause between two tries to connect.
const MAX_MACHINE_PAUSE: Duration = Duration::from_millis(20);
/// A connection on which the machine has lacked something for this long is given up.
const MACHINE_PATIENCE: Duration = Duration::from_secs(2);

/// Makes a system call again for as long as it is interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if transfer_failure(&error) == TransferFailure::Interrupted => {}
            done => return done,
        }
    }
}

/// Listens with room for so many connections that wait to be accepted. The runtime's own default is 128: what came behind
/// them in a burst, or while the process was held up, was turned away by the system and tried again a second later.
///
/// # Errors
/// The address can't be listened on.
pub fn listen(address: SocketAddr, waiting: usize) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A process that starts anew takes its address from connections that the last one left behind.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(waiting).unwrap_or(u32::MAX))
}

/// Connects; what fails at this machine is tried again until `client_timeout`.
///
/// # Errors
/// What the other side said, or this machine last.
pub async fn connect(address: SocketAddr, client_timeout: Instant) -> io::Result<TcpStream> {
    let mut pause = MACHINE_PAUSE;
    loop {
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        match connect_failure(&error) {
            ConnectFailure::OtherSide => return Err(error),
            ConnectFailure::Interrupted => {}
            ConnectFailure::Machine if Instant::now() + pause >= client_timeout => return Err(error),
            ConnectFailure::Machine => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_MACHINE_PAUSE);
            }
        }
    }
}

/// One of the owners of a socket, which is closed with the last of them.
pub struct Socket {
    stream: Rc<TcpStream>,
    shortage: Shortage,
}

impl Socket {
    /// An owner of this socket.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        Socket { stream, shortage: Shortage::default() }
    }

    /// The stream itself.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Ends the sending side.
    pub fn end(&self) -> io::Result<()> {
        SockRef::from(&*self.stream).shutdown(Shutdown::Write)
    }

    /// Tries a call until it succeeds or the connection is of no more use.
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
                Ok(done) => {
                    self.shortage.end();
                    return Poll::Ready(Ok(done));
                }
                Err(error) => error,
            };
            match transfer_failure(&error) {
                TransferFailure::Interrupted | TransferFailure::NotReady => {}
                TransferFailure::Machine if self.shortage.begin_pause() => {
                    ready!(self.shortage.poll_pause(cx));
                }
                TransferFailure::Machine | TransferFailure::Connection => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Reads what has come, up to `limit` bytes.
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

/// How long this machine has lacked something for a connection.
#[derive(Default)]
struct Shortage {
    since: Option<Instant>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Shortage {
    /// Begins a pause, unless it has lasted for too long.
    fn begin_pause(&mut self) -> bool {
        let since = *self.since.get_or_insert_with(Instant::now);
        if since.elapsed() >= MACHINE_PATIENCE {
            return false;
        }
        self.pause = Some(Box::pin(tokio::time::sleep(MACHINE_PAUSE)));
        true
    }

    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }

    fn end(&mut self) {
        self.since = None;
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buf.remaining();
        self.poll_read_up_to(cx, buf, limit)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, TcpStream::poll_write_ready, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end())
    }
}
