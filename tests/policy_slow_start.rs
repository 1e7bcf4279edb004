//! Slow start: the rate of attempts that the policy sends to recently started workers.

#[path = "support/policy_harness.rs"]
mod policy_harness;

use llm_router::interface::*;
use policy_harness::*;
use rstest::rstest;
use std::sync::Arc;

#[test]
fn a_starting_worker_gets_few_attempts_while_its_peers_reject_all() {
    // The budget was derived from the attempts sent to warm workers rather than from their completions, which
    // made it too large in a retry storm.
    let mut harness = PolicyHarness::fleet(settings());
    let started = harness.now;
    harness.update_endpoints(UpdateKind::Delta, vec![endpoint("r1", 0, WorkerStatus::Ready, Some(started))]);
    for id in 1..200 {
        harness.request(id, "idempotent");
        harness.end_attempt(id, 0, Outcome::Rejected);
        harness.now += 5 * MS;
    }
    let starting = send_targets(&harness.actions).iter().filter(|w| **w == "r1").count();
    assert!(starting <= 1, "{starting} attempts within a second at a starting worker");
}

#[test]
fn a_fleet_that_restarted_completely_is_sent_the_rate_of_the_tenant_quotas() {
    // Without warm workers from which to measure the capacity, almost no requests were sent to any worker.
    let tenants = vec![Tenant { name: "t".into(), quota_per_s: 40.0 }];
    let mut harness = PolicyHarness::new(Settings { tenants, ..settings() });
    let starting = |now, w: &str, cell| endpoint(w, cell, WorkerStatus::Ready, Some(now));
    let list = ["r1", "r2", "w1", "w2"].map(|w| starting(harness.now, w, 0)).to_vec();
    harness.update_endpoints(UpdateKind::Snapshot, list);
    for id in 1..100 {
        harness.request(id, "idempotent");
        harness.end_attempt(id, 0, Outcome::PrefillCompleted);
        harness.end_attempt(id, 1, Outcome::Completed);
        harness.now += 10 * MS;
    }
    // Share of this router: 2.5 x 0.33 x 40 per second / 2 routers / 2 workers = 8.25 per prefill worker and
    // second.
    let prefills = send_targets(&harness.actions).iter().filter(|w| w.starts_with('r')).count();
    assert!((8..=16).contains(&prefills), "{prefills} prefills in the first second");
}

/// Routers that are notified of a restarted worker at the same time must not all send to it immediately.
#[test]
fn many_routers_send_to_a_starting_worker_one_after_another() {
    let mut sent_counts = Vec::new();
    for seed in 0..20 {
        let settings = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut harness = PolicyHarness::with_seed(settings, seed);
        let warm = ["w1", "w2"].map(|w| endpoint(w, 0, WorkerStatus::Ready, None));
        harness.update_endpoints(UpdateKind::Restored, warm.to_vec());
        let starting = vec![endpoint("r1", 0, WorkerStatus::Ready, Some(harness.now))];
        harness.update_endpoints(UpdateKind::Delta, starting);
        let deadline = harness.now + 20 * SECOND;
        harness.receive(RequestSpec { deadline, ..request_spec(harness.now, "idempotent") });
        let sent = harness.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        sent_counts.push(sent);
    }
    let total: usize = sent_counts.iter().sum();
    assert!(total <= 2, "{total} attempts of 20 routers were sent to the starting worker at once");
}

/// Finds the name of a shared prefix whose home is not `worker`.
fn prefix_with_another_home(fleet: &[Endpoint], worker: &str) -> String {
    let has_another_home = |name: &String| {
        let mut harness = PolicyHarness::new(settings());
        harness.update_endpoints(UpdateKind::Restored, fleet.to_vec());
        let prefix = Some(name.as_str().into());
        let spec = RequestSpec { prefix, prefix_tokens: 1_990, ..request_spec(harness.now, "idempotent") };
        send_targets(&harness.receive(spec)) != [worker]
    };
    (0..).map(|i| format!("p{i}")).find(has_another_home).unwrap()
}

