//! An HTTP/1.1 connection to a worker. It carries one request at a time.

use crate::interface::WorkerId;
use crate::net::buffer_limit::BufferLimit;
use crate::net::failure::{ConnectFailure, classify_connect_error};
use crate::net::upstream::write_progress::{
    MonitoredStream, WriteGuard, WriteProgress, has_no_pending_input,
};
use crate::runtime::exchange::SegmentedBytes;
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

/// A reused connection that fails within this time after a request was sent was stale: the failure is not
/// caused by the processing of the request.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(100);

/// The body of a request to a worker.
pub type UpstreamBody = Full<SegmentedBytes>;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// All connections that the pool may open are in use.
    #[error("connection pool exhausted")]
    PoolExhausted,
    /// The connection was not established within the connect timeout.
    #[error("connect timed out")]
    TimedOut,
    /// A local failure, such as a lack of ports or memory, persisted until the connect timeout. It does not
    /// count against the worker.
    #[error("local failure: {0}")]
    LocalFailure(io::Error),
    /// The worker, or the network path to it, refused the connection.
    #[error("{0}")]
    PeerFailure(io::Error),
    /// hyper's handshake failed.
    #[error("HTTP handshake failed: {0}")]
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
/// Dropping it closes the socket. If a request is still waiting for its response, dropping it also discards
/// the kernel's unsent data, so that the worker does not receive the rest of an abandoned request.
pub struct Connection {
    sender: http1::SendRequest<UpstreamBody>,
    /// Shared with hyper's I/O, for peeking at the socket.
    stream: Rc<TcpStream>,
    progress: Rc<WriteProgress>,
    /// Aborts the task that polls hyper's connection future.
    connection_task: tokio::task::AbortHandle,
    /// Whether the connection carried an earlier request.
    is_reused: bool,
    /// Whether a request was sent whose response head has not arrived.
    awaits_response: bool,
    /// When the current request was sent.
    sent_at: Instant,
    /// Counts against the pool's limit until this connection is dropped.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.awaits_response {
            // With a zero linger time, close(2) resets the connection and discards the send buffer. Workers
            // start to process a request when its last byte arrives, so an abandoned request must not be
            // delivered from the buffer.
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
        self.connection_task.abort();
    }
}

impl Connection {
    /// Sets up HTTP on a stream to `worker`.
    ///
    /// # Errors
    /// A socket option can't be set, or hyper's handshake fails.
    pub(super) async fn handshake(
        worker: WorkerId,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        buffer_limit: BufferLimit,
    ) -> Result<Connection, ConnectError> {
        stream.set_nodelay(true)?;
        let (stream, progress) = (Rc::new(stream), Rc::new(WriteProgress::default()));
        let io = TokioIo::new(MonitoredStream::with_monitor(stream.clone(), progress.clone()));
        let mut builder = http1::Builder::new();
        // An invalid header, such as a load report, must not fail an otherwise valid response.
        builder.max_buf_size(buffer_limit.bytes()).ignore_invalid_headers_in_responses(true);
        let (sender, connection) = builder.handshake(io).await?;
        let connection_task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {}: {error}", worker.0);
            }
        });
        Ok(Connection {
            sender,
            stream,
            progress,
            connection_task: connection_task.abort_handle(),
            is_reused: false,
            awaits_response: false,
            sent_at: Instant::now(),
            _permit: permit,
        })
    }

    /// The write progress of the current request.
    pub fn write_progress(&self) -> Rc<WriteProgress> {
        self.progress.clone()
    }

    /// Sends a request with a body of `body_length` bytes, and waits for the response head. The response body
    /// must be read to its end before the connection is used again.
    ///
    /// Dropping the future abandons the request; the connection must then be dropped too.
    ///
    /// # Errors
    /// The connection failed, or the response head is invalid.
    pub async fn send(
        &mut self,
        request: Request<UpstreamBody>,
        body_length: usize,
    ) -> hyper::Result<Response<Incoming>> {
        self.send_guarded(request, body_length, Box::new(|| Ok(()))).await
    }

    /// Like [`send`](Self::send), but calls `guard` before each write.
    ///
    /// # Errors
    /// As for [`send`](Self::send); also if a write was withheld, see [`WriteProgress::withheld_outcome`].
    pub async fn send_guarded(
        &mut self,
        request: Request<UpstreamBody>,
        body_length: usize,
        guard: WriteGuard,
    ) -> hyper::Result<Response<Incoming>> {
        self.progress.begin_request(body_length, guard);
        self.sent_at = Instant::now();
        self.awaits_response = true;
        let response = self.sender.send_request(request).await;
        self.awaits_response = false;
        self.progress.begin_response();
        response
    }

    /// Whether the connection can carry another request.
    ///
    /// Unread bytes on an idle connection belong to no request, and would be taken for the response to the
    /// next one. The socket is peeked because hyper may not have read it since they arrived.
    pub(super) fn is_usable(&self) -> bool {
        has_no_pending_input(&self.stream) && self.sender.is_ready() && !self.is_closed()
    }

    /// Whether hyper has seen the connection close.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Marks the connection as reused.
    pub(super) fn into_reused(mut self) -> Self {
        self.is_reused = true;
        self
    }

    /// Whether a connection that has just failed had probably been closed by its peer before its last request
    /// was written.
    pub(super) fn was_stale(&self) -> bool {
        self.is_reused && self.sent_at.elapsed() <= STALE_RESET_WINDOW
    }
}
