//! The driver's timers.

use super::request_table::RequestTable;
use crate::interface::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The queue is pruned when it holds more entries than this plus two for each active request.
pub(super) const PRUNING_THRESHOLD: usize = 1024;

/// The kind of a timer. Entries that are due at the same time fire in the order of these variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerEntry {
    /// A timer of the policy.
    Policy(TimerId),
    /// The deadline for the final response of a request, enforced independently of the policy.
    ResponseDeadline(RequestId),
    /// The hold limit of the KV cache that is held for a request.
    CacheHoldLimit(RequestId),
}

/// The pending timers, ordered by due time.
///
/// An entry is not removed when its request ends; [`TimerQueue::prune`] bounds the number of such obsolete
/// entries.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<(Micros, TimerEntry)>>,
}

impl TimerQueue {
    pub fn push(&mut self, at: Micros, entry: TimerEntry) {
        self.entries.push(Reverse((at, entry)));
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest entry if it is due, and returns it with its due time.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, TimerEntry)> {
        if self.next_due()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry)
    }

    /// Removes the entries of finished requests once they may be the majority. Response deadlines stay in the
    /// queue until they are due, which may take minutes, while most requests end much earlier: without
    /// pruning, memory usage would depend on the longest deadline that clients choose.
    pub fn prune(&mut self, requests: &RequestTable) {
        if self.entries.len() <= 2 * requests.len() + PRUNING_THRESHOLD {
            return;
        }
        self.entries.retain(|Reverse((_, entry))| match entry {
            TimerEntry::Policy(_) => true,
            TimerEntry::ResponseDeadline(request) | TimerEntry::CacheHoldLimit(request) => {
                requests.contains(*request)
            }
        });
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
