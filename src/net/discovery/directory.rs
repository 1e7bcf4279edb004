//! The current address and status of each worker.

use super::update::{AddressedEndpoint, EndpointUpdate};
use super::withdrawn::WithdrawnWorkers;
use crate::interface::{Endpoint, Micros, Role, WorkerId, WorkerKind, WorkerStatus};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A worker of the endpoint list, as it was listed last.
struct ListedWorker {
    address: Option<SocketAddr>,
    status: WorkerStatus,
    kind: String,
    started_at: Option<Micros>,
}

impl ListedWorker {
    /// Whether connections to `other` lead to the same process as connections to this.
    fn is_same_process(&self, other: &ListedWorker) -> bool {
        self.started_at == other.started_at && self.address == other.address
    }

    fn role(&self, kinds: &[WorkerKind]) -> Role {
        kinds.iter().find(|kind| kind.name == self.kind).map_or(Role::Unified, |kind| kind.role)
    }
}

/// The endpoint list as it is at this moment, for whoever is about to send.
///
/// It is newer than the driver's view: a send that the driver decided on may be withheld because of it.
#[derive(Default)]
pub struct Directory {
    /// All workers that are listed and not gone.
    workers: RefCell<HashMap<WorkerId, ListedWorker>>,
    sequence: Cell<u64>,
    withdrawn: RefCell<WithdrawnWorkers>,
}

impl Directory {
    /// Applies an update. Returns the workers whose idle connections are of no more use: their process was restarted or
    /// moved to another address, or they are gone.
    pub fn apply(&self, update: &EndpointUpdate) -> Vec<WorkerId> {
        self.sequence.set(update.sequence);
        if update.complete {
            self.workers.borrow_mut().values_mut().for_each(|worker| worker.status = WorkerStatus::Gone);
        }
        let mut unusable = self.insert_listed(&update.endpoints);
        unusable.extend(self.remove_gone());
        unusable
    }

    /// Inserts or replaces the workers that an update lists. Returns those that were restarted or moved.
    fn insert_listed(&self, listed: &[AddressedEndpoint]) -> Vec<WorkerId> {
        let mut workers = self.workers.borrow_mut();
        let mut restarted = Vec::new();
        for AddressedEndpoint { endpoint, address } in listed {
            self.record_withdrawal(endpoint);
            let previous = workers.get(&endpoint.worker);
            let current = ListedWorker {
                address: address.or_else(|| previous.and_then(|worker| worker.address)),
                status: endpoint.status,
                kind: endpoint.kind.clone(),
                started_at: endpoint.started_at,
            };
            if previous.is_some_and(|previous| !previous.is_same_process(&current)) {
                restarted.push(endpoint.worker.clone());
            }
            workers.insert(endpoint.worker.clone(), current);
        }
        restarted
    }

    fn record_withdrawal(&self, endpoint: &Endpoint) {
        let mut withdrawn = self.withdrawn.borrow_mut();
        match endpoint.status {
            WorkerStatus::Ready => withdrawn.remove(&endpoint.worker),
            WorkerStatus::Draining | WorkerStatus::Gone => {
                withdrawn.insert(&endpoint.worker, endpoint.started_at);
            }
        }
    }

    /// Removes the workers that are gone and returns them. Machines are replaced under new ids for as long as the router
    /// runs, so a directory that kept them would grow without bound.
    fn remove_gone(&self) -> Vec<WorkerId> {
        let mut withdrawn = self.withdrawn.borrow_mut();
        let mut gone = Vec::new();
        let mut workers = self.workers.borrow_mut();
        let listed = workers.len();
        workers.retain(|id, worker| {
            let is_gone = worker.status == WorkerStatus::Gone;
            if is_gone {
                withdrawn.insert(id, worker.started_at);
                gone.push(id.clone());
            }
            !is_gone
        });
        withdrawn.forget_oldest(listed);
        gone
    }

    /// Corrects an update of another agent whose list is older than the one that was last applied: workers already known
    /// to be draining or gone are listed as draining, so that an agent that has not heard of it yet brings none back.
    pub(super) fn mark_withdrawn_as_draining(&self, update: &mut EndpointUpdate) {
        if update.sequence >= self.sequence.get() {
            return;
        }
        let withdrawn = self.withdrawn.borrow();
        for AddressedEndpoint { endpoint, .. } in &mut update.endpoints {
            let is_withdrawn = withdrawn.contains(&endpoint.worker, endpoint.started_at);
            if endpoint.status == WorkerStatus::Ready && is_withdrawn {
                endpoint.status = WorkerStatus::Draining;
                log::info!("discovery: {} is listed as Ready by an older list: draining", endpoint.worker.0);
            }
        }
    }

    /// The sequence number of the update that was last applied.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// A worker's address, if it is listed and the address is known.
    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.workers.borrow().get(worker)?.address
    }

    /// Whether a worker may be sent new work at this moment.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.workers.borrow().get(worker).is_some_and(|worker| worker.status == WorkerStatus::Ready)
    }

    /// Up to `limit` workers that run: those in service first, then those that are draining.
    pub fn running(&self, limit: usize) -> Vec<WorkerId> {
        let workers = self.workers.borrow();
        let with_status = |status| {
            let workers = workers.iter().filter(move |(_, worker)| worker.status == status);
            workers.map(|(id, _)| id.clone())
        };
        with_status(WorkerStatus::Ready).chain(with_status(WorkerStatus::Draining)).take(limit).collect()
    }

    /// Whether the workers in service can do both stages, prefill and decode, between them.
    pub fn can_serve(&self, kinds: &[WorkerKind]) -> bool {
        let workers = self.workers.borrow();
        let has = |role| {
            workers.values().any(|worker| worker.status == WorkerStatus::Ready && worker.role(kinds) == role)
        };
        has(Role::Unified) || (has(Role::Prefill) && has(Role::Decode))
    }
}

#[cfg(test)]
mod tests;
