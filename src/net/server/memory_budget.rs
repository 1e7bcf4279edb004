//! A limit on the memory that request bodies take at once, over all connections.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that may still be reserved.
pub struct MemoryBudget {
    available: Cell<usize>,
}

/// The budget has fewer bytes left than were asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget for request bodies is exhausted")]
pub struct BudgetExhausted;

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { available: Cell::new(bytes) })
    }
}

/// Bytes reserved from a budget, returned to it on drop.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// A reservation of no bytes yet.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        MemoryReservation { budget, bytes: 0 }
    }

    /// Reserves more. To be called as bytes arrive, so that a length that is only declared takes nothing from others.
    ///
    /// # Errors
    /// The budget has too few bytes left; the reservation stays as it was.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let available = self.budget.available.get().checked_sub(bytes).ok_or(BudgetExhausted)?;
        self.budget.available.set(available);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.available.set(self.budget.available.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests;
