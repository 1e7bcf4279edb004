//! Where the policy sends requests: the choice of the prefill worker and of the decode worker.

#[path = "support/rig.rs"]
mod rig;

use llm_router::Policy;
use llm_router::interface::*;
use rig::*;
use std::sync::Arc;

#[test]
fn decodes_near_the_prefill_worker() {
    let mut rig = Rig::fleet(settings());
    let received = rig.request(1, "idempotent");
    let prefill_worker = send_targets(&received)[0].to_owned();
    let prefilled = rig.end_attempt(1, 0, Outcome::PrefillCompleted);
    let decode_worker = send_targets(&prefilled)[0];
    assert_eq!(decode_worker == "w1", prefill_worker == "r1", "{prefill_worker} then {decode_worker}");
    assert_eq!(final_answer_count(&rig.end_attempt(1, 1, Outcome::Completed)), 0);
}

#[test]
fn a_prefix_has_the_same_home_at_every_router_and_stays_there() {
    let mut homes = Vec::new();
    for index in 0..2 {
        let mut rig = Rig::fleet(Settings { replica_index: index, ..settings() });
        let with = |now| RequestSpec {
            prefix: Some(Arc::from("p")),
            prefix_tokens: 1_900,
            ..request_spec(now, "idempotent")
        };
        let first = rig.receive(with(rig.now));
        rig.end_attempt(0, 0, Outcome::PrefillCompleted);
        rig.end_attempt(0, 1, Outcome::Completed);
        let again = rig.receive(RequestSpec { request: RequestId(2), ..with(rig.now) });
        assert_eq!(send_targets(&first), send_targets(&again));
        homes.push(send_targets(&first)[0].to_owned());
    }
    assert_eq!(homes[0], homes[1]);
}

