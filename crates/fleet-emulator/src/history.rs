//! The history of a run: everything that the stand-ins observed, with the time of each observation.

use crate::clock::{self, Timestamp};
use crate::record::Record;
use crate::sync::lock;
use std::sync::{Arc, Mutex};

/// A record and its timestamp.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time of the observation.
    pub at: Timestamp,
    /// What was observed.
    pub record: Record,
}

/// The records of one run. All clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Adds a record with the current time.
    pub fn add(&self, record: Record) {
        self.add_at(clock::now(), record);
    }

    /// Adds a record of something that was observed at an earlier time.
    pub fn add_at(&self, at: Timestamp, record: Record) {
        lock(&self.0).push(Entry { at, record });
    }

    /// All records so far, in the order of their timestamps.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = lock(&self.0).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
