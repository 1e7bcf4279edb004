//! A client's socket as hyper sees it: reading stops behind each request until it has been answered.

use crate::net::failure::{TransferFailure, classify_transfer_error};
use crate::net::server::client_socket::ClientSocket;
use crate::net::socket::Socket;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most bytes that are inspected in one step, ahead of reading them, while the end of the request is not known.
const PEEK_BYTES: usize = 4 * 1024;

/// The socket as hyper reads and writes it. It never reads past the end of the request that is arriving, and reports
/// reads and blocked writes to the [`ClientSocket`].
///
/// It wraps a [`Socket`] instead of being one with a [`WriteMonitor`](crate::net::socket::WriteMonitor): a monitor sees
/// neither reads nor the writes that are pending.
pub struct GatedSocket {
    socket: Socket,
    client: Rc<ClientSocket>,
}

impl GatedSocket {
    /// A further owner of this client's socket.
    pub fn new(client: Rc<ClientSocket>) -> Self {
        GatedSocket { socket: Socket::new(client.stream().clone()), client }
    }

    /// How many bytes may be read without reading past the request that is arriving.
    fn poll_readable_bytes(&self, cx: &mut Context<'_>, wanted: usize) -> Poll<io::Result<usize>> {
        let within_request = self.client.bytes_within_request();
        if within_request > 0 {
            return Poll::Ready(Ok(wanted.min(usize::try_from(within_request).unwrap_or(usize::MAX))));
        }
        let mut bytes = [0; PEEK_BYTES];
        let mut received = ReadBuf::new(&mut bytes[..wanted.min(PEEK_BYTES)]);
        while let Err(error) = ready!(self.client.stream().poll_peek(cx, &mut received)) {
            if classify_transfer_error(&error) != TransferFailure::Interrupted {
                return Poll::Ready(Err(error));
            }
        }
        Poll::Ready(Ok(self.client.request_bytes_in(received.filled())))
    }

    /// Tells the connection whether its client takes what is written: a pending write is a blocked one.
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
        let readable = ready!(self.poll_readable_bytes(cx, buf.remaining()))?;
        ready!(self.socket.poll_read_up_to(cx, buf, readable))?;
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
