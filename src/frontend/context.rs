//! State shared by the client protocols.

use crate::net::server::memory_budget::MemoryBudget;
use crate::runtime::DriverHandle;
use crate::runtime::counters::Counters;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// State shared by all client connections.
pub struct ServiceContext {
    /// The driver that requests are submitted to.
    pub driver: DriverHandle,
    /// The names of the configured request classes.
    pub request_classes: Vec<String>,
    /// Whether the router can serve requests, as the health check reports it.
    pub is_ready: Box<dyn Fn() -> bool>,
    /// The counters that all components of the router share.
    pub counters: Rc<Counters>,
    /// The memory that the heads and bodies of all requests in flight may occupy together.
    pub request_memory: Rc<MemoryBudget>,
    /// The ids of active requests, none of which another request may use at the same time.
    pub active_ids: Rc<ActiveRequestIds>,
}

/// The ids of active requests. Workers identify requests by id: two concurrent requests with the same id
/// would share a KV cache.
#[derive(Default)]
pub struct ActiveRequestIds(RefCell<HashSet<String>>);

impl ActiveRequestIds {
    /// Whether no request is active.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Claims an id until the returned guard is dropped; `None` if an active request has it already.
    pub fn claim(self: &Rc<Self>, id: &str) -> Option<ActiveRequestId> {
        let is_new = self.0.borrow_mut().insert(id.to_owned());
        is_new.then(|| ActiveRequestId { ids: self.clone(), id: id.to_owned() })
    }
}

/// Guard of an active request's id. Dropping it frees the id.
pub struct ActiveRequestId {
    ids: Rc<ActiveRequestIds>,
    id: String,
}

impl Drop for ActiveRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
