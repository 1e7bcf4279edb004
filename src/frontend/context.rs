//! State shared by the client protocols.

use crate::frontend::request_ids::RequestIds;
use crate::net::memory_budget::MemoryBudget;
use crate::runtime::DriverHandle;
use crate::runtime::counters::Counters;
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
    /// The ids that no other request may use.
    pub request_ids: Rc<RequestIds>,
}
