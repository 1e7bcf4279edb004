//! The calls in progress, by the names that clients gave their requests.
//!
//! A name has at most one call at a time. A client that resumes a stream takes it over from its old connection, which
//! may not have noticed yet that it is broken.

use super::error::RpcError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::watch;

/// Why a call ends before its answer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The client cancelled the request.
    Cancelled,
    /// The client resumed the request, and a newer call has taken over its name.
    Superseded,
}

/// What the table knows of a call.
struct Entry {
    /// Tells the call's task to stop.
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
    /// An empty table.
    pub fn new() -> Rc<Self> {
        Rc::new(ActiveCalls { by_name: RefCell::default(), next_number: Cell::new(1) })
    }

    /// Enters a call under its name until the returned guard is dropped. A call that resumes a stream in progress
    /// supersedes it.
    ///
    /// # Errors
    /// A call of this name is in progress, and this one may not supersede it.
    pub fn register(self: &Rc<Self>, name: Rc<str>, resumes: bool) -> Result<ActiveCall, RpcError> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (interrupt, interruption) = watch::channel(None);
        let is_streaming = Rc::new(Cell::new(false));
        let mut by_name = self.by_name.borrow_mut();
        if let Some(earlier) = by_name.get(&name) {
            // Only a stream can be resumed. A second call beside one that is still waiting for its first event could
            // execute a request twice that is not idempotent.
            if !resumes || !earlier.is_streaming.get() {
                return Err(RpcError::DuplicateRequest);
            }
            earlier.interrupt.send_replace(Some(Interruption::Superseded));
        }
        by_name.insert(name.clone(), Entry { interrupt, is_streaming: is_streaming.clone(), number });
        drop(by_name);
        Ok(ActiveCall { calls: self.clone(), name, number, is_streaming, interruption })
    }

    /// Interrupts the call of this name; whether there is one.
    pub fn cancel(&self, name: &str) -> bool {
        let by_name = self.by_name.borrow();
        let Some(entry) = by_name.get(name) else { return false };
        entry.interrupt.send_replace(Some(Interruption::Cancelled));
        true
    }
}

/// A call in progress. Dropping it frees its name, unless a newer call has taken the name over.
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

    /// A number that no other call of this process has.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Notes that the answer's stream has begun: from now on a resumed request may take over.
    pub fn mark_streaming(&self) {
        self.is_streaming.set(true);
    }

    /// Waits until the call is to stop. Dropping the future loses nothing: the next one resolves at once if the
    /// interruption has come meanwhile.
    pub async fn interrupted(&mut self) -> Interruption {
        match self.interruption.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(interruption)) => *interruption,
            // The entry is gone from the table without a word: only a newer call replaces it.
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
