//! The calls in progress, by the names that clients gave their requests.
//!
//! A name has at most one call at a time. A client that resumes a stream on a new connection takes it over
//! from the call on the old one, which may not have detected yet that the connection is broken.

use super::error::RpcError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::watch;

/// Why a call is interrupted before its answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The client cancelled the request.
    Cancelled,
    /// The client resumed the request, and a newer call has taken over its name.
    Superseded,
}

struct Entry {
    /// Interrupts the call's task.
    interrupt: watch::Sender<Option<Interruption>>,
    is_streaming: Rc<Cell<bool>>,
    number: u64,
}

/// The table of the calls in progress.
pub struct ActiveCalls {
    by_name: RefCell<HashMap<Rc<str>, Entry>>,
    next_number: Cell<u64>,
}

impl ActiveCalls {
    pub fn new() -> Rc<Self> {
        Rc::new(ActiveCalls { by_name: RefCell::default(), next_number: Cell::new(1) })
    }

    /// Registers a call under its name until the returned guard is dropped. A call that resumes a stream in
    /// progress supersedes the call that relays it.
    ///
    /// # Errors
    /// A call of this name is in progress and can't be superseded by this one.
    pub fn register(self: &Rc<Self>, name: Rc<str>, is_resume: bool) -> Result<ActiveCall, RpcError> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (interrupt, interruption) = watch::channel(None);
        let is_streaming = Rc::new(Cell::new(false));
        let mut by_name = self.by_name.borrow_mut();
        if let Some(earlier) = by_name.get(&name) {
            // Only a stream can be resumed. Beside a call that still waits for its first event, a second one
            // could execute a non-idempotent request twice.
            if !is_resume || !earlier.is_streaming.get() {
                return Err(RpcError::DuplicateRequest);
            }
            earlier.interrupt.send_replace(Some(Interruption::Superseded));
        }
        by_name.insert(name.clone(), Entry { interrupt, is_streaming: is_streaming.clone(), number });
        drop(by_name);
        Ok(ActiveCall { calls: self.clone(), name, number, is_streaming, interruption })
    }

    /// Cancels the call of this name. Returns whether there is one.
    pub fn cancel(&self, name: &str) -> bool {
        let by_name = self.by_name.borrow();
        let Some(entry) = by_name.get(name) else { return false };
        entry.interrupt.send_replace(Some(Interruption::Cancelled));
        true
    }
}

/// Guard of a registered call. Dropping it frees the call's name, unless a newer call has superseded it.
pub struct ActiveCall {
    calls: Rc<ActiveCalls>,
    name: Rc<str>,
    number: u64,
    is_streaming: Rc<Cell<bool>>,
    interruption: watch::Receiver<Option<Interruption>>,
}

impl ActiveCall {
    /// The client's name for the request.
    pub fn name(&self) -> &Rc<str> {
        &self.name
    }

    /// The call's number, unique in this process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that the answer has begun to stream: from now on a resumed request may supersede this call.
    pub fn mark_streaming(&self) {
        self.is_streaming.set(true);
    }

    /// Resolves when the call is interrupted. Cancel safe: once interrupted, every later wait resolves at
    /// once.
    pub async fn interrupted(&mut self) -> Interruption {
        match self.interruption.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(interruption)) => *interruption,
            // The sender was dropped with the table's entry, which only a newer call replaces.
            Ok(None) | Err(_) => Interruption::Superseded,
        }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let mut by_name = self.calls.by_name.borrow_mut();
        if by_name.get(&self.name).is_some_and(|entry| entry.number == self.number) {
            by_name.remove(&self.name);
        }
    }
}

#[cfg(test)]
mod tests;