/// A worker is overloaded by the sum of the attempts of all routers. Permits that the routers accumulated
/// while they had no requests for the worker must not all be used in one burst.
#[test]
fn permits_accumulated_by_thirty_routers_stay_within_the_budget_of_the_fleet() {
    const ROUTERS: u32 = 30;
    let names = ["r3", "r1", "r2", "w1"];
    let fleet = names.map(|w| endpoint(w, 0, WorkerStatus::Ready, None));
    let prefix_name = prefix_with_another_home(&fleet, "r3");
    let (mut sent_in_burst, mut sent_before) = (0, 0);
    for index in 0..ROUTERS {
        let settings = Settings { replica_count: ROUTERS, replica_index: index, ..settings() };
        let mut harness = PolicyHarness::with_seed(settings, u64::from(index));
        harness.update_endpoints(UpdateKind::Restored, fleet[1..].to_vec());
        // Three requests per second at each warm worker, from all routers together.
        for id in 0..18 {
            harness.now = 100 * SECOND + id * SECOND + SECOND * u64::from(index) / u64::from(ROUTERS);
            if id == 10 {
                harness.update_endpoints(
                    UpdateKind::Delta,
                    vec![endpoint("r3", 0, WorkerStatus::Ready, Some(110 * SECOND))],
                );
            }
            if (id + u64::from(index)).is_multiple_of(5) {
                let (request, prefix) = (RequestId(id), Some(prefix_name.as_str().into()));
                let sent = harness.receive(RequestSpec {
                    request,
                    prefix,
                    prefix_tokens: 1_990,
                    ..request_spec(harness.now, "idempotent")
                });
                sent_before += usize::from(send_targets(&sent) == ["r3"]);
                harness.end_attempt(id, 0, Outcome::PrefillCompleted);
                harness.end_attempt(id, 1, Outcome::Completed);
            }
        }
        harness.now = 118 * SECOND;
        for id in 20..25 {
            harness.now += 20 * MS;
            let sent = harness.request(id, "idempotent");
            sent_in_burst += usize::from(send_targets(&sent).first() == Some(&"r3"));
        }
    }
    let settings = settings();
    let warm_rate = f64::from(ROUTERS) / 5.0 / 2.0;
    let budget = settings.overload_multiple
        * warm_rate
        * (settings.slow_start_floor + (1.0 - settings.slow_start_floor) * 0.8);
    assert_eq!(sent_before, 0);
    assert!(
        sent_in_burst as f64 <= budget + 2.0 * budget.sqrt() + 2.0,
        "{sent_in_burst} attempts in the burst, with a budget of {budget}"
    );
    assert!(sent_in_burst >= 2, "only {sent_in_burst} attempts were sent to the starting worker");
}

/// The time at which a router obtains its first permit depends on its replica index and the start of the
/// worker, not on the start of the router.
#[test]
fn a_restarted_router_does_not_obtain_a_second_permit() {
    let start_router = |now: Micros, seed: u64, worker_start: Micros| {
        let settings = Settings { replica_count: 8, replica_index: 3, ..settings() };
        let mut harness = PolicyHarness { now, ..PolicyHarness::with_seed(settings, seed) };
        let endpoints = [("r1", Some(worker_start)), ("w1", None)]
            .map(|(w, start)| endpoint(w, 0, WorkerStatus::Ready, start));
        harness.update_endpoints(UpdateKind::Restored, endpoints.to_vec());
        harness
    };
    let sends_within = |harness: &mut PolicyHarness, time: Micros| {
        let until = harness.now + time;
        while harness.now < until {
            harness.now += 50 * MS;
            if !send_targets(&harness.request(harness.now, "idempotent")).is_empty() {
                return true;
            }
        }
        false
    };
    let worker_start = 100 * SECOND;
    let mut harness = start_router(worker_start, 0, worker_start);
    assert!(sends_within(&mut harness, 9 * SECOND), "the router obtained no permit");
    for seed in 1..20 {
        let mut restarted = start_router(harness.now + 50 * MS, seed, worker_start);
        assert!(!sends_within(&mut restarted, 4 * SECOND), "another attempt was sent after the restart");
    }
}

