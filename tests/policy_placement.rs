//! Selection of the prefill worker and of the decode worker by the policy.

#[path = "support/policy_harness.rs"]
mod policy_harness;

use llm_router::interface::*;
use policy_harness::*;
use std::sync::Arc;

#[test]
fn a_request_is_decoded_in_the_cell_of_its_prefill_worker() {
    let mut harness = PolicyHarness::fleet(settings());
    let received = harness.request(1, "idempotent");
    let prefill_worker = send_targets(&received)[0].to_owned();
    let prefilled = harness.end_attempt(1, 0, Outcome::PrefillCompleted);
    let decode_worker = send_targets(&prefilled)[0];
    assert_eq!(decode_worker == "w1", prefill_worker == "r1", "{prefill_worker} then {decode_worker}");
    assert_eq!(local_reply_count(&harness.end_attempt(1, 1, Outcome::Completed)), 0);
}

#[test]
fn a_prefix_has_the_same_home_at_every_router_and_stays_there() {
    let mut homes = Vec::new();
    for index in 0..2 {
        let mut harness = PolicyHarness::fleet(Settings { replica_index: index, ..settings() });
        let prefixed_spec = |now| RequestSpec {
            prefix: Some(Arc::from("p")),
            prefix_tokens: 1_900,
            ..request_spec(now, "idempotent")
        };
        let first = harness.receive(prefixed_spec(harness.now));
        harness.end_attempt(0, 0, Outcome::PrefillCompleted);
        harness.end_attempt(0, 1, Outcome::Completed);
        let second = harness.receive(RequestSpec { request: RequestId(2), ..prefixed_spec(harness.now) });
        assert_eq!(send_targets(&first), send_targets(&second));
        homes.push(send_targets(&first)[0].to_owned());
    }
    assert_eq!(homes[0], homes[1]);
}