/// Found on the engines deployment: one prefix of hundreds drew a tenth of all requests to one of a hundred workers.
#[test]
fn in_a_large_fleet_a_prefix_has_several_homes_and_a_session_stays_at_one() {
    let homes_of = |prefill_workers: usize| {
        // Each request comes to another router, which has not seen the prefix before.
        let home = |request: u64| {
            let set = settings();
            let mut rig = Rig { policy: Policy::new(set.clone(), request), ..Rig::new(set) };
            let named = (0..prefill_workers).map(|i| format!("r{i}")).chain(["w1".to_owned()]);
            let list = named.map(|name| endpoint(&name, 0, WorkerStatus::Ready, None)).collect();
            rig.update_endpoints(UpdateKind::Restored, list);
            let (session, prefix) = (Some(format!("s{}", request / 2).as_str().into()), Some("p".into()));
            let sent = rig.receive(RequestSpec {
                session,
                prefix,
                prefix_tokens: 1_800,
                ..request_spec(rig.now, "idempotent")
            });
            sent.iter().find_map(|a| match a {
                Action::Send { worker, .. } => Some(worker.clone()),
                _ => None,
            })
        };
        let homes: Vec<WorkerId> = (0..40).map(|request| home(request).unwrap()).collect();
        assert!(homes.chunks(2).all(|of_session| of_session[0] == of_session[1]), "{homes:?}");
        homes.iter().collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!([20, 100, 200].map(homes_of), [1, 2, 4]);
}

#[test]
fn a_session_is_prefilled_where_it_was_before() {
    let mut rig = Rig::fleet(settings());
    let mut prefill_workers = Vec::new();
    for id in 1..6 {
        let session = Some(Arc::from("s"));
        let received = rig.receive(RequestSpec {
            request: RequestId(id),
            session,
            ..request_spec(rig.now, "idempotent")
        });
        prefill_workers.push(send_targets(&received)[0].to_owned());
        // Another request puts load on the other worker.
        rig.request(100 + id, "idempotent");
        rig.end_attempt(id, 0, Outcome::PrefillCompleted);
        rig.end_attempt(id, 1, Outcome::Completed);
        rig.end_attempt(100 + id, 0, Outcome::PrefillCompleted);
        rig.end_attempt(100 + id, 1, Outcome::Completed);
    }
    assert!(prefill_workers.iter().all(|r| *r == prefill_workers[0]), "{prefill_workers:?}");
}

#[test]
fn a_failed_prefill_does_not_bind_its_session() {
    let mut rig = Rig::fleet(settings());
    let session = || Some(Arc::from("s"));
    let first = rig.receive(RequestSpec {
        request: RequestId(1),
        session: session(),
        ..request_spec(rig.now, "idempotent")
    });
    let failed = send_targets(&first)[0].to_owned();
    let second = rig.end_attempt(1, 0, Outcome::WorkerError);
    assert_eq!(send_targets(&second).len(), 1, "a prefill may always be retried");
    rig.end_attempt(1, 1, Outcome::WorkerError);
    rig.end_attempt(1, 2, Outcome::WorkerError);
    // Both prefill workers failed; neither caches the session, so nothing binds the next prompt to the first one.
    rig.pass_time(10 * SECOND);
    let next = rig.receive(RequestSpec {
        request: RequestId(2),
        session: session(),
        ..request_spec(rig.now, "idempotent")
    });
    assert_eq!(send_targets(&next).len(), 1, "{failed}");
}

#[test]
fn while_near_decode_workers_time_out_others_are_used_more() {
    // Found in an incident: two cells' decode workers were congested for seconds beside a third cell's that idled,
    // since nothing reported the congestion and KV caches stayed near.
    let mut rig = Rig::new(settings());
    let cell = |worker: &str| u64::from(["r2", "w4", "w5", "w6"].contains(&worker));
    let names = ["r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6"];
    rig.update_endpoints(
        UpdateKind::Restored,
        names.iter().map(|w| endpoint(w, cell(w), WorkerStatus::Ready, None)).collect(),
    );
    let mut id = 0;
    // Sends requests; the number of those that are prefilled in the first cell and stay there for their decode.
    let mut count_staying = |rig: &mut Rig, times_out: bool| {
        let mut stayed = 0;
        for _ in 0..40 {
            id += 1;
            let prefill_worker = send_targets(&rig.request(id, "idempotent"))[0].to_owned();
            let decode_worker =
                send_targets(&rig.end_attempt(id, 0, Outcome::PrefillCompleted))[0].to_owned();
            let is_near = cell(&prefill_worker) == 0 && cell(&decode_worker) == 0;
            stayed += u32::from(is_near);
            // One after the other times out, each of them seldom enough not to be ejected itself.
            if times_out && is_near && stayed % 2 == 0 {
                rig.end_attempt(id, 1, Outcome::TimedOut);
                rig.end_attempt(id, 2, Outcome::Completed);
            } else {
                rig.end_attempt(id, 1, Outcome::Completed);
            }
        }
        stayed
    };
    let before = count_staying(&mut rig, false);
    count_staying(&mut rig, true);
    let after = count_staying(&mut rig, false);
    assert!((1..=before / 2).contains(&after), "{before} near before, {after} after");
}

#[test]
fn decode_workers_that_can_prefill_stand_in_for_unreachable_prefill_workers() {
    // Found in an incident: every prefill worker died while it was still listed, and all requests were sent to them.
    let mut rig = Rig::fleet(Settings { decode_can_prefill: true, ..settings() });
    let mut to_decode_workers = 0;
    for id in 1..30 {
        let mut actions = rig.request(id, "idempotent");
        for attempt in 0..5 {
            match send_targets(&actions).first().copied() {
                Some(w) if w.starts_with('r') => {
                    actions = rig.end_attempt(id, attempt, Outcome::ConnectFailed)
                }
                Some(_) => {
                    to_decode_workers += 1;
                    rig.end_attempt(id, attempt, Outcome::Completed);
                    break;
                }
                None => break,
            }
        }
        rig.now += 20 * MS;
    }
    assert!(to_decode_workers >= 20, "only {to_decode_workers} of 29 were answered by decode workers");
}

#[test]
fn unified_workers_take_short_prompts_and_prefill_workers_long_ones() {
    let mut rig = Rig::new(settings());
    let list = ["r1", "m1"].map(|w| endpoint(w, 0, WorkerStatus::Ready, None)).to_vec();
    rig.update_endpoints(UpdateKind::Snapshot, list);
    let of = |id, prompt_tokens, now| RequestSpec {
        request: RequestId(id),
        prompt_tokens,
        ..request_spec(now, "idempotent")
    };
    assert_eq!(send_targets(&rig.receive(of(1, 1_000, rig.now))), ["m1"]);
    assert_eq!(send_targets(&rig.receive(of(2, 9_000, rig.now))), ["r1"]);
    assert_eq!(
        send_targets(&rig.end_attempt(2, 0, Outcome::PrefillCompleted)),
        ["m1"],
        "a unified worker decodes what was prefilled elsewhere"
    );
    assert_eq!(send_targets(&rig.receive(of(3, 500, rig.now))), ["m1"]);
}

/// Where nothing reports load, one stream of this router at the near decode worker was taken for one of every router, and
/// KV caches left their cell for nothing.
#[test]
fn one_stream_at_the_near_decode_worker_is_no_reason_to_leave_the_cell() {
    let mut near = 0;
    for seed in 0..40 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let list = [("r1", 0), ("w1", 0), ("r2", 1), ("w2", 1)];
        rig.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        for id in 1..=4 {
            rig.request(id, "idempotent");
            rig.end_attempt(id, 0, Outcome::PrefillCompleted);
            let [.., prefill_worker, decode_worker] = send_targets(&rig.actions)[..] else {
                panic!("two attempts a request")
            };
            near += usize::from(prefill_worker[1..] == decode_worker[1..]);
            rig.handle(Event::StreamStarted {
                request: RequestId(id),
                attempt: AttemptIndex(1),
                elapsed: 20 * MS,
            });
        }
    }
    assert!(near >= 150, "{near} of 160 KV caches stayed in their cell");
}

