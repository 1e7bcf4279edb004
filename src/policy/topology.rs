//! Cells and zones, and the prefill and decode capacity in each of them.

use crate::interface::Role;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Capacity for each stage, as the sum of the weights of the workers in service. Unified workers count for
/// both stages.
#[derive(Clone, Copy, Default)]
struct StageCapacity {
    prefill: f64,
    decode: f64,
    workers: usize,
}

impl StageCapacity {
    /// The capacity that a worker adds while it is in service.
    fn of_worker(role: Role, weight: f64) -> Self {
        StageCapacity {
            prefill: if role == Role::Decode { 0.0 } else { weight },
            decode: if role == Role::Prefill { 0.0 } else { weight },
            workers: 1,
        }
    }

    fn add(&mut self, worker: StageCapacity) {
        self.prefill += worker.prefill;
        self.decode += worker.decode;
        self.workers += worker.workers;
    }

    fn remove(&mut self, worker: StageCapacity) {
        self.prefill -= worker.prefill;
        self.decode -= worker.decode;
        self.workers -= worker.workers;
        if self.workers == 0 {
            // Discards the accumulated rounding errors.
            *self = StageCapacity::default();
        }
    }

    /// The share of the total decode capacity divided by the share of the total prefill capacity; 1 if there
    /// are no workers in service.
    fn decode_to_prefill_ratio(&self, total: &StageCapacity) -> f64 {
        if self.workers == 0 {
            return 1.0;
        }
        self.decode * total.prefill / (self.prefill * total.decode).max(1e-9)
    }
}

/// A cell or a zone, shared by the locations of its workers.
#[derive(Default)]
struct TopologyDomain {
    capacity: Cell<StageCapacity>,
    /// Number of listed workers, in service or not.
    listed_workers: Cell<usize>,
}

impl TopologyDomain {
    fn update_capacity(&self, update: impl FnOnce(&mut StageCapacity)) {
        let mut capacity = self.capacity.get();
        update(&mut capacity);
        self.capacity.set(capacity);
    }
}

/// The zone and cell of a worker, with their shared state. The default location has no listed workers.
#[derive(Clone, Default)]
pub(super) struct Location {
    /// Name of the zone.
    pub zone: Rc<str>,
    /// Number of the cell.
    pub cell: u64,
    cell_domain: Rc<TopologyDomain>,
    zone_domain: Rc<TopologyDomain>,
}

impl Location {
    /// Whether both locations are the same cell of the same zone.
    pub fn is_same_zone_and_cell(&self, other: &Location) -> bool {
        Rc::ptr_eq(&self.cell_domain, &other.cell_domain)
    }

    /// Whether both locations are in the same zone.
    pub fn is_same_zone(&self, other: &Location) -> bool {
        Rc::ptr_eq(&self.zone_domain, &other.zone_domain)
    }

    /// Whether the location is in the zone with this name.
    pub fn is_in_zone(&self, zone: &str) -> bool {
        *self.zone == *zone
    }

    /// Whether no worker is listed at this location.
    pub fn is_empty(&self) -> bool {
        self.cell_domain.listed_workers.get() == 0
    }
}

/// Share of the fleet's decode capacity divided by the share of its prefill capacity, for a cell and its
/// zone. A value above 1 means that there is decode capacity for KV caches from outside.
#[derive(Clone, Copy, Default)]
pub(super) struct DecodeCapacityRatio {
    /// Ratio for the cell.
    pub cell: f64,
    /// Ratio for the zone.
    pub zone: f64,
}

/// All cells and zones with listed workers. The cost of a change depends on the cell and zone that it
/// concerns, not on the number of workers in the fleet.
#[derive(Default)]
pub(super) struct Topology {
    total: StageCapacity,
    cells: BTreeMap<(Rc<str>, u64), Rc<TopologyDomain>>,
    zones: BTreeMap<Rc<str>, Rc<TopologyDomain>>,
}

impl Topology {
    /// Registers a listed worker in this zone and cell, and returns its location.
    pub fn register(&mut self, zone: &str, cell: u64) -> Location {
        let known = self.zones.get_key_value(zone).map(|(name, _)| name.clone());
        let zone = known.unwrap_or_else(|| zone.into());
        let cell_domain = self.cells.entry((zone.clone(), cell)).or_default().clone();
        let zone_domain = self.zones.entry(zone.clone()).or_default().clone();
        for domain in [&cell_domain, &zone_domain] {
            domain.listed_workers.set(domain.listed_workers.get() + 1);
        }
        Location { zone, cell, cell_domain, zone_domain }
    }

    /// Unregisters a worker that is no longer listed at this location. It must not be in service there.
    pub fn unregister(&mut self, location: &Location) {
        if location.is_empty() {
            return;
        }
        for domain in [&location.cell_domain, &location.zone_domain] {
            domain.listed_workers.set(domain.listed_workers.get() - 1);
        }
        if location.cell_domain.listed_workers.get() == 0 {
            self.cells.remove(&(location.zone.clone(), location.cell));
        }
        if location.zone_domain.listed_workers.get() == 0 {
            self.zones.remove(&location.zone);
        }
    }

    /// Adds the capacity of a worker that enters service.
    pub fn add_capacity(&mut self, location: &Location, role: Role, weight: f64) {
        let worker = StageCapacity::of_worker(role, weight);
        self.total.add(worker);
        location.cell_domain.update_capacity(|capacity| capacity.add(worker));
        location.zone_domain.update_capacity(|capacity| capacity.add(worker));
    }

    /// Removes the capacity of a worker that leaves service. Role and weight must be those with which it was
    /// added.
    pub fn remove_capacity(&mut self, location: &Location, role: Role, weight: f64) {
        let worker = StageCapacity::of_worker(role, weight);
        self.total.remove(worker);
        location.cell_domain.update_capacity(|capacity| capacity.remove(worker));
        location.zone_domain.update_capacity(|capacity| capacity.remove(worker));
    }

    /// The decode capacity ratio of this cell and zone.
    ///
    /// The ratio is computed from the endpoint list alone, so that all routers agree on it: each router sees
    /// too little of the others' load.
    pub fn decode_capacity_ratio(&self, location: &Location) -> DecodeCapacityRatio {
        let ratio = |domain: &TopologyDomain| domain.capacity.get().decode_to_prefill_ratio(&self.total);
        DecodeCapacityRatio { cell: ratio(&location.cell_domain), zone: ratio(&location.zone_domain) }
    }

    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }
}
