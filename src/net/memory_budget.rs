//! A limit on the memory that many holders occupy together.

use std::cell::Cell;
use std::rc::Rc;

/// A shared budget of memory, from which reservations are made.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    available: Cell<usize>,
}

/// The budget has fewer bytes left than requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is exhausted")]
pub struct BudgetExhausted;

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { total: bytes, available: Cell::new(bytes) })
    }
}

/// Bytes reserved from a budget, returned to it on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// The number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Creates an empty reservation.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        MemoryReservation { budget, bytes: 0 }
    }

    /// Reserves more bytes. Call it as bytes are received, so that a declared length alone occupies no memory
    /// of the budget.
    ///
    /// # Errors
    /// The budget has too few bytes left; the reservation is unchanged.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let available = self.budget.available.get().checked_sub(bytes).ok_or(BudgetExhausted)?;
        self.budget.available.set(available);
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves more bytes if this reservation then has at most as many as stay available to others. So a
    /// single holder gets half of an idle budget, and the shares become smaller as more holders need one.
    ///
    /// # Errors
    /// The reservation would exceed that share; it is unchanged.
    pub fn grow_within_share(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        if self.bytes + 2 * bytes > self.budget.available.get() {
            return Err(BudgetExhausted);
        }
        self.grow(bytes)
    }

    /// Reserves more bytes if half of the budget then stays available to holders that may use all of it.
    ///
    /// # Errors
    /// Less than half would stay available; the reservation is unchanged.
    pub fn grow_within_half(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        if bytes + self.budget.total / 2 > self.budget.available.get() {
            return Err(BudgetExhausted);
        }
        self.grow(bytes)
    }

    /// Moves all reserved bytes to a new reservation, and leaves this one empty.
    pub fn take(&mut self) -> MemoryReservation {
        MemoryReservation { budget: self.budget.clone(), bytes: std::mem::take(&mut self.bytes) }
    }

    /// Returns reserved bytes to the budget.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        self.bytes -= returned;
        self.budget.available.set(self.budget.available.get() + returned);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

#[cfg(test)]
mod tests;