/// Regression test for ticket5632: with hundreds of routers, few had a prompt for a restarted worker while
/// they held a permit for it, so workers with capacity were idle while others were congested. The routers
/// must use the capacity of the starting worker without overloading it.
#[test]
fn many_routers_use_the_capacity_of_a_starting_worker_without_overloading_it() {
    const ROUTERS: u64 = 100;
    const WARM_WORKERS: u64 = 40;
    let settings = Settings { replica_count: ROUTERS as u32, ..settings() };
    let mut sent_per_second = [0; 9];
    for seed in 0..ROUTERS {
        let settings = Settings { replica_index: seed as u32, ..settings.clone() };
        let mut harness = PolicyHarness::with_seed(settings, seed);
        let name = |i: u64| format!("r{i}");
        let mut list: Vec<Endpoint> =
            (1..=WARM_WORKERS).map(|i| endpoint(&name(i), 0, WorkerStatus::Ready, None)).collect();
        list.push(endpoint("w1", 0, WorkerStatus::Ready, None));
        harness.update_endpoints(UpdateKind::Restored, list);
        let started = harness.now + 5 * SECOND;
        // Two requests per second at each router. Four out of five have one of ten shared prefixes.
        for i in 0..28 {
            harness.now = 100 * SECOND + (i * 500 + seed * 5) * MS;
            if i == 10 {
                let starting = vec![endpoint("r0", 0, WorkerStatus::Ready, Some(started))];
                harness.update_endpoints(UpdateKind::Delta, starting);
            }
            let is_shared = !(i + seed).is_multiple_of(5);
            let (prefix, prefix_tokens) =
                if is_shared { (Some(format!("p{}", (i * 7 + seed) % 10).into()), 1_800) } else { (None, 0) };
            let (request, session) = (RequestId(i), Some(format!("s{seed}-{i}").into()));
            let sent = harness.receive(RequestSpec {
                request,
                session,
                prefix,
                prefix_tokens,
                ..request_spec(harness.now, "idempotent")
            });
            let is_to_starting = |a: &Action| matches!(a, Action::Send { worker, .. } if *worker.0 == *"r0");
            if sent.iter().any(is_to_starting) {
                sent_per_second[(i / 2 - 5) as usize] += 1;
            }
            harness.now += 5 * MS;
            harness.end_attempt(i, 0, Outcome::PrefillCompleted);
            harness.end_attempt(i, 1, Outcome::Completed);
        }
    }
    // The completions observed at a warm worker are a lower bound of its capacity.
    let warm_rate = 2.0 * ROUTERS as f64 / WARM_WORKERS as f64;
    let floor = settings.slow_start_floor;
    let capacity_at = |second: f64| warm_rate * (floor + (1.0 - floor) * second / 10.0);
    for (second, sent) in sent_per_second.iter().enumerate() {
        let limit = settings.overload_multiple * capacity_at(second as f64);
        assert!(f64::from(*sent) <= limit, "{sent_per_second:?}: more than {limit} in second {second}");
    }
    let total_capacity: f64 = (0..9).map(|second| capacity_at(f64::from(second))).sum();
    let total_sent = f64::from(sent_per_second.iter().sum::<i32>());
    assert!(total_sent >= total_capacity / 2.0, "{sent_per_second:?}: too few of {total_capacity}");
}

/// A prompt that a starting worker would process too slowly is not sent there, even if there is a permit for
/// it.
#[test]
fn a_starting_worker_is_not_preferred_for_prompts_that_it_cannot_prefill_in_time() {
    for (prompt_tokens, prefill_worker) in [(2_000, "r3"), (40_000, "r1")] {
        let mut harness = PolicyHarness::fleet(Settings { event_interval: MS, ..settings() });
        for id in 1..10 {
            harness.request(id, "idempotent");
            harness.end_attempt(id, 0, Outcome::PrefillCompleted);
            harness.end_attempt(id, 1, Outcome::Completed);
        }
        let gone = ["r2"].map(|r| endpoint(r, 1, WorkerStatus::Gone, None)).to_vec();
        harness.update_endpoints(UpdateKind::Delta, gone);
        let starting = vec![endpoint("r3", 1, WorkerStatus::Ready, Some(harness.now))];
        harness.update_endpoints(UpdateKind::Delta, starting);
        for id in 20..40 {
            harness.now += 100 * MS;
            let prefix = Some("p".into());
            harness.receive(RequestSpec {
                request: RequestId(id),
                prefix,
                prefix_tokens: 1_900,
                ..request_spec(harness.now, "idempotent")
            });
            harness.end_attempt(id, 0, Outcome::PrefillCompleted);
            harness.end_attempt(id, 1, Outcome::Completed);
        }
        // The home of this session is r1.
        let session = Some("x".into());
        let sent = harness.receive(RequestSpec {
            request: RequestId(50),
            session,
            prompt_tokens,
            ..request_spec(harness.now, "idempotent")
        });
        assert_eq!(send_targets(&sent), [prefill_worker], "{prompt_tokens} tokens");
    }
}

/// The home of a session is the same at every router, so that its next request at another router finds its
/// prompt cached.
#[test]
fn requests_of_a_session_at_different_routers_go_to_the_same_worker() {
    let mut prefill_workers = Vec::new();
    for seed in 0..8 {
        let settings = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut harness = PolicyHarness::with_seed(settings, seed);
        let list = [("r1", 0), ("r2", 1), ("r3", 1), ("w1", 0)];
        harness.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        let session = Some(Arc::from("s"));
        let prompt_tokens = 2_000 + seed * 500;
        let received = harness.receive(RequestSpec {
            session,
            prompt_tokens,
            ..request_spec(harness.now, "idempotent")
        });
        prefill_workers.push(send_targets(&received)[0].to_owned());
    }
    assert!(prefill_workers.iter().all(|r| *r == prefill_workers[0]), "{prefill_workers:?}");
}

