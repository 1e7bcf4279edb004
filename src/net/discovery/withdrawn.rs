//! Record of the workers that discovery has withdrawn from service.

use crate::interface::{Micros, WorkerId};
use std::collections::{BTreeMap, HashMap};

/// The minimum capacity of the record, in workers, used while fewer workers than this are listed.
const MIN_CAPACITY: usize = 512;

/// A worker process that was withdrawn.
struct WithdrawnWorker {
    /// Start time of the withdrawn process; a restarted process has another one and is not withdrawn.
    started_at: Option<Micros>,
    /// Position in the order of withdrawals.
    withdrawal_number: u64,
}

/// The workers last reported as draining or gone.
///
/// The capacity is the number of listed workers, since a rolling release may withdraw nearly all of them
/// before an agent that lags behind reports the first withdrawal.
#[derive(Default)]
pub struct WithdrawnWorkers {
    workers: HashMap<WorkerId, WithdrawnWorker>,
    /// Workers by withdrawal number, oldest first.
    order: BTreeMap<u64, WorkerId>,
    next_withdrawal_number: u64,
}

impl WithdrawnWorkers {
    /// Records the withdrawal of the worker process that started at `started_at`.
    pub fn insert(&mut self, worker: &WorkerId, started_at: Option<Micros>) {
        self.remove(worker);
        let withdrawal_number = self.next_withdrawal_number;
        self.next_withdrawal_number += 1;
        self.order.insert(withdrawal_number, worker.clone());
        self.workers.insert(worker.clone(), WithdrawnWorker { started_at, withdrawal_number });
    }

    /// Evicts the oldest entries until at most `listed_count` remain, or `MIN_CAPACITY` if that is more.
    pub fn evict_oldest(&mut self, listed_count: usize) {
        while self.order.len() > listed_count.max(MIN_CAPACITY) {
            if let Some((_, worker)) = self.order.pop_first() {
                self.workers.remove(&worker);
            }
        }
    }

    /// Removes a worker that is back in service.
    pub fn remove(&mut self, worker: &WorkerId) {
        if let Some(withdrawn) = self.workers.remove(worker) {
            self.order.remove(&withdrawn.withdrawal_number);
        }
    }

    /// Whether the worker process that started at `started_at` was withdrawn.
    pub fn contains(&self, worker: &WorkerId, started_at: Option<Micros>) -> bool {
        self.workers.get(worker).is_some_and(|withdrawn| withdrawn.started_at == started_at)
    }
}
