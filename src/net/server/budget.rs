//! A bound on bytes that are held at once, over all connections.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that may still be held.
pub struct Budget(Cell<usize>);

impl Budget {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget(Cell::new(bytes)))
    }
}

/// Bytes of the budget, given back when dropped.
pub struct Held(Rc<Budget>, usize);

impl Held {
    /// None yet.
    pub fn new(budget: Rc<Budget>) -> Self {
        Held(budget, 0)
    }

    /// Takes more, as bytes come: a length that is only claimed takes nothing from others.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let left = self.0.0.get().checked_sub(bytes);
        if let Some(left) = left {
            self.0.0.set(left);
            self.1 += bytes;
        }
        left.is_some()
    }

    /// Gives some back.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.1);
        self.1 -= bytes;
        self.0.0.set(self.0.0.get() + bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(self.1);
    }
}
