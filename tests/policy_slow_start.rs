//! Slow start: what the policy sends to workers that have just started.

#[path = "support/rig.rs"]
mod rig;

use llm_router::Policy;
use llm_router::interface::*;
use rig::*;
use rstest::rstest;
use std::sync::Arc;

#[test]
fn a_starting_worker_gets_few_attempts_even_when_its_peers_reject_all() {
    // Found in an incident: in a storm of retries the budget was measured by attempts, not by completions.
    let mut rig = Rig::fleet(settings());
    let started = rig.now;
    rig.update_endpoints(UpdateKind::Delta, vec![endpoint("r1", 0, WorkerStatus::Ready, Some(started))]);
    for id in 1..200 {
        rig.request(id, "idempotent");
        rig.end_attempt(id, 0, Outcome::Rejected);
        rig.now += 5 * MS;
    }
    let starting = send_targets(&rig.actions).iter().filter(|w| **w == "r1").count();
    assert!(starting <= 1, "{starting} attempts within a second at a worker that just started");
}

#[test]
fn a_fleet_that_restarted_as_a_whole_gets_what_the_quotas_promise() {
    // Found in an incident: with no warm peer left to measure by, nearly nothing was sent to any worker.
    let tenants = vec![Tenant { name: "t".into(), quota_per_s: 40.0 }];
    let mut rig = Rig::new(Settings { tenants, ..settings() });
    let starting = |now, w: &str, cell| endpoint(w, cell, WorkerStatus::Ready, Some(now));
    let list = ["r1", "r2", "w1", "w2"].map(|w| starting(rig.now, w, 0)).to_vec();
    rig.update_endpoints(UpdateKind::Snapshot, list);
    for id in 1..100 {
        rig.request(id, "idempotent");
        rig.end_attempt(id, 0, Outcome::PrefillCompleted);
        rig.end_attempt(id, 1, Outcome::Completed);
        rig.now += 10 * MS;
    }
    // This router's part: 2.5 x 0.33 x 40 a second / 2 routers / 2 workers = 8.25 a prefill worker and second.
    let prefills = send_targets(&rig.actions).iter().filter(|w| w.starts_with('r')).count();
    assert!((8..=16).contains(&prefills), "{prefills} prefills in the first second");
}

/// Routers that are notified of a restarted worker together must not all send to it at once.
#[test]
fn many_routers_use_a_starting_worker_one_after_another() {
    let mut first = Vec::new();
    for seed in 0..20 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let warm =
            [endpoint("w1", 0, WorkerStatus::Ready, None), endpoint("w2", 0, WorkerStatus::Ready, None)];
        rig.update_endpoints(UpdateKind::Restored, warm.to_vec());
        rig.update_endpoints(UpdateKind::Delta, vec![endpoint("r1", 0, WorkerStatus::Ready, Some(rig.now))]);
        rig.receive(RequestSpec { deadline: rig.now + 20 * SECOND, ..request_spec(rig.now, "idempotent") });
        let sent = rig.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        first.push(sent);
    }
    let at_once: usize = first.iter().sum();
    assert!(at_once <= 2, "{at_once} of 20 routers sent to the starting worker at once");
}

/// The name of a shared prefix whose home is another worker of the fleet than `worker`.
fn prefix_with_another_home(fleet: &[Endpoint], worker: &str) -> String {
    let has_another_home = |name: &String| {
        let mut rig = Rig::new(settings());
        rig.update_endpoints(UpdateKind::Restored, fleet.to_vec());
        let prefix = Some(name.as_str().into());
        let spec = RequestSpec { prefix, prefix_tokens: 1_990, ..request_spec(rig.now, "idempotent") };
        send_targets(&rig.receive(spec)) != [worker]
    };
    (0..).map(|i| format!("p{i}")).find(has_another_home).unwrap()
}

