//! Compares the incrementally updated aggregates of the membership with recomputed ones.

use super::*;
use crate::hashing::unit_interval;
use crate::interface::WorkerKind;
use xxhash_rust::xxh3::xxh3_64;

const ROLES: [Role; ROLE_COUNT] = [Role::Prefill, Role::Decode, Role::Unified];

/// A deterministic sequence of pseudo-random numbers.
struct RandomSequence(u64);

impl RandomSequence {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 += 1;
        xxh3_64(&self.0.to_le_bytes()) % limit
    }

    fn unit(&mut self) -> f64 {
        self.0 += 1;
        unit_interval(xxh3_64(&self.0.to_le_bytes()))
    }
}

fn settings() -> Settings {
    let kind = |name: &str, role| WorkerKind { name: name.into(), role, kv_cache_tokens: None };
    Settings {
        worker_kinds: vec![kind("p", Role::Prefill), kind("d", Role::Decode), kind("u", Role::Unified)],
        slow_start_duration: 50,
        ..Settings::default()
    }
}

fn random_endpoint(random: &mut RandomSequence) -> Endpoint {
    let status = [WorkerStatus::Ready, WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Gone];
    Endpoint {
        worker: WorkerId(format!("w{}", random.below(40)).into()),
        zone: ["", "a", "b"][random.below(3) as usize].into(),
        kind: ["p", "d", "u"][random.below(3) as usize].into(),
        cell: random.below(4),
        status: status[random.below(4) as usize],
        weight: 1.0 + random.below(4) as f64 / 4.0,
        started_at: Some(random.below(2) * 1_000).filter(|at| *at > 0),
    }
}

/// Recomputes the decode capacity ratio of the workers for which `is_included` returns true.
fn recomputed_ratio(membership: &Membership, is_included: impl Fn(&Worker) -> bool) -> f64 {
    let capacity = |excluded: Role, is_included: &dyn Fn(&Worker) -> bool| -> f64 {
        let ready = membership.iter().filter(|worker| worker.is_ready() && worker.role != excluded);
        ready.filter(|worker| is_included(worker)).map(|worker| worker.weight).sum()
    };
    if !membership.iter().any(|worker| worker.is_ready() && is_included(worker)) {
        return 1.0;
    }
    let (prefill, decode) = (capacity(Role::Decode, &is_included), capacity(Role::Prefill, &is_included));
    let (all_prefill, all_decode) = (capacity(Role::Decode, &|_| true), capacity(Role::Prefill, &|_| true));
    decode * all_prefill / (prefill * all_decode).max(1e-9)
}

fn assert_aggregates_match(membership: &Membership) {
    for role in ROLES {
        let of_role = || membership.iter().filter(move |worker| worker.role == role);
        let mut slowness: Vec<f64> = of_role().map(Worker::slowness).collect();
        slowness.sort_by(f64::total_cmp);
        let median = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0);
        assert_eq!(membership.median_slowness(role), median);
        assert_eq!(membership.ready_count(role), membership.ready(role).count());
        assert!(membership.peak_ready()[role as usize] >= membership.ready_count(role));
        assert!(of_role().is_sorted_by_key(|worker| &worker.id));
    }
    let zones: HashSet<&str> = membership.iter().map(|worker| &*worker.location.zone).collect();
    assert_eq!(membership.zone_count(), zones.len());
    for worker in membership.iter() {
        let DecodeCapacityRatio { cell, zone } = membership.decode_capacity_ratio(worker);
        let is_in_zone = |other: &Worker| other.location.zone == worker.location.zone;
        let is_in_cell = |other: &Worker| is_in_zone(other) && other.location.cell == worker.location.cell;
        assert_eq!(cell, recomputed_ratio(membership, is_in_cell));
        assert_eq!(zone, recomputed_ratio(membership, is_in_zone));
    }
}

#[test]
fn incremental_aggregates_match_recomputed_ones() {
    for seed in 0..20 {
        let mut random = RandomSequence(seed << 32);
        let (settings, mut membership) = (settings(), Membership::default());
        for now in 0..200 {
            let kind = if random.below(10) == 0 { UpdateKind::Snapshot } else { UpdateKind::Delta };
            let endpoints = (0..random.below(8)).map(|_| random_endpoint(&mut random)).collect();
            let in_flight = random.below(40);
            let has_attempt_in_flight = |worker: &Worker| *worker.id.0 == format!("w{in_flight}");
            membership.apply_update(kind, endpoints, &settings, now, has_attempt_in_flight);
            let id = WorkerId(format!("w{}", random.below(40)).into());
            membership.record_slowness(&id, random.unit() * 3.0);
            assert_aggregates_match(&membership);
        }
    }
}

/// A worker may be inactive only while decisions do not depend on its activity.
#[test]
fn a_worker_is_inactive_only_while_it_is_idle_and_not_in_use() {
    let (settings, mut membership) = (settings(), Membership::default());
    let mut endpoint = random_endpoint(&mut RandomSequence(1));
    (endpoint.status, endpoint.started_at) = (WorkerStatus::Ready, None);
    let id = endpoint.worker.clone();
    membership.apply_update(UpdateKind::Delta, vec![endpoint.clone()], &settings, 0, |_| false);
    let is_inactive = |membership: &Membership| membership.get(&id).unwrap().activity().is_none();
    assert!(is_inactive(&membership));
    let key = (crate::interface::RequestId(1), crate::interface::AttemptIndex(0));
    membership.activity_mut(&id).unwrap().in_flight.insert(key);
    membership.deactivate_idle(&settings, DEACTIVATION_INTERVAL, |_| false);
    assert!(!is_inactive(&membership), "an attempt is in flight");
    membership.activity_mut(&id).unwrap().in_flight.remove(&key);
    membership.deactivate_idle(&settings, 2 * DEACTIVATION_INTERVAL, |_| true);
    assert!(!is_inactive(&membership), "the worker is in use");
    membership.deactivate_idle(&settings, 3 * DEACTIVATION_INTERVAL, |_| false);
    assert!(is_inactive(&membership));
    endpoint.started_at = Some(3 * DEACTIVATION_INTERVAL);
    membership
        .apply_update(UpdateKind::Delta, vec![endpoint], &settings, 3 * DEACTIVATION_INTERVAL, |_| false);
    assert!(!is_inactive(&membership), "the worker is in slow start");
}
