//! Where the module sends: the choice of the reader and of the writer.

#[path = "support/rig.rs"]
mod rig;

use llm_router::Policy;
use llm_router::interface::*;
use rig::*;
use std::sync::Arc;

#[test]
fn reads_then_writes_near_the_reader() {
    let mut rig = Rig::fleet(settings());
    let read = rig.ask(1, "safe");
    let reader = sends(&read)[0].to_owned();
    let write = rig.end(1, 0, Outcome::PrefillCompleted);
    let writer = sends(&write)[0];
    assert_eq!(writer == "w1", reader == "r1", "{reader} then {writer}");
    assert_eq!(finals(&rig.end(1, 1, Outcome::Completed)), 0);
}

#[test]
fn a_prefix_has_the_same_home_at_every_router_and_stays_there() {
    let mut homes = Vec::new();
    for index in 0..2 {
        let mut rig = Rig::fleet(Settings { replica_index: index, ..settings() });
        let with =
            |now| RequestSpec { prefix: Some(Arc::from("p")), prefix_tokens: 1_900, ..ask(now, "safe") };
        let first = rig.ask_with(with(rig.now));
        rig.end(0, 0, Outcome::PrefillCompleted);
        rig.end(0, 1, Outcome::Completed);
        let again = rig.ask_with(RequestSpec { request: RequestId(2), ..with(rig.now) });
        assert_eq!(sends(&first), sends(&again));
        homes.push(sends(&first)[0].to_owned());
    }
    assert_eq!(homes[0], homes[1]);
}

