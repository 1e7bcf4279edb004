//! What the module begins, lets wait and refuses, and how long it waits for a read.

#[path = "support/rig.rs"]
mod rig;

use llm_router::interface::*;
use rig::*;
use std::sync::Arc;

#[test]
fn reads_beyond_their_part_of_the_aim_wait_here_and_are_refused_in_time() {
    let mut rig = Rig::fleet(settings());
    // Teach a slow pace: 2,000 tokens take 600 ms.
    for id in 1..20 {
        rig.ask(id, "safe");
        rig.now += 600 * MS;
        rig.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: Outcome::PrefillCompleted,
            elapsed: 600 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.end(id, 1, Outcome::Completed);
    }
    let before = sends(&rig.log).len();
    for id in 100..120 {
        rig.ask(id, "safe");
    }
    let out = sends(&rig.log).len() - before;
    assert!(out <= 4, "{out} reads out at two slow readers");
    let asked = rig.now;
    rig.pass(SECOND);
    let refused = finals(&rig.log);
    assert!(refused >= 14, "only {refused} were told within {} us", rig.now - asked);
    let advice = |a: &Action| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t > 0);
    assert!(rig.log.iter().filter(|a| matches!(a, Action::Reject { .. })).all(advice));
}

/// On a quiet day no session is refused, whatever its prompts are: each turn ends before the next one comes.
#[test]
fn no_session_is_refused_while_there_is_room() {
    let mut rig = Rig::fleet(settings());
    for id in 0..600 {
        let session = id % 40;
        let prompt_tokens = 200 + 300 * session + 100 * (id / 40);
        let ask = RequestSpec {
            request: RequestId(id),
            session: Some(Arc::from(format!("s{session}"))),
            prompt_tokens,
            ..ask(rig.now, ["safe", "once", "cell"][session as usize % 3])
        };
        rig.ask_with(ask);
        rig.pass(20 * MS);
        for (attempt, outcome) in [(0, Outcome::PrefillCompleted), (1, Outcome::Completed)] {
            rig.event(Event::AttemptEnded(AttemptEnd {
                request: RequestId(id),
                attempt: AttemptIndex(attempt),
                outcome,
                elapsed: prompt_tokens * 20,
                request_finished: outcome == Outcome::Completed,
                cached_tokens: 0,
                report: None,
            }));
        }
    }
    assert_eq!(finals(&rig.log), 0, "refused or failed");
    assert_eq!(sends(&rig.log).len(), 1200);
}

/// Guards against an admission that singles out long prompts: one that takes longer than its aim by itself is late
/// wherever it goes, which is no reason to refuse it while a reader has room for it.
#[test]
fn a_long_prompt_is_not_refused_while_there_is_room() {
    let mut rig = Rig::fleet(settings());
    // Teach the pace: 2,000 tokens take 100 ms.
    for id in 1..40 {
        rig.ask(id, "safe");
        rig.now += 100 * MS;
        rig.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: Outcome::PrefillCompleted,
            elapsed: 100 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.end(id, 1, Outcome::Completed);
    }
    // A short read is out at each reader.
    for id in 100..106 {
        rig.ask(id, "safe");
    }
    let long = ask(rig.now, "safe");
    let long = RequestSpec {
        request: RequestId(200),
        prompt_tokens: 60_000,
        deadline: rig.now + 8 * SECOND,
        ..long
    };
    let mut actions = rig.ask_with(long);
    actions.extend(rig.pass(100 * MS));
    for id in 100..106 {
        actions.extend(rig.end(id, 0, Outcome::PrefillCompleted));
    }
    let refused = |a: &Action| matches!(a, Action::Reject { request: RequestId(200), .. });
    let sent = |a: &Action| matches!(a, Action::Send { request: RequestId(200), .. });
    assert!(!actions.iter().any(refused) && actions.iter().any(sent), "{actions:?}");
}

#[test]
fn what_cannot_begin_before_its_client_leaves_is_refused_at_once() {
    // Found in an incident: clients left sooner than a read takes, and every read was wasted.
    let mut rig = Rig::fleet(settings());
    for id in 1..5 {
        rig.ask(id, "safe");
        rig.now += 300 * MS;
        rig.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: Outcome::PrefillCompleted,
            elapsed: 300 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.end(id, 1, Outcome::Completed);
    }
    // One request of ours is out, so this one isn't needed to learn from.
    rig.ask(50, "safe");
    let hasty = RequestSpec { request: RequestId(51), deadline: rig.now + 150 * MS, ..ask(rig.now, "safe") };
    let actions = rig.ask_with(hasty);
    assert_eq!((sends(&actions).len(), finals(&actions)), (0, 1), "{actions:?}");
}

