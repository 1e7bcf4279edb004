//! A gate that keeps hyper from reading past the active request.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Open while a request is read, closed from its last byte until hyper is done with its response.
///
/// Without it, hyper would read pipelined requests into its buffer. A request left in the kernel's receive
/// buffer counts as unread, so the client may safely retry it elsewhere when the connection closes.
pub struct ReadGate {
    is_open: Cell<bool>,
    /// The waker of the task that waits for the gate to open.
    waker: RefCell<Option<Waker>>,
}

impl ReadGate {
    pub fn new() -> Self {
        ReadGate { is_open: Cell::new(true), waker: RefCell::default() }
    }

    /// Permits reads, and wakes the waiting task.
    pub fn open(&self) {
        self.is_open.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Blocks reads until the gate opens.
    pub fn close(&self) {
        self.is_open.set(false);
    }

    /// Ready while the gate is open; otherwise registers the task to be woken when it opens.
    pub fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_open.get() {
            return Poll::Ready(());
        }
        self.waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}
