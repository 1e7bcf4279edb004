//! The workers of the fleet, as discovery lists them.
//!
//! What decisions need to know of the whole fleet is kept up to date with each change of one worker, so that
//! neither a change nor a decision has to collect it.

use super::places::{LocalityShare, Location, Places};
use super::slow_start_bucket::SlowStartBucket;
use super::statistics::RunningMedian;
use super::worker::{Worker, WorkerActivity};
use crate::interface::{Endpoint, Micros, Role, Settings, UpdateKind, WorkerId, WorkerStatus};
use std::collections::{BTreeSet, HashSet};

/// The number of worker roles.
pub(super) const ROLE_COUNT: usize = 3;

/// How often it is looked which workers may rest.
const REST_INTERVAL: Micros = 1_000_000;

/// Memory of a worker, in tokens, where the deployment does not state it.
const DEFAULT_MEMORY_TOKENS: f64 = 1e6;

/// The workers of one role.
#[derive(Default)]
struct RoleMembers {
    /// In the order of their names, side by side: decisions go through all of them.
    workers: Vec<Worker>,
    /// The slowness of all of them.
    slowness: RunningMedian,
    ready: usize,
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

    /// Adds a worker of a name that is not there.
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

/// All workers that are listed, and those removed ones at which attempts are still in flight.
#[derive(Default)]
pub(super) struct Membership {
    /// By `Role as usize`.
    roles: [RoleMembers; ROLE_COUNT],
    places: Places,
    /// Those that are listed no more.
    gone: BTreeSet<WorkerId>,
    /// Those that are not at rest.
    active: BTreeSet<WorkerId>,
    /// When it was last looked which of them may rest.
    rested_at: Micros,
    /// Until when some worker may be in its slow start.
    slow_start_until: Micros,
}

impl Membership {
    /// The worker of this name.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.roles.iter().find_map(|members| members.get(id))
    }

    /// What was learned of the worker of this name, to be changed. The worker is not at rest from here on.
    pub fn activity_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerActivity> {
        let Membership { roles, active, .. } = self;
        let worker = roles.iter_mut().find_map(|members| members.get_mut(id))?;
        if worker.activity().is_none() {
            active.insert(id.clone());
        }
        Some(worker.activity_mut())
    }

    /// Lets all workers rest that need no attention, but those that `is_in_use` names. Does so now and then.
    pub fn rest(&mut self, settings: &Settings, now: Micros, is_in_use: impl Fn(&WorkerId) -> bool) {
        if now < self.rested_at + REST_INTERVAL {
            return;
        }
        self.rested_at = now;
        let Membership { roles, active, .. } = self;
        active.retain(|id| {
            let worker = roles.iter_mut().find_map(|members| members.get_mut(id));
            worker.is_some_and(|worker| is_in_use(id) || !worker.rest_if_ordinary(settings, now))
        });
    }

