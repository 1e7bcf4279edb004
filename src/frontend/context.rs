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
    pub classes: Vec<String>,
    /// Whether the router can serve requests: the health check's answer.
    pub ready: Box<dyn Fn() -> bool>,
    /// Counters of the whole router.
    pub counters: Rc<Counters>,
    /// The memory that request bodies may take at once.
    pub budget: Rc<MemoryBudget>,
    /// Ids of active requests.
    pub ids: RefCell<HashSet<String>>,
}
