//! Workers that discovery has withdrawn from service.

use crate::interface::{Micros, WorkerId};
use std::collections::{BTreeMap, HashMap};

/// So many withdrawn workers are remembered at least, however few are listed.
const MIN_REMEMBERED: usize = 512;

/// One process of a worker that was withdrawn.
struct WithdrawnWorker {
    /// Start time of the process that was withdrawn; a restarted process is not.
    started_at: Option<Micros>,
    /// Its place in the order of withdrawals.
    number: u64,
}

/// The workers last reported as draining or gone: as many as are listed, since a release may withdraw nearly all of
/// them before an agent that lags behind has heard of the first.
#[derive(Default)]
pub struct WithdrawnWorkers {
    workers: HashMap<WorkerId, WithdrawnWorker>,
    /// By the order of withdrawals.
    order: BTreeMap<u64, WorkerId>,
    next_number: u64,
}

impl WithdrawnWorkers {
    /// Records that this process of the worker was withdrawn.
    pub fn insert(&mut self, worker: &WorkerId, started_at: Option<Micros>) {
        self.remove(worker);
        let number = self.next_number;
        self.next_number += 1;
        self.order.insert(number, worker.clone());
        self.workers.insert(worker.clone(), WithdrawnWorker { started_at, number });
    }

    /// Forgets the workers that were withdrawn first while there are more than are listed.
    pub fn forget_oldest(&mut self, listed_workers: usize) {
        while self.order.len() > listed_workers.max(MIN_REMEMBERED) {
            if let Some((_, worker)) = self.order.pop_first() {
                self.workers.remove(&worker);
            }
        }
    }

    /// Forgets a worker that is back in service.
    pub fn remove(&mut self, worker: &WorkerId) {
        if let Some(withdrawn) = self.workers.remove(worker) {
            self.order.remove(&withdrawn.number);
        }
    }

    /// Whether this process of the worker was withdrawn.
    pub fn contains(&self, worker: &WorkerId, started_at: Option<Micros>) -> bool {
        self.workers.get(worker).is_some_and(|withdrawn| withdrawn.started_at == started_at)
    }
}