    /// All workers, those of one role in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.roles.iter().flat_map(|members| &members.workers)
    }

    /// The workers that are in their slow start, to be changed.
    pub fn slow_starting_mut(
        &mut self,
        settings: &Settings,
        now: Micros,
    ) -> impl Iterator<Item = &mut Worker> {
        let workers = self.roles.iter_mut().flat_map(|members| &mut members.workers);
        workers.filter(move |worker| worker.activity().is_some_and(|a| a.slow_start.is_active(settings, now)))
    }

    /// The workers of a role that are in service, in the order of their names.
    pub fn ready(&self, role: Role) -> impl Iterator<Item = &Worker> {
        self.roles[role as usize].workers.iter().filter(|worker| worker.is_ready())
    }

    /// How many workers of a role are in service.
    pub fn ready_count(&self, role: Role) -> usize {
        self.roles[role as usize].ready
    }

    /// The most workers of each role, by `Role as usize`, that were seen in service at once.
    pub fn peak_ready(&self) -> [usize; ROLE_COUNT] {
        self.roles.each_ref().map(|members| members.peak_ready)
    }

    /// The number of zones in which workers are listed.
    pub fn zone_count(&self) -> usize {
        self.places.zone_count()
    }

    /// How far KV caches stay in the cell and the zone of a worker.
    pub fn locality_share(&self, worker: &Worker) -> LocalityShare {
        self.places.locality_share(&worker.location)
    }

    /// The median slowness of a role's workers.
    pub fn median_slowness(&self, role: Role) -> f64 {
        self.roles[role as usize].slowness.median()
    }

    /// Records the time that an attempt at a worker took over the time that it takes on average.
    pub fn record_slowness(&mut self, id: &WorkerId, ratio: f64) {
        for members in &mut self.roles {
            let Ok(position) = members.position(id) else { continue };
            let worker = &mut members.workers[position];
            members.slowness.remove(worker.slowness());
            worker.record_slowness(ratio);
            members.slowness.insert(worker.slowness());
        }
    }

    /// Whether some worker may be in its slow start.
    pub fn has_slow_starts(&self, now: Micros) -> bool {
        now < self.slow_start_until
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
        has_attempt_in_flight: impl Fn(&Worker) -> bool,
    ) -> HashSet<WorkerId> {
        if kind != UpdateKind::Delta {
            let known: Vec<WorkerId> = self.iter().map(|worker| worker.id.clone()).collect();
            known.iter().for_each(|id| self.mark_gone(id));
        }
        let mut restarted = HashSet::new();
        for endpoint in endpoints {
            restarted.extend(self.apply_endpoint(endpoint, settings, now));
        }
        for members in &mut self.roles {
            members.peak_ready = members.peak_ready.max(members.ready);
        }
        self.forget_gone(has_attempt_in_flight);
        restarted
    }

    fn mark_gone(&mut self, id: &WorkerId) {
        let Some(worker) = self.get(id) else { return };
        let (weight, location) = (worker.weight, worker.location.clone());
        self.set_listing(id, WorkerStatus::Gone, weight, location);
    }

    fn forget_gone(&mut self, has_attempt_in_flight: impl Fn(&Worker) -> bool) {
        let is_idle = |id: &&WorkerId| self.get(id).is_none_or(|worker| !has_attempt_in_flight(worker));
        let idle: Vec<WorkerId> = self.gone.iter().filter(is_idle).cloned().collect();
        for id in idle {
            self.remove(&id);
        }
    }

    /// Takes one endpoint in. Returns its worker if its process is not the one known before: nothing is known
    /// of that one, and it warms up if it started lately.
    fn apply_endpoint(&mut self, endpoint: Endpoint, settings: &Settings, now: Micros) -> Option<WorkerId> {
        let kind = settings.worker_kinds.iter().find(|kind| kind.name == endpoint.kind);
        let role = kind.map_or(Role::Unified, |kind| kind.role);
        let stated_memory = kind.and_then(|kind| kind.kv_cache_tokens);
        let memory_tokens = stated_memory.map_or(DEFAULT_MEMORY_TOKENS, |tokens| tokens.max(1) as f64);
        let valid_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        let weight = if valid_weight { endpoint.weight } else { 1.0 };
        let id = endpoint.worker;
        let is_same_process = self.get(&id).is_some_and(|worker| {
            worker.history().slow_start.started_at() == endpoint.started_at && worker.role == role
        });
        if !is_same_process {
            let slow_start = SlowStartBucket::new(&id, endpoint.started_at, settings, now);
            self.insert(Worker::new(id.clone(), role, memory_tokens, slow_start), settings, now);
        }
        let location = self.location(&id, &endpoint.zone, endpoint.cell);
        self.set_listing(&id, endpoint.status, weight, location);
        (!is_same_process).then_some(id)
    }

    /// Adds a worker process that is not listed at any place yet, in place of an earlier process.
    fn insert(&mut self, mut worker: Worker, settings: &Settings, now: Micros) {
        if let Some(mut earlier) = self.remove(&worker.id) {
            worker.activity_mut().in_flight = std::mem::take(&mut earlier.activity_mut().in_flight);
        }
        let slow_start_end = worker.history().slow_start.ends_at(settings);
        self.slow_start_until = self.slow_start_until.max(slow_start_end);
        if !worker.rest_if_ordinary(settings, now) {
            self.active.insert(worker.id.clone());
        }
        self.roles[worker.role as usize].insert(worker);
    }

    /// Removes a worker from the fleet and from all that is kept of the fleet as a whole.
    fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        self.mark_gone(id);
        self.gone.remove(id);
        self.active.remove(id);
        let worker = self.roles.iter_mut().find_map(|members| members.remove(id))?;
        self.places.leave(&worker.location);
        Some(worker)
    }

    /// The location of a known worker that is listed in this zone and cell.
    fn location(&mut self, id: &WorkerId, zone: &str, cell: u64) -> Location {
        let present = self.get(id).map(|worker| &worker.location);
        let is_present = |location: &&Location| location.is_in_zone(zone) && location.cell == cell;
        match present.filter(is_present).filter(|location| !location.is_nowhere()) {
            Some(location) => location.clone(),
            None => self.places.enter(zone, cell),
        }
    }

    /// Sets how a worker is listed, and updates what is kept of the fleet as a whole.
    fn set_listing(&mut self, id: &WorkerId, status: WorkerStatus, weight: f64, location: Location) {
        let Membership { roles, places, gone, .. } = self;
        let found = roles.iter_mut().find_map(|members| Some((members.position(id).ok()?, members)));
        let Some((position, RoleMembers { workers, ready, .. })) = found else { return };
        let worker = &mut workers[position];
        if worker.is_ready() {
            places.remove_capacity(&worker.location, worker.role, worker.weight);
            *ready -= 1;
        }
        let left = std::mem::replace(&mut worker.location, location);
        if !left.is_same_place(&worker.location) {
            places.leave(&left);
        }
        worker.status = status;
        worker.weight = weight;
        if worker.is_ready() {
            places.add_capacity(&worker.location, worker.role, worker.weight);
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