/// Two warm prefill workers, which reject requests while their queue is full, and a starting one.
struct PrefillWorkers {
    /// Requests per second that a warm worker completes.
    warm_rate: u64,
    /// Time at which each warm worker has completed its queue.
    free_at: [Micros; 2],
    /// Outcome of all attempts at the starting worker.
    starting_outcome: Outcome,
    /// Times of the attempts at the starting worker.
    starting_attempts: Vec<Micros>,
}

impl PrefillWorkers {
    /// Runs or rejects a prefill at a worker that received it at `now`.
    fn run_prefill(&mut self, now: Micros, prefill_worker: &str) -> Outcome {
        let warm_index = match prefill_worker {
            "r1" => 0,
            "r2" => 1,
            _ => {
                self.starting_attempts.push(now);
                return self.starting_outcome;
            }
        };
        // The queue holds a tenth of a second of work.
        if self.free_at[warm_index] > now + 100 * MS {
            return Outcome::Rejected;
        }
        self.free_at[warm_index] = self.free_at[warm_index].max(now) + SECOND / self.warm_rate;
        Outcome::PrefillCompleted
    }
}

/// Runs all attempts of a request.
fn run_request(harness: &mut PolicyHarness, id: u64, prefill_workers: &mut PrefillWorkers) {
    let mut actions = harness.request(id, "idempotent");
    for attempt in 0..6 {
        let Some(worker) = send_targets(&actions).first().map(|w| (*w).to_owned()) else { return };
        let outcome = if worker.starts_with('r') {
            prefill_workers.run_prefill(harness.now, &worker)
        } else {
            Outcome::Completed
        };
        actions = harness.end_attempt(id, attempt, outcome);
    }
}

/// The budget of a starting worker applies to all routers together, for any number of routers. They do not
/// exceed it in any window: not in a burst of requests when they are notified of its start or later, nor if
/// it rejects all attempts.
#[rstest]
fn all_routers_together_stay_within_the_budget_of_a_starting_worker(
    #[values(1, 2, 5, 30, 300)] routers: u32,
    #[values(Outcome::PrefillCompleted, Outcome::Rejected)] starting_outcome: Outcome,
    #[values(4, 40)] warm_rate: u64,
    #[values(0, 4)] burst_after_seconds: u64,
) {
    const WARM_WORKERS: u64 = 2;
    const BURST_FACTOR: u64 = 8;
    let settings = Settings { replica_count: routers, ..settings() };
    let start = 100 * SECOND;
    let mut fleet: Vec<PolicyHarness> = (0..routers)
        .map(|index| {
            let settings = Settings { replica_index: index, ..settings.clone() };
            let mut harness = PolicyHarness::with_seed(settings, u64::from(index));
            let warm = ["r1", "r2", "w1", "w2"].map(|w| endpoint(w, 0, WorkerStatus::Ready, None));
            harness.update_endpoints(UpdateKind::Restored, warm.to_vec());
            harness
        })
        .collect();
    let (regular_rate, mut now, mut id, mut is_listed) = (WARM_WORKERS * warm_rate, start, 0, false);
    let started = start + 10 * SECOND;
    let mut prefill_workers =
        PrefillWorkers { warm_rate, free_at: [0; 2], starting_outcome, starting_attempts: Vec::new() };
    while now < started + 9 * SECOND {
        let burst_start = started + burst_after_seconds * SECOND;
        let is_burst = now >= burst_start && now < burst_start + 2 * SECOND;
        now += SECOND / (regular_rate * if is_burst { BURST_FACTOR } else { 1 });
        if now >= started && !is_listed {
            is_listed = true;
            for harness in &mut fleet {
                harness.now = now;
                harness.update_endpoints(
                    UpdateKind::Delta,
                    vec![endpoint("r3", 0, WorkerStatus::Ready, Some(started))],
                );
            }
        }
        id += 1;
        // The distribution is uneven: a third of the requests arrive at one router.
        let router = if id % 3 == 0 { 0 } else { id * 7 % u64::from(routers) };
        let harness = &mut fleet[router as usize];
        harness.now = now;
        run_request(harness, id, &mut prefill_workers);
    }
    let attempts = prefill_workers.starting_attempts;
    for (i, window_start) in attempts.iter().enumerate() {
        let in_window =
            attempts[i..].iter().take_while(|at| **at < window_start + settings.overload_window).count()
                as f64;
        let progress = (window_start - started) as f64 / settings.slow_start_duration as f64;
        let warm_fraction = settings.slow_start_floor + (1.0 - settings.slow_start_floor) * progress;
        let budget = settings.overload_multiple * warm_rate as f64 * warm_fraction;
        let limit = if budget < 30.0 {
            budget + 3.0 * budget.sqrt() + 3.0
        } else {
            budget + 2.0 * budget.sqrt() + 2.0
        };
        assert!(
            in_window <= limit,
            "{in_window} attempts in the window at progress {progress}, with a budget of {budget}"
        );
    }
}