/// A worker is overloaded by the sum of what all routers send: permits that were saved up in a quiet period must not
/// be spent together on one burst.
#[test]
fn thirty_routers_that_saved_permits_up_stay_within_the_fleet_s_budget() {
    const ROUTERS: u32 = 30;
    let names = ["r3", "r1", "r2", "w1"];
    let fleet = names.map(|w| endpoint(w, 0, WorkerStatus::Ready, None));
    let prefix_name = prefix_with_another_home(&fleet, "r3");
    let (mut burst, mut quiet) = (0, 0);
    for index in 0..ROUTERS {
        let set = Settings { replica_count: ROUTERS, replica_index: index, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), u64::from(index)), ..Rig::new(set) };
        rig.update_endpoints(UpdateKind::Restored, fleet[1..].to_vec());
        // Three requests a second at each warm worker, from all routers together.
        for id in 0..18 {
            rig.now = 100 * SECOND + id * SECOND + SECOND * u64::from(index) / u64::from(ROUTERS);
            if id == 10 {
                rig.update_endpoints(
                    UpdateKind::Delta,
                    vec![endpoint("r3", 0, WorkerStatus::Ready, Some(110 * SECOND))],
                );
            }
            if (id + u64::from(index)).is_multiple_of(5) {
                let (request, prefix) = (RequestId(id), Some(prefix_name.as_str().into()));
                let sent = rig.receive(RequestSpec {
                    request,
                    prefix,
                    prefix_tokens: 1_990,
                    ..request_spec(rig.now, "idempotent")
                });
                quiet += usize::from(send_targets(&sent) == ["r3"]);
                rig.end_attempt(id, 0, Outcome::PrefillCompleted);
                rig.end_attempt(id, 1, Outcome::Completed);
            }
        }
        rig.now = 118 * SECOND;
        for id in 20..25 {
            rig.now += 20 * MS;
            burst += usize::from(send_targets(&rig.request(id, "idempotent")).first() == Some(&"r3"));
        }
    }
    let set = settings();
    let warm = f64::from(ROUTERS) / 5.0 / 2.0;
    let n = set.overload_multiple * warm * (set.slow_start_floor + (1.0 - set.slow_start_floor) * 0.8);
    assert_eq!(quiet, 0);
    assert!(burst as f64 <= n + 2.0 * n.sqrt() + 2.0, "{burst} at once, with a budget of {n}");
    assert!(burst >= 2, "{burst} at once: the starting worker is not used");
}

/// A router's permit depends on its replica index and the worker's start, not on the router's own start.
#[test]
fn a_router_that_restarts_does_not_get_its_permit_again() {
    let start_router = |now: Micros, seed: u64, worker_start: Micros| {
        let set = Settings { replica_count: 8, replica_index: 3, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), now, ..Rig::new(set) };
        let endpoints = [("r1", Some(worker_start)), ("w1", None)]
            .map(|(w, start)| endpoint(w, 0, WorkerStatus::Ready, start));
        rig.update_endpoints(UpdateKind::Restored, endpoints.to_vec());
        rig
    };
    let sends_within = |rig: &mut Rig, time: Micros| {
        let until = rig.now + time;
        while rig.now < until {
            rig.now += 50 * MS;
            if !send_targets(&rig.request(rig.now, "idempotent")).is_empty() {
                return true;
            }
        }
        false
    };
    let worker_start = 100 * SECOND;
    let mut rig = start_router(worker_start, 0, worker_start);
    assert!(sends_within(&mut rig, 9 * SECOND), "it never got a permit");
    for seed in 1..20 {
        let mut again = start_router(rig.now + 50 * MS, seed, worker_start);
        assert!(!sends_within(&mut again, 4 * SECOND), "sent again after a restart");
    }
}

