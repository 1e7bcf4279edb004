//! The current address and status of each worker.

use super::update::{AddressedEndpoint, EndpointUpdate};
use super::withdrawn::WithdrawnWorkers;
use crate::interface::{Endpoint, Micros, Role, WorkerId, WorkerKind, WorkerStatus};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The last reported state of a listed worker.
struct ListedWorker {
    address: Option<SocketAddr>,
    status: WorkerStatus,
    kind: String,
    started_at: Option<Micros>,
}

impl ListedWorker {
    /// Whether `other` describes the same process at the same address.
    fn is_same_process(&self, other: &ListedWorker) -> bool {
        self.started_at == other.started_at && self.address == other.address
    }

    fn role(&self, kinds: &[WorkerKind]) -> Role {
        kinds.iter().find(|kind| kind.name == self.kind).map_or(Role::Unified, |kind| kind.role)
    }
}

/// The current endpoint list, which the upstream client consults before it sends.
///
/// The list may be newer than the driver's view, so a send that the driver has decided on can still be withheld.
#[derive(Default)]
pub struct Directory {
    /// The listed workers except those that are gone.
    workers: RefCell<HashMap<WorkerId, ListedWorker>>,
    /// The sequence number of the last applied update.
    sequence: Cell<u64>,
    withdrawn: RefCell<WithdrawnWorkers>,
}

impl Directory {
    /// Applies an update. Returns the workers whose idle connections are stale: the process was restarted,
    /// moved to another address, or is gone.
    pub fn apply(&self, update: &EndpointUpdate) -> Vec<WorkerId> {
        self.sequence.set(update.sequence);
        if update.complete {
            self.workers.borrow_mut().values_mut().for_each(|worker| worker.status = WorkerStatus::Gone);
        }
        let mut stale = self.upsert(&update.endpoints);
        stale.extend(self.remove_gone());
        stale
    }

    /// Inserts or replaces the workers of an update. Returns those that were restarted or moved.
    fn upsert(&self, endpoints: &[AddressedEndpoint]) -> Vec<WorkerId> {
        let mut workers = self.workers.borrow_mut();
        let mut restarted = Vec::new();
        for AddressedEndpoint { endpoint, address } in endpoints {
            self.update_withdrawn(endpoint);
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

    fn update_withdrawn(&self, endpoint: &Endpoint) {
        let mut withdrawn = self.withdrawn.borrow_mut();
        match endpoint.status {
            WorkerStatus::Ready => withdrawn.remove(&endpoint.worker),
            WorkerStatus::Draining | WorkerStatus::Gone => {
                withdrawn.insert(&endpoint.worker, endpoint.started_at);
            }
        }
    }

    /// Removes and returns the workers that are gone. Machines are replaced under new ids while the router
    /// runs, so the directory would otherwise grow without bound.
    fn remove_gone(&self) -> Vec<WorkerId> {
        let mut withdrawn = self.withdrawn.borrow_mut();
        let mut gone = Vec::new();
        let mut workers = self.workers.borrow_mut();
        let listed_count = workers.len();
        workers.retain(|id, worker| {
            let is_gone = worker.status == WorkerStatus::Gone;
            if is_gone {
                withdrawn.insert(id, worker.started_at);
                gone.push(id.clone());
            }
            !is_gone
        });
        withdrawn.evict_oldest(listed_count);
        gone
    }

    /// Corrects an update from another agent whose list is older than the one last applied: workers already
    /// known to be draining or gone are marked as draining, so that an agent that lags behind does not return
    /// them to service.
    pub(super) fn mark_withdrawn_as_draining(&self, update: &mut EndpointUpdate) {
        if update.sequence >= self.sequence.get() {
            return;
        }
        let withdrawn = self.withdrawn.borrow();
        for AddressedEndpoint { endpoint, .. } in &mut update.endpoints {
            let is_withdrawn = withdrawn.contains(&endpoint.worker, endpoint.started_at);
            if endpoint.status == WorkerStatus::Ready && is_withdrawn {
                endpoint.status = WorkerStatus::Draining;
                log::info!(
                    "discovery: {} is Ready in an outdated list; treated as Draining",
                    endpoint.worker.0
                );
            }
        }
    }

    /// The sequence number of the last applied update.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// The address of a worker, if the worker is listed and its address is known.
    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.workers.borrow().get(worker)?.address
    }

    /// Whether a worker accepts new requests.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.workers.borrow().get(worker).is_some_and(|worker| worker.status == WorkerStatus::Ready)
    }

    /// Up to `limit` running workers: ready ones first, then draining ones.
    pub fn running_workers(&self, limit: usize) -> Vec<WorkerId> {
        let workers = self.workers.borrow();
        let with_status = |status| {
            let workers = workers.iter().filter(move |(_, worker)| worker.status == status);
            workers.map(|(id, _)| id.clone())
        };
        with_status(WorkerStatus::Ready).chain(with_status(WorkerStatus::Draining)).take(limit).collect()
    }

    /// Whether the ready workers cover both stages, prefill and decode.
    pub fn can_serve(&self, kinds: &[WorkerKind]) -> bool {
        let workers = self.workers.borrow();
        let has_ready = |role| {
            workers.values().any(|worker| worker.status == WorkerStatus::Ready && worker.role(kinds) == role)
        };
        has_ready(Role::Unified) || (has_ready(Role::Prefill) && has_ready(Role::Decode))
    }
}

#[cfg(test)]
mod tests;
