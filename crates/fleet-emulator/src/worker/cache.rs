//! The KV caches that prefill workers have reserved for decode workers.

use crate::record::{RequestId, WorkerIndex};
use crate::sync::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// The reserved KV caches of a fleet. All clones share the same reservations.
#[derive(Clone, Debug, Default)]
pub struct CacheReservations(Arc<Mutex<HashMap<RequestId, Reservation>>>);

#[derive(Debug, Default)]
struct Reservation {
    /// The prefill worker that holds the cache; `None` while there is no cache.
    holder: Option<WorkerIndex>,
    /// The number of attempts at decode workers that are about to fetch the cache.
    claims: usize,
}

impl CacheReservations {
    fn reservations(&self) -> MutexGuard<'_, HashMap<RequestId, Reservation>> {
        lock(&self.0)
    }

    /// Reserves the cache of a request at a prefill worker.
    pub(super) fn reserve(&self, request: &RequestId, worker: WorkerIndex) {
        self.reservations().entry(request.clone()).or_default().holder = Some(worker);
    }

    /// Fetches a cache, which ends its reservation. Returns the worker that held it.
    pub(super) fn fetch(&self, request: &RequestId) -> Option<WorkerIndex> {
        self.reservations().get_mut(request)?.holder.take()
    }

    /// Releases a cache, unless an attempt has claimed it. Returns the worker that held it.
    pub(super) fn release(&self, request: &RequestId) -> Option<WorkerIndex> {
        let mut reservations = self.reservations();
        let unclaimed = reservations.get_mut(request).filter(|reservation| reservation.claims == 0);
        unclaimed?.holder.take()
    }

    /// Claims a cache for an attempt that has arrived at a decode worker, for as long as the claim exists.
    pub(super) fn claim(&self, request: &RequestId) -> Claim {
        self.reservations().entry(request.clone()).or_default().claims += 1;
        Claim { reservations: self.clone(), request: request.clone() }
    }

    /// Ends all reservations at a worker that has crashed, and returns their requests.
    pub(super) fn remove_all_at(&self, worker: WorkerIndex) -> Vec<RequestId> {
        let mut removed = Vec::new();
        for (request, reservation) in self.reservations().iter_mut() {
            if reservation.holder.take_if(|holder| *holder == worker).is_some() {
                removed.push(request.clone());
            }
        }
        removed
    }
}

/// The claim of an attempt to a cache, which protects the cache from a release. It ends on drop.
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
