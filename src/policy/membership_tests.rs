//! What the membership keeps of the fleet as a whole, against the same collected from all workers.

use super::*;
use crate::hashing::unit_interval;
use crate::interface::WorkerKind;
use xxhash_rust::xxh3::xxh3_64;

const ROLES: [Role; ROLE_COUNT] = [Role::Prefill, Role::Decode, Role::Unified];

/// Numbers drawn one after another from a seed.
struct Draws(u64);

impl Draws {
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

fn draw_endpoint(draws: &mut Draws) -> Endpoint {
    let status = [WorkerStatus::Ready, WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Gone];
    Endpoint {
        worker: WorkerId(format!("w{}", draws.below(40)).into()),
        zone: ["", "a", "b"][draws.below(3) as usize].into(),
        kind: ["p", "d", "u"][draws.below(3) as usize].into(),
        cell: draws.below(4),
        status: status[draws.below(4) as usize],
        weight: 1.0 + draws.below(4) as f64 / 4.0,
        started_at: Some(draws.below(2) * 1_000).filter(|at| *at > 0),
    }
}

/// The share of the decode capacity over that of the prefill capacity, where `is_there` says.
fn collected_share(membership: &Membership, is_there: impl Fn(&Worker) -> bool) -> f64 {
    let capacity = |skipped: Role, is_there: &dyn Fn(&Worker) -> bool| -> f64 {
        let ready = membership.iter().filter(|worker| worker.is_ready() && worker.role != skipped);
        ready.filter(|worker| is_there(worker)).map(|worker| worker.weight).sum()
    };
    if !membership.iter().any(|worker| worker.is_ready() && is_there(worker)) {
        return 1.0;
    }
    let (prefill, decode) = (capacity(Role::Decode, &is_there), capacity(Role::Prefill, &is_there));
    let (all_prefill, all_decode) = (capacity(Role::Decode, &|_| true), capacity(Role::Prefill, &|_| true));
    decode * all_prefill / (prefill * all_decode).max(1e-9)
}

fn check(membership: &Membership) {
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
        let LocalityShare { cell, zone } = membership.locality_share(worker);
        let is_in_zone = |other: &Worker| other.location.zone == worker.location.zone;
        let is_in_cell = |other: &Worker| is_in_zone(other) && other.location.cell == worker.location.cell;
        assert_eq!(cell, collected_share(membership, is_in_cell));
        assert_eq!(zone, collected_share(membership, is_in_zone));
    }
}

#[test]
fn what_is_kept_of_the_fleet_is_what_would_be_collected() {
    for seed in 0..20 {
        let mut draws = Draws(seed << 32);
        let (settings, mut membership) = (settings(), Membership::default());
        for now in 0..200 {
            let kind = if draws.below(10) == 0 { UpdateKind::Snapshot } else { UpdateKind::Delta };
            let endpoints = (0..draws.below(8)).map(|_| draw_endpoint(&mut draws)).collect();
            let in_flight = draws.below(40);
            let has_attempt_in_flight = |worker: &Worker| *worker.id.0 == format!("w{in_flight}");
            membership.apply_update(kind, endpoints, &settings, now, has_attempt_in_flight);
            let id = WorkerId(format!("w{}", draws.below(40)).into());
            membership.record_slowness(&id, draws.unit() * 3.0);
            check(&membership);
        }
    }
}

/// A worker may rest only while its activity says nothing that a decision needs.
#[test]
fn a_worker_rests_until_it_is_dealt_with_and_again_when_nothing_is_left_of_it() {
    let (settings, mut membership) = (settings(), Membership::default());
    let mut endpoint = draw_endpoint(&mut Draws(1));
    (endpoint.status, endpoint.started_at) = (WorkerStatus::Ready, None);
    let id = endpoint.worker.clone();
    membership.apply_update(UpdateKind::Delta, vec![endpoint.clone()], &settings, 0, |_| false);
    let is_at_rest = |membership: &Membership| membership.get(&id).unwrap().activity().is_none();
    assert!(is_at_rest(&membership));
    let key = (crate::interface::RequestId(1), crate::interface::AttemptIndex(0));
    membership.activity_mut(&id).unwrap().in_flight.insert(key);
    membership.rest(&settings, REST_INTERVAL, |_| false);
    assert!(!is_at_rest(&membership), "an attempt is in flight");
    membership.activity_mut(&id).unwrap().in_flight.remove(&key);
    membership.rest(&settings, 2 * REST_INTERVAL, |_| true);
    assert!(!is_at_rest(&membership), "it is in use");
    membership.rest(&settings, 3 * REST_INTERVAL, |_| false);
    assert!(is_at_rest(&membership));
    endpoint.started_at = Some(3 * REST_INTERVAL);
    membership.apply_update(UpdateKind::Delta, vec![endpoint], &settings, 3 * REST_INTERVAL, |_| false);
    assert!(!is_at_rest(&membership), "it warms up");
}
