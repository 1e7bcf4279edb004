//! Stops hyper from reading past the request that is being answered.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Open while a request is read, closed from its last byte until its response has been handed over.
///
/// hyper's own buffering would otherwise read pipelined requests ahead. What is left in the system's buffer counts as
/// never read, so that its client may send it again elsewhere when the connection closes.
pub struct ReadGate {
    is_open: Cell<bool>,
    /// The task that wants to read while the gate is closed.
    waiting_task: RefCell<Option<Waker>>,
}

impl ReadGate {
    /// An open gate.
    pub fn new() -> Self {
        ReadGate { is_open: Cell::new(true), waiting_task: RefCell::default() }
    }

    /// Lets reads through, and wakes the task that waits for it.
    pub fn open(&self) {
        self.is_open.set(true);
        if let Some(task) = self.waiting_task.take() {
            task.wake();
        }
    }

    /// Holds reads back from now on.
    pub fn close(&self) {
        self.is_open.set(false);
    }

    /// Ready while the gate is open; otherwise the task is woken when it opens.
    pub fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_open.get() {
            return Poll::Ready(());
        }
        self.waiting_task.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}
