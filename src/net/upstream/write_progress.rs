//! Tracks at the socket how much of a request has been written to a connection, and limits its response.
//!
//! An attempt may have run only if the last byte of its request was written, which hyper does not report.

use crate::interface::Outcome;
use crate::net::socket::{Socket, TransferMonitor, retry_on_interrupt};
use crate::net::upstream::response_limits::ResponseLimits;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The length of the terminator of a request head, CR LF CR LF.
const HEAD_TERMINATOR_LENGTH: u8 = 4;

/// A check that is called before bytes of a request are written. It fails with the outcome of the attempt if
/// they must not be written.
pub type WriteGuard = Box<dyn Fn() -> Result<(), Outcome>>;

/// A socket whose writes are recorded in a [`WriteProgress`].
pub type MonitoredStream = Socket<Rc<WriteProgress>>;

/// The write progress of a connection's current request, and the guard of its further writes.
#[derive(Default)]
pub struct WriteProgress {
    /// How many bytes of the head's terminator the end of the written bytes matches;
    /// [`HEAD_TERMINATOR_LENGTH`] once the head is complete.
    terminator_matched: Cell<u8>,
    /// The number of body bytes still to be written.
    body_remaining: Cell<usize>,
    /// Whether any byte of the request was written.
    has_started: Cell<bool>,
    response: RefCell<ResponseLimits>,
    guard: RefCell<Option<WriteGuard>>,
    withheld_outcome: Cell<Option<Outcome>>,
}

impl WriteProgress {
    /// Starts to track a new request with a body of `body_length` bytes, whose writes `guard` checks.
    pub(super) fn begin_request(&self, body_length: usize, guard: WriteGuard) {
        self.terminator_matched.set(0);
        self.body_remaining.set(body_length);
        self.has_started.set(false);
        self.response.take();
        self.guard.replace(Some(guard));
    }

    /// Records that the head of the response has arrived.
    pub(super) fn begin_response(&self) {
        self.response.borrow_mut().begin_response();
    }

    /// The outcome of the attempt if one of its writes was withheld.
    pub fn withheld_outcome(&self) -> Option<Outcome> {
        self.withheld_outcome.get()
    }

    /// Whether the last byte of the request was written.
    pub fn is_complete(&self) -> bool {
        self.terminator_matched.get() == HEAD_TERMINATOR_LENGTH && self.body_remaining.get() == 0
    }

    /// Checks whether the next bytes of the request may be written to this connection.
    fn check(&self, stream: &TcpStream) -> Result<(), Outcome> {
        if let Some(guard) = &*self.guard.borrow()
            && !self.is_complete()
        {
            guard()?;
        }
        // Bytes that arrive before the first byte of a request would be taken for its response, and a closed
        // connection can't carry a request.
        let may_write = self.has_started.get() || has_no_pending_input(stream);
        if may_write { Ok(()) } else { Err(Outcome::ConnectFailed) }
    }

    /// Records bytes that the kernel has accepted.
    fn record(&self, mut bytes: &[u8]) {
        self.has_started.set(true);
        while self.terminator_matched.get() < HEAD_TERMINATOR_LENGTH {
            let Some((byte, rest)) = bytes.split_first() else { return };
            bytes = rest;
            self.terminator_matched.set(match (self.terminator_matched.get(), byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.terminator_matched.get() + 1,
                (_, b'\r') => 1,
                _ => 0,
            });
        }
        self.body_remaining.set(self.body_remaining.get().saturating_sub(bytes.len()));
    }
}

impl TransferMonitor for Rc<WriteProgress> {
    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        self.check(stream).map_err(|outcome| {
            self.withheld_outcome.set(Some(outcome));
            io::Error::other("write withheld")
        })
    }

    fn after_write(&self, buffers: &[IoSlice<'_>], written: usize) {
        let mut remaining = written;
        for buffer in buffers {
            let accepted = remaining.min(buffer.len());
            self.record(&buffer[..accepted]);
            remaining -= accepted;
        }
    }

    fn before_read(&self) -> io::Result<()> {
        self.response.borrow().check().map_err(io::Error::other)
    }

    fn after_read(&self, bytes: &[u8]) {
        self.response.borrow_mut().record(bytes);
    }
}

/// Whether neither bytes nor an end of file are waiting to be read. Asks the kernel, so that readiness which
/// the async runtime has not seen yet counts.
pub(super) fn has_no_pending_input(stream: &TcpStream) -> bool {
    let peeked = retry_on_interrupt(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
