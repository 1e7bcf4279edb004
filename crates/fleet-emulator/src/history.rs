//! The history of a run: the timestamped observations of all emulated components.

use crate::clock::{self, Timestamp};
use crate::record::Record;
use crate::sync::lock;
use std::sync::{Arc, Mutex};

/// A record with the time of the observation.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When the observation was made, which may be earlier than when it was added.
    pub at: Timestamp,
    /// What was observed.
    pub record: Record,
}

/// The records of one run. All clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Adds a record with the current time as its timestamp.
    pub fn add(&self, record: Record) {
        self.add_at(clock::now(), record);
    }

    /// Adds a record of an observation at an earlier time.
    pub fn add_at(&self, at: Timestamp, record: Record) {
        lock(&self.0).push(Entry { at, record });
    }

    /// A copy of all records so far, ordered by timestamp.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = lock(&self.0).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
