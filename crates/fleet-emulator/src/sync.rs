//! Locks of state that stays valid when a task panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a task panicked while holding it: one broken stand-in must not end the whole run.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
