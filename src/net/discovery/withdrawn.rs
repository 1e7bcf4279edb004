//! Workers that discovery has withdrawn from service.

use crate::interface::{Micros, WorkerId};
use std::collections::VecDeque;

/// How many withdrawn workers are remembered: more than drain between two updates of an agent that lags behind.
const MAX_WITHDRAWN_WORKERS: usize = 512;

/// One process of a worker that was withdrawn.
struct WithdrawnWorker {
    worker: WorkerId,
    /// Start time of the process that was withdrawn; a restarted process is not.
    started_at: Option<Micros>,
}

/// The workers last reported as draining or gone, oldest first; at most [`MAX_WITHDRAWN_WORKERS`].
#[derive(Default)]
pub struct WithdrawnWorkers(VecDeque<WithdrawnWorker>);

impl WithdrawnWorkers {
    /// Records that this process of the worker was withdrawn; forgets the oldest record if there are too many.
    pub fn insert(&mut self, worker: &WorkerId, started_at: Option<Micros>) {
        self.remove(worker);
        self.0.push_back(WithdrawnWorker { worker: worker.clone(), started_at });
        if self.0.len() > MAX_WITHDRAWN_WORKERS {
            self.0.pop_front();
        }
    }

    /// Forgets a worker that is back in service.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.0.retain(|withdrawn| withdrawn.worker != *worker);
    }

    /// Whether this process of the worker was withdrawn.
    pub fn contains(&self, worker: &WorkerId, started_at: Option<Micros>) -> bool {
        self.0.iter().any(|withdrawn| withdrawn.worker == *worker && withdrawn.started_at == started_at)
    }
}
