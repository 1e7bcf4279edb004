//! One HTTP/1.1 connection to a worker, which carries one request at a time.

use crate::interface::WorkerId;
use crate::net::failure::{ConnectFailure, classify_connect_error};
use crate::net::upstream::write_progress::{MonitoredStream, WriteGuard, WriteProgress, is_quiet};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A reset that comes this soon after a request was sent on a reused connection concerns the connection, not
/// what the worker does with the request.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(100);
/// The most that hyper buffers of a response's head or body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a connection can't be had.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The pool may open no further connection.
    #[error("all connections of the pool are in use")]
    PoolExhausted,
    /// The worker did not accept in time.
    #[error("not connected in time")]
    TimedOut,
    /// This machine could not connect until the time was up. It says nothing about the worker.
    #[error("this machine can't connect: {0}")]
    LocalFailure(io::Error),
    /// The worker, or the network path to it, rejected the connection.
    #[error("{0}")]
    PeerFailure(io::Error),
    /// hyper could not set the connection up.
    #[error("HTTP handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match classify_connect_error(&error) {
            ConnectFailure::Machine => ConnectError::LocalFailure(error),
            ConnectFailure::Interrupted | ConnectFailure::OtherSide => ConnectError::PeerFailure(error),
        }
    }
}

/// A connection to a worker.
///
/// Dropping it closes the socket. While a request waits for its response, dropping it also discards what the
/// kernel has not sent yet, so that a worker does not receive the end of a request that was given up.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Shared with hyper, for looking at the socket before hyper does.
    stream: Rc<TcpStream>,
    progress: Rc<WriteProgress>,
    /// Aborts the task that drives hyper's side of the connection.
    driver: tokio::task::AbortHandle,
    /// Whether it has carried a request before the current one.
    is_reused: bool,
    /// Whether a request was sent of whose response nothing has arrived.
    awaits_response: bool,
    /// When the current request was sent.
    sent_at: Instant,
    /// Counts against the pool's limit until this connection is dropped.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.awaits_response {
            // A close without linger resets the connection: a worker begins with a request's last byte, and
            // what the kernel still holds of a request that was given up must not be delivered.
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
        self.driver.abort();
    }
}

impl Connection {
    /// Sets up HTTP on a stream to `worker`.
    ///
    /// # Errors
    /// The stream or hyper's handshake fails.
    pub(super) async fn handshake(
        worker: WorkerId,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> Result<Connection, ConnectError> {
        stream.set_nodelay(true)?;
        let (stream, progress) = (Rc::new(stream), Rc::new(WriteProgress::default()));
        let io = TokioIo::new(MonitoredStream::with_monitor(stream.clone(), progress.clone()));
        let mut builder = http1::Builder::new();
        // A header that can't be read (a load report, say) is no reason to lose a good response.
        builder.max_buf_size(READ_BUFFER_BYTES).ignore_invalid_headers_in_responses(true);
        let (sender, connection) = builder.handshake(io).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {}: {error}", worker.0);
            }
        });
        Ok(Connection {
            sender,
            stream,
            progress,
            driver: driver.abort_handle(),
            is_reused: false,
            awaits_response: false,
            sent_at: Instant::now(),
            _permit: permit,
        })
    }

    /// How much of the current request was written.
    pub fn write_progress(&self) -> Rc<WriteProgress> {
        self.progress.clone()
    }

    /// Sends a request with a body of `body_length` bytes, and waits for the head of its response. The
    /// response's body must be read to its end before the connection is used again.
    ///
    /// Dropping the future gives the request up; the connection must then be dropped too.
    ///
    /// # Errors
    /// The connection broke, or what came can't be read as a response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_length: usize,
    ) -> hyper::Result<Response<Incoming>> {
        self.send_guarded(request, body_length, Box::new(|| Ok(()))).await
    }

    /// Like [`send`](Self::send), but asks `guard` before each write.
    ///
    /// # Errors
    /// As [`send`](Self::send); also if the guard withheld the request, see [`WriteProgress::withheld`].
    pub async fn send_guarded(
        &mut self,
        request: Request<Full<Bytes>>,
        body_length: usize,
        guard: WriteGuard,
    ) -> hyper::Result<Response<Incoming>> {
        self.progress.begin(body_length, guard);
        self.sent_at = Instant::now();
        self.awaits_response = true;
        let response = self.sender.send_request(request).await;
        self.awaits_response = false;
        response
    }

    /// Whether it can take a request now.
    ///
    /// Bytes that wait to be read belong to no request of ours: they would be taken for the response to the
    /// next request, and hyper has not looked at the socket yet.
    pub(super) fn is_usable(&self) -> bool {
        is_quiet(&self.stream) && self.sender.is_ready() && !self.is_closed()
    }

    /// Whether hyper knows that the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// The connection, marked as taken from the pool for a further request.
    pub(super) fn into_reused(mut self) -> Self {
        self.is_reused = true;
        self
    }

    /// Whether a connection that has just broken had probably been closed by its peer before its request was
    /// written.
    pub(super) fn was_stale(&self) -> bool {
        self.is_reused && self.sent_at.elapsed() <= STALE_RESET_WINDOW
    }
}
