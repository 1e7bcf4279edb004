//! What all client connections share of the limits on reading.

use crate::net::memory_budget::MemoryBudget;
use crate::net::server::read_scheduler::ReadScheduler;
use std::rc::Rc;

/// The limits on what client connections read together.
#[derive(Clone)]
pub struct ReadLimits {
    /// The memory for bytes that are read ahead.
    pub(super) read_ahead_memory: Rc<MemoryBudget>,
    /// Limits the reads of all connections in one round.
    pub(super) scheduler: Rc<ReadScheduler>,
}

impl ReadLimits {
    /// Creates the limits, with this memory for bytes that are read ahead.
    pub fn new(read_ahead_bytes: usize) -> Self {
        ReadLimits { read_ahead_memory: MemoryBudget::new(read_ahead_bytes), scheduler: Rc::default() }
    }
}
