//! How much of a request has been written to a connection, observed at the socket.
//!
//! Whether an attempt may have run depends on whether the last byte of its request was written, and hyper
//! doesn't tell.

use crate::interface::Outcome;
use crate::net::socket::{Socket, WriteMonitor, retry_on_interrupt};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The length of the blank line that ends a head, with the line end before it: CR LF CR LF.
const HEAD_END_LENGTH: u8 = 4;

/// Asked before bytes of a request are written. An error is the outcome of an attempt that may not begin or
/// go on.
pub type WriteGuard = Box<dyn Fn() -> Result<(), Outcome>>;

/// A connection's socket whose writes are recorded in a [`WriteProgress`].
pub type MonitoredStream = Socket<Rc<WriteProgress>>;

/// How much of the current request was written, and whether more of it may be.
#[derive(Default)]
pub struct WriteProgress {
    /// Bytes of [`HEAD_END_LENGTH`] that the end of the written part of the head matches; all of them once
    /// the head has been written.
    head_end_matched: Cell<u8>,
    /// Bytes of the body still to be written.
    body_remaining: Cell<usize>,
    /// Whether any byte of the request was written.
    is_started: Cell<bool>,
    guard: RefCell<Option<WriteGuard>>,
    withheld: Cell<Option<Outcome>>,
}

impl WriteProgress {
    /// A request with a body of this length is about to be written, as far as `guard` permits.
    pub(super) fn begin(&self, body_length: usize, guard: WriteGuard) {
        self.head_end_matched.set(0);
        self.body_remaining.set(body_length);
        self.is_started.set(false);
        self.guard.replace(Some(guard));
    }

    /// The outcome that the guard gave when it withheld the request, if it did.
    pub fn withheld(&self) -> Option<Outcome> {
        self.withheld.get()
    }

    /// Whether the request's last byte was written.
    pub fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END_LENGTH && self.body_remaining.get() == 0
    }

    /// Whether the next bytes of the request may be written to this connection.
    fn check(&self, stream: &TcpStream) -> Result<(), Outcome> {
        if let Some(guard) = &*self.guard.borrow()
            && !self.is_complete()
        {
            guard()?;
        }
        // Bytes that arrived before the request are no response to it, and a closed connection takes no
        // request.
        if self.is_started.get() || is_quiet(stream) { Ok(()) } else { Err(Outcome::ConnectFailed) }
    }

    /// Records bytes that the kernel has taken.
    fn record(&self, mut bytes: &[u8]) {
        self.is_started.set(true);
        while self.head_end_matched.get() < HEAD_END_LENGTH {
            let Some((byte, rest)) = bytes.split_first() else { return };
            bytes = rest;
            self.head_end_matched.set(match (self.head_end_matched.get(), byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.head_end_matched.get() + 1,
                (_, b'\r') => 1,
                _ => 0,
            });
        }
        self.body_remaining.set(self.body_remaining.get().saturating_sub(bytes.len()));
    }
}

impl WriteMonitor for Rc<WriteProgress> {
    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        self.check(stream).map_err(|outcome| {
            self.withheld.set(Some(outcome));
            io::Error::other("the request is withheld")
        })
    }

    fn after_write(&self, buffers: &[IoSlice<'_>], written: usize) {
        let mut remaining = written;
        for buffer in buffers {
            let taken = remaining.min(buffer.len());
            self.record(&buffer[..taken]);
            remaining -= taken;
        }
    }
}

/// Whether neither bytes nor the end of the connection wait to be read, as the kernel knows it at this
/// moment.
pub(super) fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = retry_on_interrupt(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
