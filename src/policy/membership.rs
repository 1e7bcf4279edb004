//! The workers of the fleet, from the endpoint list of discovery.
//!
//! Aggregates over the fleet are updated incrementally with each change of a worker, so that neither an
//! update nor a decision has to recompute them.

use super::slow_start_bucket::SlowStartBucket;
use super::statistics::RunningMedian;
use super::topology::{DecodeCapacityRatio, Location, Topology};
use super::worker::{Worker, WorkerActivity};
use crate::interface::{Endpoint, Micros, Role, Settings, UpdateKind, WorkerId, WorkerStatus};
use std::collections::{BTreeSet, HashSet};

/// Number of worker roles.
pub(super) const ROLE_COUNT: usize = 3;

/// Minimum interval between two searches for workers that can be marked as inactive.
const DEACTIVATION_INTERVAL: Micros = 1_000_000;

/// KV cache capacity of a worker, if the settings do not specify it.
const DEFAULT_KV_CACHE_TOKENS: f64 = 1e6;

/// The workers of one role.
#[derive(Default)]
struct RoleMembers {
    /// Sorted by ID. Contiguous, because decisions iterate over all of them.
    workers: Vec<Worker>,
    /// Median slowness of all workers.
    slowness: RunningMedian,
    /// Number of workers in service.
    ready: usize,
    /// Highest value of `ready` so far, taken after each update.
    peak_ready: usize,
}

impl RoleMembers {
    fn position(&self, id: &WorkerId) -> Result<usize, usize> {
        self.workers.binary_search_by(|worker| worker.id.cmp(id))
    }

    fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.position(id).ok().map(|position| &self.workers[position])
    }

    fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.position(id).ok().map(|position| &mut self.workers[position])
    }

    /// Adds a worker whose ID is not present yet.
    fn insert(&mut self, worker: Worker) {
        self.slowness.insert(worker.slowness());
        let position = self.position(&worker.id).unwrap_or_else(|position| position);
        self.workers.insert(position, worker);
    }

    fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.position(id).ok().map(|position| self.workers.remove(position))?;
        self.slowness.remove(worker.slowness());
        Some(worker)
    }
}

/// All listed workers, and removed workers that still have attempts in flight.
#[derive(Default)]
pub(super) struct Membership {
    /// Indexed by `Role as usize`.
    roles: [RoleMembers; ROLE_COUNT],
    topology: Topology,
    /// Workers that are no longer listed.
    gone: BTreeSet<WorkerId>,
    /// Workers whose activity decisions have to consider.
    active: BTreeSet<WorkerId>,
    /// Time of the last search for workers that can be marked as inactive.
    last_deactivation: Micros,
    /// Latest end of the slow start of any worker.
    slow_start_until: Micros,
}