#[test]
fn beyond_its_share_a_tenant_is_refused_when_others_wait() {
    let tenants = vec![Tenant { name: "small".into(), quota_per_s: 2.0 }];
    let mut rig = Rig::fleet(Settings { tenants, ..settings() });
    for id in 1..5 {
        rig.ask(id, "safe");
        rig.now += 900 * MS;
        rig.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: Outcome::PrefillCompleted,
            elapsed: 900 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.end(id, 1, Outcome::Completed);
    }
    for id in 10..40 {
        let tenant = Some("small".to_owned());
        rig.ask_with(RequestSpec { request: RequestId(id), tenant, ..ask(rig.now, "safe") });
    }
    let refused = finals(&rig.log);
    assert!(refused >= 10, "only {refused} of thirty at once, far past the share, were refused");
}

/// A hundred routers each see a few requests of a tenant: chance arrivals are no excess.
#[test]
fn a_few_requests_at_once_are_not_over_share_at_one_of_many_routers() {
    let tenants = vec![Tenant { name: "small".into(), quota_per_s: 2.0 }];
    let mut rig = Rig::fleet(Settings { replica_count: 200, tenants, ..settings() });
    for id in 1..6 {
        let tenant = Some("small".to_owned());
        rig.ask_with(RequestSpec { request: RequestId(id), tenant, ..ask(rig.now, "safe") });
    }
    assert_eq!(finals(&rig.log), 0);
}

/// Found on the engines deployment: prompts so long to read that whoever gives a read up comes too late anyway, while
/// the reader goes on with it.
#[test]
fn a_read_is_waited_for_where_another_one_would_be_late_too() {
    let timeout = |first_token_objective_per_1000_tokens, reports| {
        let classes =
            vec![Class { first_token_objective_per_1000_tokens, ..class("safe", Idempotency::Idempotent) }];
        let mut rig = Rig::fleet(Settings { classes, load_reporting: reports, ..settings() });
        let deadline = rig.now + 8 * SECOND;
        let sent = rig.ask_with(RequestSpec { prompt_tokens: 8_000, deadline, ..ask(rig.now, "safe") });
        sent.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    // 8,000 tokens grant 1.2 s more: after two thirds of the aim, another whole read comes too late for it.
    assert_eq!(timeout(150 * MS, LoadReporting::None), Some(8 * SECOND - 1_200 * MS));
    // Of an aim of 1.08 s another read takes 80 ms.
    assert_eq!(timeout(10 * MS, LoadReporting::None), Some(720 * MS));
    // Where readers tell of their queues, a long wait tells of a reader that hangs.
    assert_eq!(timeout(150 * MS, LoadReporting::Responses), Some(2_200 * MS / 3));
}

/// Found in ticket5632: where every read takes longer than its time-out, readers read for nobody. The time-out's floor
/// has to give way, too, and come back with the reads.
#[test]
fn reads_given_up_make_the_next_one_wait_longer_until_reads_end_again() {
    let mut rig = Rig::fleet(settings());
    let timeout = |rig: &mut Rig, id, outcome| {
        let request = RequestId(id);
        let sent =
            rig.ask_with(RequestSpec { request, deadline: rig.now + 60 * SECOND, ..ask(rig.now, "safe") });
        let timeouts = sent.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        rig.end(id, 0, outcome);
        rig.event(Event::ClientDisconnected { request });
        timeouts.unwrap()
    };
    let floor = timeout(&mut rig, 1, Outcome::PrefillCompleted);
    assert_eq!(timeout(&mut rig, 2, Outcome::TimedOut), floor);
    assert!(timeout(&mut rig, 3, Outcome::TimedOut) >= 2 * floor);
    assert!(timeout(&mut rig, 4, Outcome::PrefillCompleted) >= 4 * floor);
    timeout(&mut rig, 5, Outcome::PrefillCompleted);
    assert_eq!(timeout(&mut rig, 6, Outcome::PrefillCompleted), floor);
}

/// Found in a release that left two of eight writers warm: states went from one jammed writer to the next until their
/// clients left, and made all others late.
#[test]
fn a_late_state_that_a_writer_did_not_begin_in_time_is_given_up_at_once() {
    for (waited, tried_again) in [(200 * MS, true), (SECOND, false)] {
        let mut rig = Rig::fleet(settings());
        rig.ask(1, "safe");
        rig.end(1, 0, Outcome::PrefillCompleted);
        rig.now += waited;
        let next = rig.end(1, 1, Outcome::TimedOut);
        assert_eq!(sends(&next).len(), usize::from(tried_again), "after {waited} us");
        assert_eq!(finals(&next), usize::from(!tried_again), "after {waited} us");
        assert_eq!(next.contains(&Action::ReleaseCache { request: RequestId(1) }), !tried_again);
    }
    // Late for another reason, its state is still worth a writer.
    let mut rig = Rig::fleet(settings());
    rig.ask(1, "safe");
    rig.now += SECOND;
    assert_eq!(sends(&rig.end(1, 0, Outcome::PrefillCompleted)).len(), 1);
}
