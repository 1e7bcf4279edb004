//! Membership of the fleet, and the slow start of workers.

use super::state::{Average, Worker};
use super::*;

impl Policy {
    pub(super) fn list(&mut self, kind: UpdateKind, entries: Vec<Endpoint>, out: &mut Vec<Action>) {
        if kind == UpdateKind::Unavailable {
            self.call_failures = (self.call_failures + 1).min(MAX_DOUBLINGS);
            let due = self.now + (self.set.connect_timeout << self.call_failures);
            self.call_due = self.set.watch_required.then_some(due);
            return;
        }
        if kind == UpdateKind::Restored && self.set.watch_required {
            out.push(Action::WatchEndpoints);
        } else {
            self.call_failures = 0;
        }
        if kind != UpdateKind::Delta {
            self.workers.values_mut().for_each(|w| w.status = WorkerStatus::Gone);
        }
        for e in entries {
            self.entry(e);
        }
        for role in [Role::Prefill, Role::Decode, Role::Unified] {
            let count =
                self.workers.values().filter(|w| w.role == role && w.status == WorkerStatus::Ready).count();
            self.most[role as usize] = self.most[role as usize].max(count);
        }
        self.balance();
        // A gone worker stays known while something of ours is out there.
        let requests = &self.requests;
        let busy = |id: &WorkerId| requests.values().flat_map(Request::out).any(|a| a.worker == *id);
        self.workers.retain(|id, w| w.status != WorkerStatus::Gone || busy(id));
    }

    pub(super) fn entry(&mut self, e: Endpoint) {
        let kind = self.set.worker_kinds.iter().find(|k| k.name == e.kind);
        let role = kind.map_or(Role::Unified, |k| k.role);
        let memory = kind.and_then(|k| k.memory_tokens).map_or(1e6, |m| m.max(1) as f64);
        let weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
        if self.workers.get(&e.worker).is_none_or(|w| w.started != e.started_at || w.role != role) {
            // A new life: nothing kept, nothing learned, cold if it began lately.
            self.prefixes.values_mut().for_each(|holders| holders.retain(|w, _| *w != e.worker));
            self.sessions.retain(|_, (w, _)| *w != e.worker);
            let slowness = Average::from_prior(1.0, 1.0 / LEARN); // one odd answer says little
            // The least budget goes round the routers, one after another from the worker's start on: none has
            // its turn again by starting anew, and those that are told together do not send together.
            let (routers, born) =
                (u64::from(self.set.replica_count.max(1)), e.started_at.unwrap_or_default());
            let first = xxh3_64_with_seed(e.worker.0.as_bytes(), born) % routers;
            let slot = (first + u64::from(self.set.replica_index)) % routers;
            let gone_round = self.now.saturating_sub(born) as f64 / self.set.overload_window.max(1) as f64;
            let turn = ((slot as f64 + 0.5 + gone_round) / routers as f64).fract();
            let (told, started) = (self.now, e.started_at);
            let fresh = Worker { slowness, role, memory, turn, told, started, ..Worker::default() };
            self.workers.insert(e.worker.clone(), fresh);
        }
        if let Some(w) = self.workers.get_mut(&e.worker) {
            (w.zone, w.cell, w.status, w.weight) = (e.zone, e.cell, e.status, weight);
        }
    }

    /// The flow of states that all routers together should make, from the list alone, since each sees too
    /// little of the others: they stay in their cell and zone as far as the writers' part there goes (`keep`;
    /// above 1 there is room for others' states).
    pub(super) fn balance(&mut self) {
        let groups = |w: &Worker| [(w.zone.clone(), Some(w.cell)), (w.zone.clone(), None)];
        let (mut parts, mut all) = (BTreeMap::<_, [f64; 2]>::new(), [0.0; 2]);
        for w in self.workers.values().filter(|w| w.status == WorkerStatus::Ready) {
            for (i, _) in
                [Role::Decode, Role::Prefill].iter().enumerate().filter(|(_, other)| **other != w.role)
            {
                all[i] += w.weight;
                groups(w).into_iter().for_each(|g| parts.entry(g).or_default()[i] += w.weight);
            }
        }
        let part = |g| parts.get(&g).map_or(1.0, |p| p[1] * all[0] / (p[0] * all[1]).max(1e-9));
        self.workers.values_mut().for_each(|w| w.keep = groups(w).map(part));
    }

    pub(super) fn cold(&self, w: &Worker) -> bool {
        w.started.is_some_and(|at| self.now < at.saturating_add(self.set.slow_start_duration))
    }

    /// The part of its capacity that a worker has at least: it is taken to grow evenly.
    pub(super) fn warmth(&self, w: &Worker) -> f64 {
        let age = w.started.map_or(f64::MAX, |at| self.now.saturating_sub(at) as f64);
        let part = (age / self.set.slow_start_duration.max(1) as f64).min(1.0);
        (self.set.slow_start_floor + (1.0 - self.set.slow_start_floor) * part).max(0.05)
    }

    /// Lets the cold budgets grow: a cold worker's turn comes nearer by this router's part of half the
    /// multiple (the other half is for chance) of what the worker can do by now. What a warm worker can do is
    /// what its peers were seen to complete, never what they were sent: in a storm of retries most of that is
    /// turned away; or its part of what the tenants are promised. Routers that see nothing take turns. Guards
    /// against restarts under any load and of any number of routers; careful when warm workers are idle. A
    /// turn that is not taken lapses: dozens of routers that saved theirs up would spend them on one burst.
    pub(super) fn accrue(&mut self) {
        let since = std::mem::replace(&mut self.accrued, self.now);
        let cold: Vec<WorkerId> =
            self.workers.iter().filter(|(_, w)| self.cold(w)).map(|(id, _)| id.clone()).collect();
        if cold.is_empty() {
            return;
        }
        let middle = since + (self.now - since.min(self.now)) / 2;
        let promised = self.tenants.values().map(|t| t.0).sum::<f64>() / 1e6;
        // By role: what warm workers were seen to complete, and their size.
        let mut warm = [(0.0, 0.0); 3];
        for w in self.workers.values().filter(|w| w.status == WorkerStatus::Ready && !self.cold(w)) {
            let (done, size) = &mut warm[w.role as usize];
            (*done, *size) = (*done + w.done.left(middle, HALF_LIFE), *size + w.weight);
        }
        for id in cold {
            let w = &self.workers[&id];
            let (done, size) = warm[w.role as usize];
            let seen = done / f64::max(size, 1e-9) * w.weight * std::f64::consts::LN_2 / HALF_LIFE as f64;
            let each = seen.max(promised / self.most[w.role as usize].max(1) as f64);
            let least =
                1.0 / (self.set.overload_window.max(1) as f64 * f64::from(self.set.replica_count.max(1)));
            let rate = (each * self.set.overload_multiple * self.warmth(w) / 2.0).max(least);
            let time = self.now - since.max(w.told).min(self.now);
            let per_window = rate * self.set.overload_window as f64;
            let budget = 2.0 * per_window * f64::from(self.set.replica_count.max(1));
            // What is saved up and spent in one window comes to the whole budget and its slack for chance.
            let saved = per_window * (1.0 + CHANCE / budget.sqrt());
            let turn = w.turn + rate * time as f64;
            let most = if saved < 1.0 { f64::MAX } else { 1.0 };
            let turn = if saved < 1.0 && turn >= 1.0 + saved { turn.fract() } else { turn.min(most) };
            self.workers.entry(id).and_modify(|w| w.turn = turn);
        }
    }
}