/// Where health checks bring load reports, one precedes a prefill; its report decides, its silence does not block.
#[test]
fn a_health_check_precedes_a_prefill_and_its_silence_does_not_block() {
    let set =
        Settings { health_checks_allowed: true, load_reporting: LoadReporting::Responses, ..settings() };
    let mut rig = Rig::fleet(set);
    let received = rig.request(1, "idempotent");
    assert_eq!(received.iter().filter(|a| matches!(a, Action::CheckHealth { .. })).count(), 1);
    assert!(send_targets(&received).is_empty());
    assert_eq!(send_targets(&rig.pass_time(600 * MS)).len(), 1, "sent all the same");
    let Some(Action::CheckHealth { worker }) =
        received.into_iter().find(|a| matches!(a, Action::CheckHealth { .. }))
    else {
        panic!("no health check")
    };
    let report = Some(LoadReport { queued_tokens: Some(1.0), ..LoadReport::default() });
    rig.handle(Event::HealthChecked { worker: worker.clone(), outcome: Outcome::Completed, report });
    let next = rig.request(2, "idempotent");
    assert!(
        send_targets(&next).len() == 1
            || next.iter().any(|a| *a != Action::CheckHealth { worker: worker.clone() })
    );
}

/// Gossip about a worker's load moves prompts elsewhere; messages that make no sense change nothing.
#[test]
fn gossiped_load_counts_and_odd_messages_are_ignored() {
    let set = Settings { gossip_allowed: true, ..settings() };
    let third = |mut rig: Rig| {
        rig.update_endpoints(UpdateKind::Delta, vec![endpoint("r3", 1, WorkerStatus::Ready, None)]);
        rig
    };
    let mut rig = third(Rig::fleet(set.clone()));
    let with = |now| RequestSpec {
        prefix: Some(Arc::from("p")),
        prefix_tokens: 1_900,
        ..request_spec(now, "idempotent")
    };
    let received = rig.receive(with(rig.now));
    let gossip = received.iter().find_map(|a| match a {
        Action::Gossip { to: None, payload } => Some(payload.clone()),
        _ => None,
    });
    let payload = gossip.expect("each prefill is gossiped");
    let mut peer = third(Rig::fleet(set));
    peer.handle(Event::GossipReceived { from: 1, payload: vec![] });
    peer.handle(Event::GossipReceived { from: 1, payload: vec![0xff; 300] });
    for _ in 0..100 {
        peer.handle(Event::GossipReceived { from: 1, payload: payload.clone() });
    }
    let elsewhere = peer.receive(with(peer.now));
    assert_ne!(
        send_targets(&received),
        send_targets(&elsewhere),
        "the home's queue is much longer than the mean"
    );
}

/// One decode worker near many prefill workers keeps only its share of their KV caches, or it alone gets everything.
#[test]
fn a_lone_decode_worker_near_many_prefill_workers_does_not_get_all_their_caches() {
    let mut near = 0;
    for seed in 0..40 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let list = [("r1", 0), ("r2", 0), ("r3", 0), ("w1", 0), ("w2", 1), ("w3", 1)];
        rig.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| endpoint(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        rig.request(seed, "idempotent");
        near += usize::from(send_targets(&rig.end_attempt(seed, 0, Outcome::PrefillCompleted)) == ["w1"]);
    }
    assert!((5..25).contains(&near), "{near} of 40 near");
}

/// Routers that know nothing yet must not all choose alike, or one worker gets the whole fleet's work.
#[test]
fn routers_that_know_nothing_choose_differently_among_equal_decode_workers() {
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..16 {
        let mut rig = Rig { policy: Policy::new(settings(), seed), ..Rig::new(settings()) };
        let list = [("r1", 0), ("w1", 1), ("w2", 1), ("w3", 1)];
        let entries = list.iter().map(|(w, cell)| endpoint(w, *cell, WorkerStatus::Ready, None)).collect();
        rig.update_endpoints(UpdateKind::Restored, entries);
        rig.request(1, "idempotent");
        chosen.insert(send_targets(&rig.end_attempt(1, 0, Outcome::PrefillCompleted))[0].to_owned());
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// Guards against slow links: latencies learned over seconds kept sending KV caches out of the cell, where they timed out,
/// although the near decode worker had capacity.
#[test]
fn after_a_remote_cache_was_late_the_near_decode_worker_takes_all() {
    let mut rig = Rig::fleet(settings());
    let decode = |rig: &mut Rig, id: u64| {
        let prefill_worker = send_targets(&rig.request(id, "idempotent"))[0].to_owned();
        let decode_worker = send_targets(&rig.end_attempt(id, 0, Outcome::PrefillCompleted))[0].to_owned();
        (prefill_worker == "r1").then_some(decode_worker)
    };
    let far = (1..200).find(|id| {
        let decode_worker = decode(&mut rig, *id);
        let far = decode_worker.is_some_and(|w| w != "w1");
        if !far {
            rig.end_attempt(*id, 1, Outcome::Completed);
        }
        far
    });
    let again = rig.end_attempt(
        far.expect("some KV caches leave the cell of the lone decode worker"),
        1,
        Outcome::TimedOut,
    );
    assert_eq!(send_targets(&again), ["w1"], "the KV cache still waits at r1");
    for id in 200..230 {
        let decode_worker = decode(&mut rig, id);
        assert!(decode_worker.is_none_or(|w| w == "w1"));
        rig.end_attempt(id, 1, Outcome::Completed);
    }
}
