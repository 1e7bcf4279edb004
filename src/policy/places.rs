//! Cells and zones, and how much of the fleet's capacity for each stage they hold.

use crate::interface::Role;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Capacity that each stage can use, in weights of the workers in service. Unified workers count for both.
#[derive(Clone, Copy, Default)]
struct StageCapacity {
    prefill: f64,
    decode: f64,
    workers: usize,
}

impl StageCapacity {
    /// What a worker in service adds.
    fn of(role: Role, weight: f64) -> Self {
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
            // Without rounding errors of the sums.
            *self = StageCapacity::default();
        }
    }

    /// The share of the decode capacity in `total` over the share of the prefill capacity; 1 without a worker
    /// in service.
    fn decode_over_prefill_share(&self, total: &StageCapacity) -> f64 {
        if self.workers == 0 {
            return 1.0;
        }
        self.decode * total.prefill / (self.prefill * total.decode).max(1e-9)
    }
}

/// A cell or a zone, shared by its workers.
#[derive(Default)]
struct Place {
    capacity: Cell<StageCapacity>,
    /// Workers that are listed there, in service or not.
    listed: Cell<usize>,
}

impl Place {
    fn change_capacity(&self, change: impl FnOnce(&mut StageCapacity)) {
        let mut capacity = self.capacity.get();
        change(&mut capacity);
        self.capacity.set(capacity);
    }
}

/// Where a worker is, with what is shared by the workers there. The default is nowhere.
#[derive(Clone, Default)]
pub(super) struct Location {
    /// The zone's name.
    pub zone: Rc<str>,
    /// The cell's number.
    pub cell: u64,
    cell_place: Rc<Place>,
    zone_place: Rc<Place>,
}

impl Location {
    /// Whether both are the same cell of the same zone.
    pub fn is_same_place(&self, other: &Location) -> bool {
        Rc::ptr_eq(&self.cell_place, &other.cell_place)
    }

    /// Whether both are in the same zone.
    pub fn is_same_zone(&self, other: &Location) -> bool {
        Rc::ptr_eq(&self.zone_place, &other.zone_place)
    }

    /// Whether it is in the zone of this name.
    pub fn is_in_zone(&self, zone: &str) -> bool {
        *self.zone == *zone
    }

    /// Whether no worker is listed at it.
    pub fn is_nowhere(&self) -> bool {
        self.cell_place.listed.get() == 0
    }
}

/// The share of the decode capacity that a place holds over its share of the prefill capacity. Above 1 there
/// is capacity for KV caches from elsewhere.
#[derive(Clone, Copy, Default)]
pub(super) struct LocalityShare {
    /// Of the worker's cell.
    pub cell: f64,
    /// Of its zone.
    pub zone: f64,
}

/// All cells and zones in which workers are listed. A change costs that worker's places, not the fleet.
#[derive(Default)]
pub(super) struct Places {
    total: StageCapacity,
    cells: BTreeMap<(Rc<str>, u64), Rc<Place>>,
    zones: BTreeMap<Rc<str>, Rc<Place>>,
}

impl Places {
    /// The location of a worker that is listed in this zone and cell from now on.
    pub fn enter(&mut self, zone: &str, cell: u64) -> Location {
        let known = self.zones.get_key_value(zone).map(|(name, _)| name.clone());
        let zone = known.unwrap_or_else(|| zone.into());
        let cell_place = self.cells.entry((zone.clone(), cell)).or_default().clone();
        let zone_place = self.zones.entry(zone.clone()).or_default().clone();
        for place in [&cell_place, &zone_place] {
            place.listed.set(place.listed.get() + 1);
        }
        Location { zone, cell, cell_place, zone_place }
    }

    /// A worker is not listed at this location any more; it must not be in service there.
    pub fn leave(&mut self, location: &Location) {
        if location.is_nowhere() {
            return;
        }
        for place in [&location.cell_place, &location.zone_place] {
            place.listed.set(place.listed.get() - 1);
        }
        if location.cell_place.listed.get() == 0 {
            self.cells.remove(&(location.zone.clone(), location.cell));
        }
        if location.zone_place.listed.get() == 0 {
            self.zones.remove(&location.zone);
        }
    }

    /// A worker is in service from now on.
    pub fn add_capacity(&mut self, location: &Location, role: Role, weight: f64) {
        let worker = StageCapacity::of(role, weight);
        self.total.add(worker);
        location.cell_place.change_capacity(|capacity| capacity.add(worker));
        location.zone_place.change_capacity(|capacity| capacity.add(worker));
    }

    /// A worker is not in service any more. Role and weight are those with which it was.
    pub fn remove_capacity(&mut self, location: &Location, role: Role, weight: f64) {
        let worker = StageCapacity::of(role, weight);
        self.total.remove(worker);
        location.cell_place.change_capacity(|capacity| capacity.remove(worker));
        location.zone_place.change_capacity(|capacity| capacity.remove(worker));
    }

    /// How far KV caches stay in this cell and zone, for all routers together and from the endpoint list
    /// alone, since each router sees too little of the others.
    pub fn locality_share(&self, location: &Location) -> LocalityShare {
        let share = |place: &Place| place.capacity.get().decode_over_prefill_share(&self.total);
        LocalityShare { cell: share(&location.cell_place), zone: share(&location.zone_place) }
    }

    /// The number of zones in which workers are listed.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }
}