/// With a single home per prefix, one of hundreds of prefixes directed a tenth of all requests to one worker
/// of a fleet with a hundred.
#[test]
fn in_a_large_fleet_a_prefix_has_several_homes_and_a_session_stays_at_one() {
    let homes_of = |prefill_workers: usize| {
        // Each request arrives at a different router, which has not seen the prefix before.
        let home = |request: u64| {
            let settings = settings();
            let mut harness = PolicyHarness::with_seed(settings, request);
            let names = (0..prefill_workers).map(|i| format!("r{i}")).chain(["w1".to_owned()]);
            let list = names.map(|name| endpoint(&name, 0, WorkerStatus::Ready, None)).collect();
            harness.update_endpoints(UpdateKind::Restored, list);
            let (session, prefix) = (Some(format!("s{}", request / 2).as_str().into()), Some("p".into()));
            let sent = harness.receive(RequestSpec {
                session,
                prefix,
                prefix_tokens: 1_800,
                ..request_spec(harness.now, "idempotent")
            });
            sent.iter().find_map(|a| match a {
                Action::Send { worker, .. } => Some(worker.clone()),
                _ => None,
            })
        };
        let homes: Vec<WorkerId> = (0..40).map(|request| home(request).unwrap()).collect();
        assert!(homes.chunks(2).all(|pair| pair[0] == pair[1]), "{homes:?}");
        homes.iter().collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!([20, 100, 200].map(homes_of), [1, 2, 4]);
}

#[test]
fn all_prefills_of_a_session_go_to_the_same_worker() {
    let mut harness = PolicyHarness::fleet(settings());
    let mut prefill_workers = Vec::new();
    for id in 1..6 {
        let session = Some(Arc::from("s"));
        let received = harness.receive(RequestSpec {
            request: RequestId(id),
            session,
            ..request_spec(harness.now, "idempotent")
        });
        prefill_workers.push(send_targets(&received)[0].to_owned());
        // Another request adds load to the other worker.
        harness.request(100 + id, "idempotent");
        harness.end_attempt(id, 0, Outcome::PrefillCompleted);
        harness.end_attempt(id, 1, Outcome::Completed);
        harness.end_attempt(100 + id, 0, Outcome::PrefillCompleted);
        harness.end_attempt(100 + id, 1, Outcome::Completed);
    }
    assert!(prefill_workers.iter().all(|r| *r == prefill_workers[0]), "{prefill_workers:?}");
}

#[test]
fn a_failed_prefill_does_not_pin_its_session_to_the_worker() {
    let mut harness = PolicyHarness::fleet(settings());
    let session = || Some(Arc::from("s"));
    let first = harness.receive(RequestSpec {
        request: RequestId(1),
        session: session(),
        ..request_spec(harness.now, "idempotent")
    });
    let failed = send_targets(&first)[0].to_owned();
    let second = harness.end_attempt(1, 0, Outcome::WorkerError);
    assert_eq!(send_targets(&second).len(), 1, "a prefill may always be retried");
    harness.end_attempt(1, 1, Outcome::WorkerError);
    harness.end_attempt(1, 2, Outcome::WorkerError);
    // Both prefill workers failed and neither caches the session, so the next prompt is not pinned to the
    // first one.
    harness.pass_time(10 * SECOND);
    let next = harness.receive(RequestSpec {
        request: RequestId(2),
        session: session(),
        ..request_spec(harness.now, "idempotent")
    });
    assert_eq!(send_targets(&next).len(), 1, "{failed}");
}

#[test]
fn timeouts_of_local_decode_workers_move_requests_to_other_cells() {
    // Without load reports, congestion of the decode workers of two cells was not visible. Their requests
    // kept being decoded locally for seconds while the decode workers of a third cell were idle.
    let mut harness = PolicyHarness::new(settings());
    let cell = |worker: &str| u64::from(["r2", "w4", "w5", "w6"].contains(&worker));
    let names = ["r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6"];
    harness.update_endpoints(
        UpdateKind::Restored,
        names.iter().map(|w| endpoint(w, cell(w), WorkerStatus::Ready, None)).collect(),
    );
    let mut id = 0;
    // Sends requests and returns the number of those that are prefilled and decoded in the first cell.
    let mut count_local = |harness: &mut PolicyHarness, times_out: bool| {
        let mut local = 0;
        for _ in 0..40 {
            id += 1;
            let prefill_worker = send_targets(&harness.request(id, "idempotent"))[0].to_owned();
            let decode_worker =
                send_targets(&harness.end_attempt(id, 0, Outcome::PrefillCompleted))[0].to_owned();
            let is_local = cell(&prefill_worker) == 0 && cell(&decode_worker) == 0;
            local += u32::from(is_local);
            // Every other local request times out, which is too rare for a worker to be ejected.
            if times_out && is_local && local % 2 == 0 {
                harness.end_attempt(id, 1, Outcome::TimedOut);
                harness.end_attempt(id, 2, Outcome::Completed);
            } else {
                harness.end_attempt(id, 1, Outcome::Completed);
            }
        }
        local
    };
    let before = count_local(&mut harness, false);
    count_local(&mut harness, true);
    let after = count_local(&mut harness, false);
    assert!(
        (1..=before / 2).contains(&after),
        "{before} local requests before the timeouts, {after} after them"
    );
}

#[test]
fn decode_workers_that_can_prefill_replace_unreachable_prefill_workers() {
    // If all prefill workers crash while they are still listed, requests must not be sent only to them.
    let mut harness = PolicyHarness::fleet(Settings { decode_can_prefill: true, ..settings() });
    let mut to_decode_workers = 0;
    for id in 1..30 {
        let mut actions = harness.request(id, "idempotent");
        for attempt in 0..5 {
            match send_targets(&actions).first().copied() {
                Some(w) if w.starts_with('r') => {
                    actions = harness.end_attempt(id, attempt, Outcome::ConnectFailed)
                }
                Some(_) => {
                    to_decode_workers += 1;
                    harness.end_attempt(id, attempt, Outcome::Completed);
                    break;
                }
                None => break,
            }
        }
        harness.now += 20 * MS;
    }
    assert!(to_decode_workers >= 20, "only {to_decode_workers} of 29 requests were sent to decode workers");
}

#[test]
fn unified_workers_take_short_prompts_and_prefill_workers_long_ones() {
    let mut harness = PolicyHarness::new(settings());
    let list = ["r1", "m1"].map(|w| endpoint(w, 0, WorkerStatus::Ready, None)).to_vec();
    harness.update_endpoints(UpdateKind::Snapshot, list);
    let spec = |id, prompt_tokens, now| RequestSpec {
        request: RequestId(id),
        prompt_tokens,
        ..request_spec(now, "idempotent")
    };
    assert_eq!(send_targets(&harness.receive(spec(1, 1_000, harness.now))), ["m1"]);
    assert_eq!(send_targets(&harness.receive(spec(2, 9_000, harness.now))), ["r1"]);
    assert_eq!(
        send_targets(&harness.end_attempt(2, 0, Outcome::PrefillCompleted)),
        ["m1"],
        "a unified worker decodes what was prefilled elsewhere"
    );
    assert_eq!(send_targets(&harness.receive(spec(3, 500, harness.now))), ["m1"]);
}

/// Without load reports, one stream of this router at the local decode worker was counted once for every
/// router, and KV caches were transferred out of their cell needlessly.
#[test]
fn one_stream_at_the_local_decode_worker_does_not_move_requests_out_of_the_cell() {
    let mut local = 0;
    for seed in 0..40 {
        let settings = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut harness = PolicyHarness::with_seed(settings, seed);
        let list = [("r1", 0), ("w1", 0), ("r2", 1), ("w2", 1)];
        harness.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        for id in 1..=4 {
            harness.request(id, "idempotent");
            harness.end_attempt(id, 0, Outcome::PrefillCompleted);
            let [.., prefill_worker, decode_worker] = send_targets(&harness.actions)[..] else {
                panic!("expected two attempts for the request")
            };
            local += usize::from(prefill_worker[1..] == decode_worker[1..]);
            harness.handle(Event::StreamStarted {
                request: RequestId(id),
                attempt: AttemptIndex(1),
                elapsed: 20 * MS,
            });
        }
    }
    assert!(local >= 150, "{local} of 160 KV caches stayed in their cell");
}

/// If health checks return load reports, one is sent before a prefill, and its report decides whether the
/// worker gets the prefill. If no report arrives in time, the prefill is sent without one.
#[test]
fn a_health_check_precedes_a_prefill_but_does_not_block_it() {
    let settings =
        Settings { health_checks_allowed: true, load_reporting: LoadReporting::Responses, ..settings() };
    let mut harness = PolicyHarness::fleet(settings);
    let received = harness.request(1, "idempotent");
    assert_eq!(received.iter().filter(|a| matches!(a, Action::CheckHealth { .. })).count(), 1);
    assert!(send_targets(&received).is_empty());
    assert_eq!(send_targets(&harness.pass_time(600 * MS)).len(), 1, "the prefill is sent without a report");
    let Some(Action::CheckHealth { worker }) =
        received.into_iter().find(|a| matches!(a, Action::CheckHealth { .. }))
    else {
        panic!("no health check was sent")
    };
    let report = Some(LoadReport { queued_tokens: Some(1.0), ..LoadReport::default() });
    harness.handle(Event::HealthChecked { worker: worker.clone(), outcome: Outcome::Completed, report });
    let next = harness.request(2, "idempotent");
    assert!(
        send_targets(&next).len() == 1
            || next.iter().any(|a| *a != Action::CheckHealth { worker: worker.clone() })
    );
}

/// Load that is learned by gossip diverts prompts to other workers; malformed messages are ignored.
#[test]
fn load_learned_by_gossip_diverts_prompts_and_malformed_messages_are_ignored() {
    let settings = Settings { gossip_allowed: true, ..settings() };
    let with_third_prefill_worker = |mut harness: PolicyHarness| {
        harness.update_endpoints(UpdateKind::Delta, vec![endpoint("r3", 1, WorkerStatus::Ready, None)]);
        harness
    };
    let mut harness = with_third_prefill_worker(PolicyHarness::fleet(settings.clone()));
    let prefixed_spec = |now| RequestSpec {
        prefix: Some(Arc::from("p")),
        prefix_tokens: 1_900,
        ..request_spec(now, "idempotent")
    };
    let received = harness.receive(prefixed_spec(harness.now));
    let gossip = received.iter().find_map(|a| match a {
        Action::Gossip { to: None, payload } => Some(payload.clone()),
        _ => None,
    });
    let payload = gossip.expect("no gossip was sent for the prefill");
    let mut peer = with_third_prefill_worker(PolicyHarness::fleet(settings));
    peer.handle(Event::GossipReceived { from: 1, payload: vec![] });
    peer.handle(Event::GossipReceived { from: 1, payload: vec![0xff; 300] });
    for _ in 0..100 {
        peer.handle(Event::GossipReceived { from: 1, payload: payload.clone() });
    }
    let diverted = peer.receive(prefixed_spec(peer.now));
    assert_ne!(
        send_targets(&received),
        send_targets(&diverted),
        "the queue of the prefix's home is much longer than the mean"
    );
}

/// A single decode worker in a cell with several prefill workers decodes only its share of their requests.
/// Otherwise it would be overloaded while the decode workers of other cells are idle.
#[test]
fn the_only_decode_worker_of_a_cell_is_not_sent_all_local_requests() {
    let mut local = 0;
    for seed in 0..40 {
        let settings = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut harness = PolicyHarness::with_seed(settings, seed);
        let list = [("r1", 0), ("r2", 0), ("r3", 0), ("w1", 0), ("w2", 1), ("w3", 1)];
        harness.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        harness.request(seed, "idempotent");
        local +=
            usize::from(send_targets(&harness.end_attempt(seed, 0, Outcome::PrefillCompleted)) == ["w1"]);
    }
    assert!((5..25).contains(&local), "{local} of 40 requests were decoded locally");
}

/// Routers without measurements must not all select the same worker, which would receive the requests of the
/// whole fleet.
#[test]
fn routers_without_measurements_spread_requests_over_equal_decode_workers() {
    let mut selected = std::collections::BTreeSet::new();
    for seed in 0..16 {
        let mut harness = PolicyHarness::with_seed(settings(), seed);
        let list = [("r1", 0), ("w1", 1), ("w2", 1), ("w3", 1)];
        let entries = list.iter().map(|(w, cell)| endpoint(w, *cell, WorkerStatus::Ready, None)).collect();
        harness.update_endpoints(UpdateKind::Restored, entries);
        harness.request(1, "idempotent");
        selected.insert(send_targets(&harness.end_attempt(1, 0, Outcome::PrefillCompleted))[0].to_owned());
    }
    assert_eq!(selected.len(), 3, "{selected:?}");
}

/// Learned latencies reveal slow links only after seconds. Until then KV caches were transferred out of the
/// cell and timed out, although the local decode worker had capacity.
#[test]
fn after_a_timeout_outside_the_cell_the_local_decode_worker_is_sent_all_requests() {
    let mut harness = PolicyHarness::fleet(settings());
    let decode = |harness: &mut PolicyHarness, id: u64| {
        let prefill_worker = send_targets(&harness.request(id, "idempotent"))[0].to_owned();
        let decode_worker =
            send_targets(&harness.end_attempt(id, 0, Outcome::PrefillCompleted))[0].to_owned();
        (prefill_worker == "r1").then_some(decode_worker)
    };
    let remote_request = (1..200).find(|id| {
        let decode_worker = decode(&mut harness, *id);
        let is_remote = decode_worker.is_some_and(|w| w != "w1");
        if !is_remote {
            harness.end_attempt(*id, 1, Outcome::Completed);
        }
        is_remote
    });
    let retried = harness.end_attempt(
        remote_request.expect("no KV cache was transferred out of the cell"),
        1,
        Outcome::TimedOut,
    );
    assert_eq!(send_targets(&retried), ["w1"], "r1 still holds the KV cache");
    for id in 200..230 {
        let decode_worker = decode(&mut harness, id);
        assert!(decode_worker.is_none_or(|w| w == "w1"));
        harness.end_attempt(id, 1, Outcome::Completed);
    }
}
