//! Reservations of KV caches, which prefill workers hold for decode workers.

use crate::record::{RequestId, WorkerIndex};
use crate::sync::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The KV cache reservations of a fleet. All clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct CacheReservations(Arc<Mutex<HashMap<RequestId, Reservation>>>);

#[derive(Debug, Default)]
struct Reservation {
    /// The prefill worker that holds the cache; `None` before the cache exists and after its end.
    holder: Option<WorkerIndex>,
    /// The number of attempts in flight at decode workers that may still fetch the cache.
    claims: usize,
}

impl CacheReservations {
    fn reservations(&self) -> MutexGuard<'_, HashMap<RequestId, Reservation>> {
        lock(&self.0)
    }

    /// Records that a prefill worker holds the cache of a request.
    pub(super) fn reserve(&self, request: &RequestId, worker: WorkerIndex) {
        self.reservations().entry(request.clone()).or_default().holder = Some(worker);
    }

    /// Fetches a cache, which ends its reservation. Returns the worker that held it.
    pub(super) fn fetch(&self, request: &RequestId) -> Option<WorkerIndex> {
        self.reservations().get_mut(request)?.holder.take()
    }

    /// Releases a cache that no attempt has claimed. Returns the worker that held it.
    pub(super) fn release(&self, request: &RequestId) -> Option<WorkerIndex> {
        let mut reservations = self.reservations();
        let unclaimed = reservations.get_mut(request).filter(|reservation| reservation.claims == 0);
        unclaimed?.holder.take()
    }

    /// Claims a cache for an attempt at a decode worker. The claim lasts until the returned guard is dropped.
    pub(super) fn claim(&self, request: &RequestId) -> Claim {
        self.reservations().entry(request.clone()).or_default().claims += 1;
        Claim { reservations: self.clone(), request: request.clone() }
    }

    /// Removes all reservations of a crashed worker, and returns the requests that they belonged to.
    pub(super) fn remove_all_of(&self, worker: WorkerIndex) -> Vec<RequestId> {
        let mut removed = Vec::new();
        for (request, reservation) in self.reservations().iter_mut() {
            if reservation.holder.take_if(|holder| *holder == worker).is_some() {
                removed.push(request.clone());
            }
        }
        removed
    }
}

/// A guard that keeps a cache from being released while an attempt may still fetch it.
pub(super) struct Claim {
    reservations: CacheReservations,
    request: RequestId,
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut reservations = self.reservations.reservations();
        if let Some(reservation) = reservations.get_mut(&self.request) {
            reservation.claims -= 1;
            if reservation.claims == 0 && reservation.holder.is_none() {
                reservations.remove(&self.request);
            }
        }
    }
}
