//! What the protocols that clients speak have in common.

use crate::net::server::memory_budget::MemoryBudget;
use crate::runtime::DriverHandle;
use crate::runtime::counters::Counters;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// What all client connections share.
pub struct ServiceContext {
    /// Where requests are submitted.
    pub driver: DriverHandle,
    /// The request classes that the settings name.
    pub request_classes: Vec<String>,
    /// Whether the router can serve requests, as the health check reports it.
    pub is_ready: Box<dyn Fn() -> bool>,
    /// Counters of the whole router.
    pub counters: Rc<Counters>,
    /// The memory that request bodies may take at once.
    pub body_memory: Rc<MemoryBudget>,
    /// The ids of active requests.
    pub active_ids: Rc<ActiveRequestIds>,
}

/// The ids under which workers know active requests. Workers tell requests apart by them: two requests at once under
/// one id would share a KV cache.
#[derive(Default)]
pub struct ActiveRequestIds(RefCell<HashSet<String>>);

impl ActiveRequestIds {
    /// Whether no request is active.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Claims an id until the returned guard is dropped; `None` if it is active already.
    pub fn claim(self: &Rc<Self>, id: &str) -> Option<ActiveRequestId> {
        let is_new = self.0.borrow_mut().insert(id.to_owned());
        is_new.then(|| ActiveRequestId { ids: self.clone(), id: id.to_owned() })
    }
}

/// An id of an active request. Dropping it lets another request use the id.
pub struct ActiveRequestId {
    ids: Rc<ActiveRequestIds>,
    id: String,
}

impl Drop for ActiveRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
