//! The driver's timers.

use super::request_table::RequestTable;
use crate::interface::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Entries that the queue may hold beyond two for each active request before it is searched for obsolete
/// ones.
pub(super) const PRUNING_THRESHOLD: usize = 1024;

/// What is due at a moment. Entries of one moment fire in the order of these variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerEntry {
    /// A timer that the policy has set.
    Policy(TimerId),
    /// The latest moment for the final answer to a request, whatever the policy does.
    AnswerDeadline(RequestId),
    /// The latest moment for the release of the KV cache that is held for a request.
    CacheHoldLimit(RequestId),
}

/// The timers that have not fired yet, ordered by time.
///
/// An entry is not removed when its request ends; [`TimerQueue::prune`] bounds how many such entries
/// accumulate.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<(Micros, TimerEntry)>>,
}

impl TimerQueue {
    /// Adds an entry.
    pub fn push(&mut self, at: Micros, entry: TimerEntry) {
        self.entries.push(Reverse((at, entry)));
    }

    /// When the earliest entry is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest entry if it is due by now, and returns it with the time at which it was due.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, TimerEntry)> {
        if self.next_due()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry)
    }

    /// Drops the entries of requests that are over once they may be the majority. Answer deadlines stay in
    /// the queue until they are due, which may be minutes if the client says so, though most requests end
    /// much earlier: without pruning, memory would grow with the longest deadline that clients state.
    pub fn prune(&mut self, requests: &RequestTable) {
        if self.entries.len() <= 2 * requests.len() + PRUNING_THRESHOLD {
            return;
        }
        self.entries.retain(|Reverse((_, entry))| match entry {
            TimerEntry::Policy(_) => true,
            TimerEntry::AnswerDeadline(request) | TimerEntry::CacheHoldLimit(request) => {
                requests.contains(*request)
            }
        });
    }

    /// How many entries there are.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
