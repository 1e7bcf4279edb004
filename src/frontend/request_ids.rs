//! The ids of requests that no other request may use.

use crate::runtime::exchange::Abandonment;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long the id of an abandoned request can't be used again: longer than a worker may take to run it.
const ABANDONED_ID_LIFETIME: Duration = Duration::from_secs(60);
/// The maximum number of such ids; the oldest are forgotten first.
const MAX_ABANDONED_IDS: usize = 16 * 1024;

/// Why an id can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdConflict {
    /// Workers identify requests by id: two concurrent requests with the same id would share a KV cache.
    #[error("a request with this id is active")]
    Active,
    /// A worker may have run that request, or may still be running it, and must not run it again.
    #[error("the client of a request with this id left it at a worker")]
    Abandoned,
}

/// The ids of active requests, and of requests that their clients have recently abandoned at a worker.
#[derive(Default)]
pub struct RequestIds {
    active: RefCell<HashSet<String>>,
    abandoned: RefCell<AbandonedIds>,
}

impl RequestIds {
    /// Whether a request is active.
    pub fn has_active(&self) -> bool {
        !self.active.borrow().is_empty()
    }

    /// Claims an id until the returned guard is dropped.
    ///
    /// # Errors
    /// A request with this id is active, or was abandoned.
    pub fn claim(self: &Rc<Self>, id: &str) -> Result<ActiveRequestId, IdConflict> {
        if self.abandoned.borrow_mut().contains(id) {
            return Err(IdConflict::Abandoned);
        }
        if !self.active.borrow_mut().insert(id.to_owned()) {
            return Err(IdConflict::Active);
        }
        Ok(ActiveRequestId { ids: self.clone(), id: id.to_owned(), abandonment: Abandonment::default() })
    }
}

/// Guard of an active request's id. Dropping it frees the id, unless the request was abandoned.
pub struct ActiveRequestId {
    ids: Rc<RequestIds>,
    id: String,
    abandonment: Abandonment,
}

impl ActiveRequestId {
    /// Receives whether the request was abandoned.
    pub fn abandonment(&self) -> Abandonment {
        self.abandonment.clone()
    }
}

impl Drop for ActiveRequestId {
    fn drop(&mut self) {
        self.ids.active.borrow_mut().remove(&self.id);
        if self.abandonment.is_recorded() {
            self.ids.abandoned.borrow_mut().add(&self.id);
        }
    }
}

/// The hashes of the ids of abandoned requests.
#[derive(Default)]
struct AbandonedIds {
    hashes: HashSet<u64>,
    /// The same hashes and when they expire, oldest first.
    expiries: VecDeque<(Instant, u64)>,
}

impl AbandonedIds {
    fn contains(&mut self, id: &str) -> bool {
        let now = Instant::now();
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            self.remove_oldest();
        }
        self.hashes.contains(&xxh3_64(id.as_bytes()))
    }

    fn add(&mut self, id: &str) {
        let hash = xxh3_64(id.as_bytes());
        if !self.hashes.insert(hash) {
            return;
        }
        self.expiries.push_back((Instant::now() + ABANDONED_ID_LIFETIME, hash));
        if self.expiries.len() > MAX_ABANDONED_IDS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, hash)) = self.expiries.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