/// Found in ticket5632: of hundreds of routers hardly any had a prompt for a restarted worker when it had a permit, and
/// workers with capacity were idle beside congested ones. All the same, routers must not overload it together.
#[test]
fn many_routers_together_use_what_a_starting_worker_can_do_and_no_more() {
    const ROUTERS: u64 = 100;
    const WARM: u64 = 40;
    let set = Settings { replica_count: ROUTERS as u32, ..settings() };
    let mut each_second = [0; 9];
    for seed in 0..ROUTERS {
        let set = Settings { replica_index: seed as u32, ..set.clone() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let name = |i: u64| format!("r{i}");
        let mut list: Vec<Endpoint> =
            (1..=WARM).map(|i| endpoint(&name(i), 0, WorkerStatus::Ready, None)).collect();
        list.push(endpoint("w1", 0, WorkerStatus::Ready, None));
        rig.update_endpoints(UpdateKind::Restored, list);
        let started = rig.now + 5 * SECOND;
        // Two requests a second: four in five begin with one of ten shared prefixes.
        for i in 0..28 {
            rig.now = 100 * SECOND + (i * 500 + seed * 5) * MS;
            if i == 10 {
                rig.update_endpoints(
                    UpdateKind::Delta,
                    vec![endpoint("r0", 0, WorkerStatus::Ready, Some(started))],
                );
            }
            let shared = !(i + seed).is_multiple_of(5);
            let (prefix, prefix_tokens) =
                if shared { (Some(format!("p{}", (i * 7 + seed) % 10).into()), 1_800) } else { (None, 0) };
            let (request, session) = (RequestId(i), Some(format!("s{seed}-{i}").into()));
            let sent = rig.receive(RequestSpec {
                request,
                session,
                prefix,
                prefix_tokens,
                ..request_spec(rig.now, "idempotent")
            });
            let is_to_starting = |a: &Action| matches!(a, Action::Send { worker, .. } if *worker.0 == *"r0");
            if sent.iter().any(is_to_starting) {
                each_second[(i / 2 - 5) as usize] += 1;
            }
            rig.now += 5 * MS;
            rig.end_attempt(i, 0, Outcome::PrefillCompleted);
            rig.end_attempt(i, 1, Outcome::Completed);
        }
    }
    // What a warm worker is seen to complete is no more than what it can do.
    let warm = 2.0 * ROUTERS as f64 / WARM as f64;
    let starting = |second: f64| warm * (set.slow_start_floor + (1.0 - set.slow_start_floor) * second / 10.0);
    for (second, sent) in each_second.iter().enumerate() {
        let limit = set.overload_multiple * starting(second as f64);
        assert!(f64::from(*sent) <= limit, "{each_second:?}: more than {limit} in second {second}");
    }
    let whole: f64 = (0..9).map(|second| starting(f64::from(second))).sum();
    assert!(f64::from(each_second.iter().sum::<i32>()) >= whole / 2.0, "{each_second:?} of {whole}");
}

/// A prompt that takes too long on a starting worker is not sent there, although it has a permit.
#[test]
fn a_starting_worker_is_not_preferred_for_what_it_cannot_prefill_in_time() {
    for (prompt_tokens, prefill_worker) in [(2_000, "r3"), (40_000, "r1")] {
        let mut rig = Rig::fleet(Settings { event_interval: MS, ..settings() });
        for id in 1..10 {
            rig.request(id, "idempotent");
            rig.end_attempt(id, 0, Outcome::PrefillCompleted);
            rig.end_attempt(id, 1, Outcome::Completed);
        }
        let gone = ["r2"].map(|r| endpoint(r, 1, WorkerStatus::Gone, None)).to_vec();
        rig.update_endpoints(UpdateKind::Delta, gone);
        rig.update_endpoints(UpdateKind::Delta, vec![endpoint("r3", 1, WorkerStatus::Ready, Some(rig.now))]);
        for id in 20..40 {
            rig.now += 100 * MS;
            let prefix = Some("p".into());
            rig.receive(RequestSpec {
                request: RequestId(id),
                prefix,
                prefix_tokens: 1_900,
                ..request_spec(rig.now, "idempotent")
            });
            rig.end_attempt(id, 0, Outcome::PrefillCompleted);
            rig.end_attempt(id, 1, Outcome::Completed);
        }
        // Its home is r1.
        let session = Some("x".into());
        let sent = rig.receive(RequestSpec {
            request: RequestId(50),
            session,
            prompt_tokens,
            ..request_spec(rig.now, "idempotent")
        });
        assert_eq!(send_targets(&sent), [prefill_worker], "{prompt_tokens} tokens");
    }
}

/// The home of a session is the same at every router, so that its next request at another router finds its prompt
/// cached.
#[test]
fn the_next_request_of_a_session_at_another_router_goes_to_the_same_worker() {
    let mut prefill_workers = Vec::new();
    for seed in 0..8 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let list = [("r1", 0), ("r2", 1), ("r3", 1), ("w1", 0)];
        rig.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        let session = Some(Arc::from("s"));
        let prompt_tokens = 2_000 + seed * 500;
        let received =
            rig.receive(RequestSpec { session, prompt_tokens, ..request_spec(rig.now, "idempotent") });
        prefill_workers.push(send_targets(&received)[0].to_owned());
    }
    assert!(prefill_workers.iter().all(|r| *r == prefill_workers[0]), "{prefill_workers:?}");
}

