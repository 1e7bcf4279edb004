//! The I/O of a client connection as passed to hyper: reading stops after each request until
//! its response is complete.

use crate::net::failure::{TransferFailure, classify_transfer_error};
use crate::net::server::client_socket::ClientSocket;
use crate::net::socket::Socket;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum number of bytes peeked at a time while the end of the request is not known.
const PEEK_BYTES: usize = 4 * 1024;

/// Never reads past the end of the request being received, and reports reads and blocked writes to the
/// [`ClientSocket`].
///
/// The type wraps a [`Socket`] instead of using a [`TransferMonitor`](crate::net::socket::TransferMonitor), since a
/// monitor can't limit a read, and observes no pending writes.
pub struct GatedSocket {
    socket: Socket,
    client: Rc<ClientSocket>,
}

impl GatedSocket {
    /// Creates another owner of the client's stream.
    pub fn new(client: Rc<ClientSocket>) -> Self {
        GatedSocket { socket: Socket::new(client.stream().clone()), client }
    }

    /// The number of bytes that may be read without reading past the request being received.
    fn poll_readable_bytes(&self, cx: &mut Context<'_>, wanted: usize) -> Poll<io::Result<usize>> {
        let within_request = self.client.bytes_within_request();
        if within_request > 0 {
            return Poll::Ready(Ok(wanted.min(usize::try_from(within_request).unwrap_or(usize::MAX))));
        }
        let mut bytes = [0; PEEK_BYTES];
        let mut peeked = ReadBuf::new(&mut bytes[..wanted.min(PEEK_BYTES)]);
        while let Err(error) = ready!(self.client.stream().poll_peek(cx, &mut peeked)) {
            if classify_transfer_error(&error) != TransferFailure::Interrupted {
                return Poll::Ready(Err(error));
            }
        }
        Poll::Ready(Ok(self.client.request_bytes_in(peeked.filled())))
    }

    /// Reads from the socket, up to the end of the request being received.
    fn poll_read_socket(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Poll::Ready(readable) = self.poll_readable_bytes(cx, buf.remaining()) else {
            self.client.reads().record_drained();
            return Poll::Pending;
        };
        ready!(self.client.reads().poll_may_read(cx));
        self.socket.poll_read_up_to(cx, buf, readable?)
    }

    /// Reports to the connection whether its output is blocked, which is the case while a write is pending.
    fn report_write<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.client.set_write_blocked(result.is_pending());
        result
    }
}

impl AsyncRead for GatedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.client.gate().poll_open(cx));
        let filled_before = buf.filled().len();
        if self.client.has_read_ahead() {
            ready!(self.client.reads().poll_may_read(cx));
            self.client.take_read_ahead(buf);
        } else {
            ready!(self.poll_read_socket(cx, buf))?;
            self.client.record_socket_read(buf.filled().len() - filled_before);
        }
        self.client.reads().record_read();
        self.client.record_read(&buf.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.report_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.report_write(result)
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
