//! What all client connections share of the limits on reading.

use crate::net::server::memory_budget::MemoryBudget;
use crate::net::server::read_turns::ReadTurns;
use std::rc::Rc;

/// The limits on what client connections read together.
#[derive(Clone)]
pub struct ReadLimits {
    /// The memory for bytes that are read ahead.
    pub(super) read_ahead_memory: Rc<MemoryBudget>,
    /// The reads in one turn of the event loop.
    pub(super) turns: Rc<ReadTurns>,
}

impl ReadLimits {
    /// Creates the limits, with this memory for bytes that are read ahead.
    pub fn new(read_ahead_bytes: usize) -> Self {
        ReadLimits { read_ahead_memory: MemoryBudget::new(read_ahead_bytes), turns: Rc::default() }
    }
}
