//! The workers of the fleet, as discovery lists them.

use super::slow_start_bucket::SlowStartBucket;
use super::worker::{LocalityShare, Worker};
use crate::interface::{Endpoint, Micros, Role, Settings, UpdateKind, WorkerId, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The number of worker roles.
pub(super) const ROLE_COUNT: usize = 3;

/// Memory of a worker, in tokens, where the deployment does not state it.
const DEFAULT_MEMORY_TOKENS: f64 = 1e6;

/// Capacity that each stage can use, in workers' weights. Unified workers count for both.
#[derive(Clone, Copy, Default)]
struct StageCapacity {
    prefill: f64,
    decode: f64,
}

impl StageCapacity {
    fn add(&mut self, worker: &Worker) {
        if worker.role != Role::Decode {
            self.prefill += worker.weight;
        }
        if worker.role != Role::Prefill {
            self.decode += worker.weight;
        }
    }

    /// The share of the decode capacity in `total` over the share of the prefill capacity.
    fn decode_over_prefill_share(&self, total: &StageCapacity) -> f64 {
        self.decode * total.prefill / (self.prefill * total.decode).max(1e-9)
    }
}

/// All workers that are listed, and those removed ones at which attempts are still in flight.
#[derive(Default)]
pub(super) struct Membership {
    workers: BTreeMap<WorkerId, Worker>,
    peak_ready: [usize; ROLE_COUNT],
}

impl Membership {
    /// The worker of this name.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// The worker of this name, to be changed.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// All workers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    /// All workers in the order of their names, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// The workers of a role that are in service.
    pub fn ready(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter().filter(move |(_, worker)| worker.role == role && worker.is_ready())
    }

    /// The most workers of each role, by `Role as usize`, that were seen in service at once.
    pub fn peak_ready(&self) -> [usize; ROLE_COUNT] {
        self.peak_ready
    }

    /// The number of zones in which workers are listed.
    pub fn zone_count(&self) -> usize {
        self.workers.values().map(|worker| worker.zone.as_str()).collect::<BTreeSet<&str>>().len()
    }

    /// Takes an update of the endpoint list in. Returns the workers whose process is not the one known
    /// before.
    ///
    /// A removed worker stays known while `has_attempt_in_flight` says so.
    pub fn apply_update(
        &mut self,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        settings: &Settings,
        now: Micros,
        has_attempt_in_flight: impl Fn(&WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        if kind != UpdateKind::Delta {
            self.workers.values_mut().for_each(|worker| worker.status = WorkerStatus::Gone);
        }
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            restarted.extend(self.apply_endpoint(endpoint, settings, now));
        }
        for role in [Role::Prefill, Role::Decode, Role::Unified] {
            let ready = self.ready(role).count();
            let peak = &mut self.peak_ready[role as usize];
            *peak = ready.max(*peak);
        }
        self.rebalance_locality();
        self.workers.retain(|id, worker| worker.status != WorkerStatus::Gone || has_attempt_in_flight(id));
        restarted
    }

    /// Takes one endpoint in. Returns its worker if its process is not the one known before: nothing is known
    /// of that one, and it warms up if it started lately.
    fn apply_endpoint(&mut self, endpoint: Endpoint, settings: &Settings, now: Micros) -> Option<WorkerId> {
        let kind = settings.worker_kinds.iter().find(|kind| kind.name == endpoint.kind);
        let role = kind.map_or(Role::Unified, |kind| kind.role);
        let stated_memory = kind.and_then(|kind| kind.memory_tokens);
        let memory_tokens = stated_memory.map_or(DEFAULT_MEMORY_TOKENS, |tokens| tokens.max(1) as f64);
        let valid_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        let id = endpoint.worker;
        let is_same_process = self.workers.get(&id).is_some_and(|worker| {
            worker.slow_start.started_at() == endpoint.started_at && worker.role == role
        });
        if !is_same_process {
            let slow_start = SlowStartBucket::new(&id, endpoint.started_at, settings, now);
            self.workers.insert(id.clone(), Worker::new(role, memory_tokens, slow_start));
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.zone = endpoint.zone;
            worker.cell = endpoint.cell;
            worker.status = endpoint.status;
            worker.weight = if valid_weight { endpoint.weight } else { 1.0 };
        }
        (!is_same_process).then_some(id)
    }

    /// Sets how far KV caches stay in their cell and zone, for all routers together and from the endpoint
    /// list alone, since each router sees too little of the others: by the place's share of the decode
    /// capacity.
    fn rebalance_locality(&mut self) {
        let mut total = StageCapacity::default();
        let mut cells = BTreeMap::<(String, u64), StageCapacity>::new();
        let mut zones = BTreeMap::<String, StageCapacity>::new();
        for worker in self.workers.values().filter(|worker| worker.is_ready()) {
            total.add(worker);
            cells.entry((worker.zone.clone(), worker.cell)).or_default().add(worker);
            zones.entry(worker.zone.clone()).or_default().add(worker);
        }
        let share = |place: Option<&StageCapacity>| {
            place.map_or(1.0, |capacity| capacity.decode_over_prefill_share(&total))
        };
        for worker in self.workers.values_mut() {
            let cell = share(cells.get(&(worker.zone.clone(), worker.cell)));
            let zone = share(zones.get(&worker.zone));
            worker.locality_share = LocalityShare { cell, zone };
        }
    }
}