impl Membership {
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.roles.iter().find_map(|members| members.get(id))
    }

    /// Marks the worker with this ID as active and returns its activity for modification.
    pub fn activity_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerActivity> {
        let Membership { roles, active, .. } = self;
        let worker = roles.iter_mut().find_map(|members| members.get_mut(id))?;
        if worker.activity().is_none() {
            active.insert(id.clone());
        }
        Some(worker.activity_mut())
    }

    /// Marks idle workers as inactive, except those for which `is_in_use` returns true. Does nothing within
    /// [`DEACTIVATION_INTERVAL`] of the previous search.
    pub fn deactivate_idle(
        &mut self,
        settings: &Settings,
        now: Micros,
        is_in_use: impl Fn(&WorkerId) -> bool,
    ) {
        if now < self.last_deactivation + DEACTIVATION_INTERVAL {
            return;
        }
        self.last_deactivation = now;
        let Membership { roles, active, .. } = self;
        active.retain(|id| {
            let worker = roles.iter_mut().find_map(|members| members.get_mut(id));
            worker.is_some_and(|worker| is_in_use(id) || !worker.deactivate_if_idle(settings, now))
        });
    }

    /// Iterates over all workers, grouped by role and sorted by ID within a role.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.roles.iter().flat_map(|members| &members.workers)
    }

    /// Iterates over the active workers in slow start, for modification.
    pub fn slow_starting_mut(
        &mut self,
        settings: &Settings,
        now: Micros,
    ) -> impl Iterator<Item = &mut Worker> {
        let workers = self.roles.iter_mut().flat_map(|members| &mut members.workers);
        workers.filter(move |worker| worker.activity().is_some_and(|a| a.slow_start.is_active(settings, now)))
    }

    /// Iterates over the workers of a role that are in service, sorted by ID.
    pub fn ready(&self, role: Role) -> impl Iterator<Item = &Worker> {
        self.roles[role as usize].workers.iter().filter(|worker| worker.is_ready())
    }

    pub fn ready_count(&self, role: Role) -> usize {
        self.roles[role as usize].ready
    }

    /// The highest number of workers of each role that were in service at once, indexed by `Role as usize`.
    pub fn peak_ready(&self) -> [usize; ROLE_COUNT] {
        self.roles.each_ref().map(|members| members.peak_ready)
    }

    pub fn zone_count(&self) -> usize {
        self.topology.zone_count()
    }

    pub fn decode_capacity_ratio(&self, worker: &Worker) -> DecodeCapacityRatio {
        self.topology.decode_capacity_ratio(&worker.location)
    }

    pub fn median_slowness(&self, role: Role) -> f64 {
        self.roles[role as usize].slowness.median()
    }

    /// Records the ratio of an attempt's elapsed time to the average time of such attempts.
    pub fn record_slowness(&mut self, id: &WorkerId, ratio: f64) {
        for members in &mut self.roles {
            let Ok(position) = members.position(id) else { continue };
            let worker = &mut members.workers[position];
            members.slowness.remove(worker.slowness());
            worker.record_slowness(ratio);
            members.slowness.insert(worker.slowness());
        }
    }

    /// Whether any worker may be in slow start.
    pub fn has_slow_starts(&self, now: Micros) -> bool {
        now < self.slow_start_until
    }

    /// Applies an update of the endpoint list. Returns the workers with a new process: newly listed ones and
    /// restarted ones.
    ///
    /// A removed worker is retained while `has_attempt_in_flight` returns true for it.
    pub fn apply_update(
        &mut self,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        settings: &Settings,
        now: Micros,
        has_attempt_in_flight: impl Fn(&Worker) -> bool,
    ) -> HashSet<WorkerId> {
        if kind != UpdateKind::Delta {
            let known: Vec<WorkerId> = self.iter().map(|worker| worker.id.clone()).collect();
            known.iter().for_each(|id| self.mark_gone(id));
        }
        let mut new_processes = HashSet::new();
        for endpoint in endpoints {
            new_processes.extend(self.apply_endpoint(endpoint, settings, now));
        }
        for members in &mut self.roles {
            members.peak_ready = members.peak_ready.max(members.ready);
        }
        self.purge_gone(has_attempt_in_flight);
        new_processes
    }

    fn mark_gone(&mut self, id: &WorkerId) {
        let Some(worker) = self.get(id) else { return };
        let (weight, location) = (worker.weight, worker.location.clone());
        self.update_listing(id, WorkerStatus::Gone, weight, location);
    }

    /// Drops workers that are no longer listed and have no attempts in flight.
    fn purge_gone(&mut self, has_attempt_in_flight: impl Fn(&Worker) -> bool) {
        let is_unused = |id: &&WorkerId| self.get(id).is_none_or(|worker| !has_attempt_in_flight(worker));
        let unused: Vec<WorkerId> = self.gone.iter().filter(is_unused).cloned().collect();
        for id in unused {
            self.remove(&id);
        }
    }

    /// Applies one endpoint. Returns its worker if the process is new. A new process has no measurements, and
    /// is in slow start if it started recently.
    fn apply_endpoint(&mut self, endpoint: Endpoint, settings: &Settings, now: Micros) -> Option<WorkerId> {
        let kind = settings.worker_kinds.iter().find(|kind| kind.name == endpoint.kind);
        let role = kind.map_or(Role::Unified, |kind| kind.role);
        let configured_tokens = kind.and_then(|kind| kind.kv_cache_tokens);
        let kv_cache_tokens =
            configured_tokens.map_or(DEFAULT_KV_CACHE_TOKENS, |tokens| tokens.max(1) as f64);
        let is_valid_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        let weight = if is_valid_weight { endpoint.weight } else { 1.0 };
        let id = endpoint.worker;
        let is_same_process = self.get(&id).is_some_and(|worker| {
            worker.recorded_activity().slow_start.started_at() == endpoint.started_at && worker.role == role
        });
        if !is_same_process {
            let slow_start = SlowStartBucket::new(&id, endpoint.started_at, settings, now);
            self.insert(Worker::new(id.clone(), role, kv_cache_tokens, slow_start), settings, now);
        }
        let location = self.location(&id, &endpoint.zone, endpoint.cell);
        self.update_listing(&id, endpoint.status, weight, location);
        (!is_same_process).then_some(id)
    }

    /// Adds a worker process that has no location yet. It replaces an earlier process with the same ID and
    /// takes over its attempts in flight.
    fn insert(&mut self, mut worker: Worker, settings: &Settings, now: Micros) {
        if let Some(mut replaced) = self.remove(&worker.id) {
            worker.activity_mut().in_flight = std::mem::take(&mut replaced.activity_mut().in_flight);
        }
        let slow_start_end = worker.recorded_activity().slow_start.ends_at(settings);
        self.slow_start_until = self.slow_start_until.max(slow_start_end);
        if !worker.deactivate_if_idle(settings, now) {
            self.active.insert(worker.id.clone());
        }
        self.roles[worker.role as usize].insert(worker);
    }

    /// Removes a worker from the fleet and from all aggregates.
    fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        self.mark_gone(id);
        self.gone.remove(id);
        self.active.remove(id);
        let worker = self.roles.iter_mut().find_map(|members| members.remove(id))?;
        self.topology.unregister(&worker.location);
        Some(worker)
    }

    /// The location of a known worker that is listed in this zone and cell. The worker is registered there if
    /// it is new at this location.
    fn location(&mut self, id: &WorkerId, zone: &str, cell: u64) -> Location {
        let current = self.get(id).map(|worker| &worker.location);
        let is_unchanged = |location: &&Location| location.is_in_zone(zone) && location.cell == cell;
        match current.filter(is_unchanged).filter(|location| !location.is_empty()) {
            Some(location) => location.clone(),
            None => self.topology.register(zone, cell),
        }
    }

    /// Updates the status, weight and location of a worker, and all aggregates.
    fn update_listing(&mut self, id: &WorkerId, status: WorkerStatus, weight: f64, location: Location) {
        let Membership { roles, topology, gone, .. } = self;
        let found = roles.iter_mut().find_map(|members| Some((members.position(id).ok()?, members)));
        let Some((position, RoleMembers { workers, ready, .. })) = found else { return };
        let worker = &mut workers[position];
        if worker.is_ready() {
            topology.remove_capacity(&worker.location, worker.role, worker.weight);
            *ready -= 1;
        }
        let previous = std::mem::replace(&mut worker.location, location);
        if !previous.is_same_zone_and_cell(&worker.location) {
            topology.unregister(&previous);
        }
        worker.status = status;
        worker.weight = weight;
        if worker.is_ready() {
            topology.add_capacity(&worker.location, worker.role, worker.weight);
            *ready += 1;
        }
        if status == WorkerStatus::Gone {
            gone.insert(id.clone());
        } else {
            gone.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