/// Two warm prefill workers that reject what they can't do at once, and a starting one.
struct PrefillWorkers {
    /// What a warm worker can do in a second, and when each is free again.
    rate: u64,
    free_at: [Micros; 2],
    starting_answers: Outcome,
    /// When the starting worker was sent an attempt.
    to_starting: Vec<Micros>,
}

impl PrefillWorkers {
    fn answer(&mut self, now: Micros, prefill_worker: &str) -> Outcome {
        let warm = match prefill_worker {
            "r1" => 0,
            "r2" => 1,
            _ => {
                self.to_starting.push(now);
                return self.starting_answers;
            }
        };
        // A queue of a tenth of a second.
        if self.free_at[warm] > now + 100 * MS {
            return Outcome::Rejected;
        }
        self.free_at[warm] = self.free_at[warm].max(now) + SECOND / self.rate;
        Outcome::PrefillCompleted
    }
}

/// Takes a request through all of its attempts.
fn run_through(rig: &mut Rig, id: u64, prefill_workers: &mut PrefillWorkers) {
    let mut actions = rig.request(id, "idempotent");
    for attempt in 0..6 {
        let Some(worker) = send_targets(&actions).first().map(|w| (*w).to_owned()) else { return };
        let outcome = if worker.starts_with('r') {
            prefill_workers.answer(rig.now, &worker)
        } else {
            Outcome::Completed
        };
        actions = rig.end_attempt(id, attempt, outcome);
    }
}

/// The budget of a starting worker is for all routers, however many there are: in no window do they send more together,
/// neither under a burst as they are notified of its start, or later, nor where it rejects what it gets.
#[rstest]
fn all_routers_together_stay_within_the_budget_of_a_starting_worker(
    #[values(1, 2, 5, 30, 300)] routers: u32,
    #[values(Outcome::PrefillCompleted, Outcome::Rejected)] starting_answers: Outcome,
    #[values(4, 40)] each_warm_does: u64,
    #[values(0, 4)] burst_after: u64,
) {
    const WARM: u64 = 2;
    const BURST: u64 = 8;
    let set = Settings { replica_count: routers, ..settings() };
    let start = 100 * SECOND;
    let mut fleet: Vec<Rig> = (0..routers)
        .map(|index| {
            let set = Settings { replica_index: index, ..set.clone() };
            let mut rig = Rig { policy: Policy::new(set.clone(), u64::from(index)), ..Rig::new(set) };
            let warm = ["r1", "r2", "w1", "w2"].map(|w| endpoint(w, 0, WorkerStatus::Ready, None));
            rig.update_endpoints(UpdateKind::Restored, warm.to_vec());
            rig
        })
        .collect();
    let (ordinary, mut now, mut id, mut is_listed) = (WARM * each_warm_does, start, 0, false);
    let started = start + 10 * SECOND;
    let mut prefill_workers =
        PrefillWorkers { rate: each_warm_does, free_at: [0; 2], starting_answers, to_starting: Vec::new() };
    while now < started + 9 * SECOND {
        let burst = now >= started + burst_after * SECOND && now < started + (burst_after + 2) * SECOND;
        now += SECOND / (ordinary * if burst { BURST } else { 1 });
        if now >= started && !is_listed {
            is_listed = true;
            for rig in &mut fleet {
                rig.now = now;
                rig.update_endpoints(
                    UpdateKind::Delta,
                    vec![endpoint("r3", 0, WorkerStatus::Ready, Some(started))],
                );
            }
        }
        id += 1;
        // Unevenly: a third of the requests come to one process.
        let router = if id % 3 == 0 { 0 } else { id * 7 % u64::from(routers) };
        let rig = &mut fleet[router as usize];
        rig.now = now;
        run_through(rig, id, &mut prefill_workers);
    }
    let to_starting = prefill_workers.to_starting;
    for (i, from) in to_starting.iter().enumerate() {
        let in_window =
            to_starting[i..].iter().take_while(|at| **at < from + set.overload_window).count() as f64;
        let age = (from - started) as f64 / set.slow_start_duration as f64;
        let warm_fraction = set.slow_start_floor + (1.0 - set.slow_start_floor) * age;
        let n = set.overload_multiple * each_warm_does as f64 * warm_fraction;
        let limit = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        assert!(in_window <= limit, "{in_window} in the second from {age}, with a budget of {n}");
    }
}