/// Found on the engines deployment: one text of hundreds drew a tenth of all requests to one of a hundred readers.
#[test]
fn in_a_large_fleet_a_text_has_several_homes_and_a_session_stays_at_one() {
    let homes_of = |readers: usize| {
        // Each turn comes to another router, which has seen nothing of the text.
        let home = |turn: u64| {
            let set = settings();
            let mut rig = Rig { policy: Policy::new(set.clone(), turn), ..Rig::new(set) };
            let named = (0..readers).map(|i| format!("r{i}")).chain(["w1".to_owned()]);
            let list = named.map(|name| entry(&name, 0, WorkerStatus::Ready, None)).collect();
            rig.list(UpdateKind::Restored, list);
            let (session, prefix) = (Some(format!("s{}", turn / 2).as_str().into()), Some("p".into()));
            let sent =
                rig.ask_with(RequestSpec { session, prefix, prefix_tokens: 1_800, ..ask(rig.now, "safe") });
            sent.iter().find_map(|a| match a {
                Action::Send { worker, .. } => Some(worker.clone()),
                _ => None,
            })
        };
        let homes: Vec<WorkerId> = (0..40).map(|turn| home(turn).unwrap()).collect();
        assert!(homes.chunks(2).all(|turns| turns[0] == turns[1]), "{homes:?}");
        homes.iter().collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!([20, 100, 200].map(homes_of), [1, 2, 4]);
}

#[test]
fn a_session_is_read_where_it_was_read_before() {
    let mut rig = Rig::fleet(settings());
    let mut readers = Vec::new();
    for id in 1..6 {
        let session = Some(Arc::from("s"));
        let read = rig.ask_with(RequestSpec { request: RequestId(id), session, ..ask(rig.now, "safe") });
        readers.push(sends(&read)[0].to_owned());
        // Another request keeps the other reader's load in play.
        rig.ask(100 + id, "safe");
        rig.end(id, 0, Outcome::PrefillCompleted);
        rig.end(id, 1, Outcome::Completed);
        rig.end(100 + id, 0, Outcome::PrefillCompleted);
        rig.end(100 + id, 1, Outcome::Completed);
    }
    assert!(readers.iter().all(|r| *r == readers[0]), "{readers:?}");
}

#[test]
fn a_failed_read_is_not_credited() {
    let mut rig = Rig::fleet(settings());
    let session = || Some(Arc::from("s"));
    let first =
        rig.ask_with(RequestSpec { request: RequestId(1), session: session(), ..ask(rig.now, "safe") });
    let failed = sends(&first)[0].to_owned();
    let second = rig.end(1, 0, Outcome::WorkerError);
    assert_eq!(sends(&second).len(), 1, "a reading attempt may always be followed by another");
    rig.end(1, 1, Outcome::WorkerError);
    rig.end(1, 2, Outcome::WorkerError);
    // Both readers failed; neither holds the session, so nothing binds the next prompt to the first one.
    rig.pass(10 * SECOND);
    let next =
        rig.ask_with(RequestSpec { request: RequestId(2), session: session(), ..ask(rig.now, "safe") });
    assert_eq!(sends(&next).len(), 1, "{failed}");
}

#[test]
fn while_near_writers_hang_the_flow_goes_to_those_that_do_not() {
    // Found in an incident: two cells' writers jammed for seconds beside a third cell's that idled, since nothing
    // reported the jam and states were kept near.
    let mut rig = Rig::new(settings());
    let cell = |worker: &str| u64::from(["r2", "w4", "w5", "w6"].contains(&worker));
    let names = ["r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6"];
    rig.list(
        UpdateKind::Restored,
        names.iter().map(|w| entry(w, cell(w), WorkerStatus::Ready, None)).collect(),
    );
    let mut id = 0;
    // Requests read in the first cell, and how many of them stay there to be written.
    let mut near = |rig: &mut Rig, hang: bool| {
        let mut stayed = 0;
        for _ in 0..40 {
            id += 1;
            let read_at = sends(&rig.ask(id, "safe"))[0].to_owned();
            let wrote_at = sends(&rig.end(id, 0, Outcome::PrefillCompleted))[0].to_owned();
            let is_near = cell(&read_at) == 0 && cell(&wrote_at) == 0;
            stayed += u32::from(is_near);
            // One after the other hangs, each of them seldom enough not to be set aside itself.
            if hang && is_near && stayed % 2 == 0 {
                rig.end(id, 1, Outcome::TimedOut);
                rig.end(id, 2, Outcome::Completed);
            } else {
                rig.end(id, 1, Outcome::Completed);
            }
        }
        stayed
    };
    let before = near(&mut rig, false);
    near(&mut rig, true);
    let after = near(&mut rig, false);
    assert!((1..=before / 2).contains(&after), "{before} near before, {after} after");
}

#[test]
fn unreachable_readers_are_left_to_writers_that_read() {
    // Found in an incident: every reader died while the list still had them, and all was sent to them.
    let mut rig = Rig::fleet(Settings { decode_can_prefill: true, ..settings() });
    let mut to_writers = 0;
    for id in 1..30 {
        let mut actions = rig.ask(id, "safe");
        for attempt in 0..5 {
            match sends(&actions).first().copied() {
                Some(w) if w.starts_with('r') => actions = rig.end(id, attempt, Outcome::ConnectFailed),
                Some(_) => {
                    to_writers += 1;
                    rig.end(id, attempt, Outcome::Completed);
                    break;
                }
                None => break,
            }
        }
        rig.now += 20 * MS;
    }
    assert!(to_writers >= 20, "only {to_writers} of 29 were answered by writers");
}

#[test]
fn mixed_workers_take_short_prompts_unread_and_long_ones_go_to_readers() {
    let mut rig = Rig::new(settings());
    let list = ["r1", "m1"].map(|w| entry(w, 0, WorkerStatus::Ready, None)).to_vec();
    rig.list(UpdateKind::Snapshot, list);
    let of =
        |id, prompt_tokens, now| RequestSpec { request: RequestId(id), prompt_tokens, ..ask(now, "safe") };
    assert_eq!(sends(&rig.ask_with(of(1, 1_000, rig.now))), ["m1"]);
    assert_eq!(sends(&rig.ask_with(of(2, 9_000, rig.now))), ["r1"]);
    assert_eq!(
        sends(&rig.end(2, 0, Outcome::PrefillCompleted)),
        ["m1"],
        "a mixed worker answers what was read"
    );
    assert_eq!(sends(&rig.ask_with(of(3, 500, rig.now))), ["m1"]);
}

/// Where nothing tells of load, one stream of ours at the near writer was taken for one of every router, and states
/// left their cell for nothing.
#[test]
fn one_stream_at_the_near_writer_is_no_reason_to_leave_the_cell() {
    let mut near = 0;
    for seed in 0..40 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let list = [("r1", 0), ("w1", 0), ("r2", 1), ("w2", 1)];
        rig.list(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| entry(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        for id in 1..=4 {
            rig.ask(id, "safe");
            rig.end(id, 0, Outcome::PrefillCompleted);
            let [.., reader, writer] = sends(&rig.log)[..] else { panic!("two sends a request") };
            near += usize::from(reader[1..] == writer[1..]);
            rig.event(Event::StreamStarted {
                request: RequestId(id),
                attempt: AttemptIndex(1),
                elapsed: 20 * MS,
            });
        }
    }
    assert!(near >= 150, "{near} of 160 states stayed in their cell");
}

/// Where probes bring reports the reader is asked first; its answer decides, its silence does not block.
#[test]
fn a_reader_is_probed_before_a_read_and_silence_does_not_block() {
    let set =
        Settings { health_checks_allowed: true, load_reporting: LoadReporting::Responses, ..settings() };
    let mut rig = Rig::fleet(set);
    let asked = rig.ask(1, "safe");
    assert_eq!(asked.iter().filter(|a| matches!(a, Action::CheckHealth { .. })).count(), 1);
    assert!(sends(&asked).is_empty());
    assert_eq!(sends(&rig.pass(600 * MS)).len(), 1, "sent all the same");
    let Some(Action::CheckHealth { worker }) =
        asked.into_iter().find(|a| matches!(a, Action::CheckHealth { .. }))
    else {
        panic!("no probe")
    };
    let report = Some(LoadReport { queued_tokens: Some(1.0), ..LoadReport::default() });
    rig.event(Event::HealthChecked { worker: worker.clone(), outcome: Outcome::Completed, report });
    let next = rig.ask(2, "safe");
    assert!(
        sends(&next).len() == 1 || next.iter().any(|a| *a != Action::CheckHealth { worker: worker.clone() })
    );
}

/// What peers tell of a reader's load moves prompts elsewhere; messages that make no sense change nothing.
#[test]
fn told_load_counts_and_odd_messages_are_ignored() {
    let set = Settings { gossip_allowed: true, ..settings() };
    let third = |mut rig: Rig| {
        rig.list(UpdateKind::Delta, vec![entry("r3", 1, WorkerStatus::Ready, None)]);
        rig
    };
    let mut rig = third(Rig::fleet(set.clone()));
    let with = |now| RequestSpec { prefix: Some(Arc::from("p")), prefix_tokens: 1_900, ..ask(now, "safe") };
    let read = rig.ask_with(with(rig.now));
    let told = read.iter().find_map(|a| match a {
        Action::Gossip { to: None, payload } => Some(payload.clone()),
        _ => None,
    });
    let payload = told.expect("each send is told");
    let mut peer = third(Rig::fleet(set));
    peer.event(Event::GossipReceived { from: 1, payload: vec![] });
    peer.event(Event::GossipReceived { from: 1, payload: vec![0xff; 300] });
    for _ in 0..100 {
        peer.event(Event::GossipReceived { from: 1, payload: payload.clone() });
    }
    let elsewhere = peer.ask_with(with(peer.now));
    assert_ne!(sends(&read), sends(&elsewhere), "the home has much more waiting than the mean");
}

/// One writer beside many readers: near is kept only as far as its part goes, or it alone gets everything.
#[test]
fn a_lone_writer_beside_many_readers_is_not_given_all_their_states() {
    let mut near = 0;
    for seed in 0..40 {
        let set = Settings { replica_count: 100, replica_index: 5 * seed as u32, ..settings() };
        let mut rig = Rig { policy: Policy::new(set.clone(), seed), ..Rig::new(set) };
        let list = [("r1", 0), ("r2", 0), ("r3", 0), ("w1", 0), ("w2", 1), ("w3", 1)];
        rig.list(
            UpdateKind::Restored,
            list.iter().map(|(w, c)| entry(w, *c, WorkerStatus::Ready, None)).collect(),
        );
        rig.ask(seed, "safe");
        near += usize::from(sends(&rig.end(seed, 0, Outcome::PrefillCompleted)) == ["w1"]);
    }
    assert!((5..25).contains(&near), "{near} of 40 near");
}

/// Routers with empty views must not all choose alike, or one worker gets the whole fleet's work.
#[test]
fn equal_writers_are_chosen_differently_by_routers_that_know_nothing() {
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..16 {
        let mut rig = Rig { policy: Policy::new(settings(), seed), ..Rig::new(settings()) };
        let list = [("r1", 0), ("w1", 1), ("w2", 1), ("w3", 1)];
        let entries = list.iter().map(|(w, cell)| entry(w, *cell, WorkerStatus::Ready, None)).collect();
        rig.list(UpdateKind::Restored, entries);
        rig.ask(1, "safe");
        chosen.insert(sends(&rig.end(1, 0, Outcome::PrefillCompleted))[0].to_owned());
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// Guards against slow links: paces learned over seconds kept sending states out of the cell, where they timed
/// out, though the near writer had room.
#[test]
fn after_a_state_from_afar_was_late_the_near_writer_takes_all() {
    let mut rig = Rig::fleet(settings());
    let write = |rig: &mut Rig, id: u64| {
        let reader = sends(&rig.ask(id, "safe"))[0].to_owned();
        let writer = sends(&rig.end(id, 0, Outcome::PrefillCompleted))[0].to_owned();
        (reader == "r1").then_some(writer)
    };
    let far = (1..200).find(|id| {
        let writer = write(&mut rig, *id);
        let far = writer.is_some_and(|w| w != "w1");
        if !far {
            rig.end(*id, 1, Outcome::Completed);
        }
        far
    });
    let again = rig.end(far.expect("some states leave the cell of the lone writer"), 1, Outcome::TimedOut);
    assert_eq!(sends(&again), ["w1"], "the state still waits at r1");
    for id in 200..230 {
        let writer = write(&mut rig, id);
        assert!(writer.is_none_or(|w| w == "w1"));
        rig.end(id, 1, Outcome::Completed);
    }
}
