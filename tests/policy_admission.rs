//! Admission of requests by the policy: starting, queueing and rejecting them, and the timeouts of prefills.

#[path = "support/policy_harness.rs"]
mod policy_harness;

use llm_router::interface::*;
use policy_harness::*;
use std::sync::Arc;

#[test]
fn prefills_beyond_their_share_of_the_objective_are_queued_and_then_rejected() {
    let mut harness = PolicyHarness::fleet(settings());
    // The policy learns slow prefills: 2,000 tokens take 600 ms.
    for id in 1..20 {
        harness.request(id, "idempotent");
        harness.now += 600 * MS;
        harness.end_attempt_after(id, 0, Outcome::PrefillCompleted, 600 * MS);
        harness.end_attempt(id, 1, Outcome::Completed);
    }
    let sent_before = send_targets(&harness.actions).len();
    for id in 100..120 {
        harness.request(id, "idempotent");
    }
    let sent = send_targets(&harness.actions).len() - sent_before;
    assert!(sent <= 4, "{sent} prefills in flight at two slow workers");
    let received_at = harness.now;
    harness.pass_time(SECOND);
    let rejected = local_reply_count(&harness.actions);
    assert!(rejected >= 14, "only {rejected} were rejected within {} us", harness.now - received_at);
    let has_retry_after = |a: &Action| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t > 0);
    assert!(harness.actions.iter().filter(|a| matches!(a, Action::Reject { .. })).all(has_retry_after));
}

/// Each request ends before the next one arrives, so none is rejected, whatever its session, class and prompt
/// length.
#[test]
fn no_session_is_rejected_while_there_is_capacity() {
    let mut harness = PolicyHarness::fleet(settings());
    for id in 0..600 {
        let session = id % 40;
        let prompt_tokens = 200 + 300 * session + 100 * (id / 40);
        let spec = RequestSpec {
            request: RequestId(id),
            session: Some(Arc::from(format!("s{session}"))),
            prompt_tokens,
            ..request_spec(harness.now, ["idempotent", "non-idempotent", "cell-keyed"][session as usize % 3])
        };
        harness.receive(spec);
        harness.pass_time(20 * MS);
        for (attempt, outcome) in [(0, Outcome::PrefillCompleted), (1, Outcome::Completed)] {
            harness.end_attempt_after(id, attempt, outcome, prompt_tokens * 20);
        }
    }
    assert_eq!(local_reply_count(&harness.actions), 0, "rejected or failed");
    assert_eq!(send_targets(&harness.actions).len(), 1200);
}

/// Guards against admission control that rejects all long prompts. A prompt whose unloaded latency exceeds
/// its objective is late at any worker, and should still be served while a prefill worker has capacity for
/// it.
#[test]
fn a_long_prompt_is_not_rejected_while_there_is_capacity() {
    let mut harness = PolicyHarness::fleet(settings());
    // The policy learns the latency: 2,000 tokens take 100 ms.
    for id in 1..40 {
        harness.request(id, "idempotent");
        harness.now += 100 * MS;
        harness.end_attempt_after(id, 0, Outcome::PrefillCompleted, 100 * MS);
        harness.end_attempt(id, 1, Outcome::Completed);
    }
    // A short prefill is in flight at each worker.
    for id in 100..106 {
        harness.request(id, "idempotent");
    }
    let ordinary = request_spec(harness.now, "idempotent");
    let long = RequestSpec {
        request: RequestId(200),
        prompt_tokens: 60_000,
        deadline: harness.now + 8 * SECOND,
        ..ordinary
    };
    let mut actions = harness.receive(long);
    actions.extend(harness.pass_time(100 * MS));
    for id in 100..106 {
        actions.extend(harness.end_attempt(id, 0, Outcome::PrefillCompleted));
    }
    let is_rejection = |a: &Action| matches!(a, Action::Reject { request: RequestId(200), .. });
    let is_send = |a: &Action| matches!(a, Action::Send { request: RequestId(200), .. });
    assert!(!actions.iter().any(is_rejection) && actions.iter().any(is_send), "{actions:?}");
}

/// In an incident, clients gave up sooner than a prefill takes, and every prefill was wasted.
#[test]
fn a_request_that_cannot_start_before_its_deadline_is_rejected_immediately() {
    let mut harness = PolicyHarness::fleet(settings());
    for id in 1..5 {
        harness.request(id, "idempotent");
        harness.now += 300 * MS;
        harness.end_attempt_after(id, 0, Outcome::PrefillCompleted, 300 * MS);
        harness.end_attempt(id, 1, Outcome::Completed);
    }
    // With another request in flight, this one is not admitted just to learn latencies from it.
    harness.request(50, "idempotent");
    let short_deadline = RequestSpec {
        request: RequestId(51),
        deadline: harness.now + 150 * MS,
        ..request_spec(harness.now, "idempotent")
    };
    let actions = harness.receive(short_deadline);
    assert_eq!((send_targets(&actions).len(), local_reply_count(&actions)), (0, 1), "{actions:?}");
}

#[test]
fn requests_over_quota_are_rejected_when_there_is_no_capacity() {
    let tenants = vec![Tenant { name: "small".into(), quota_per_s: 2.0 }];
    let mut harness = PolicyHarness::fleet(Settings { tenants, ..settings() });
    for id in 1..5 {
        harness.request(id, "idempotent");
        harness.now += 900 * MS;
        harness.end_attempt_after(id, 0, Outcome::PrefillCompleted, 900 * MS);
        harness.end_attempt(id, 1, Outcome::Completed);
    }
    for id in 10..40 {
        let tenant = Some("small".to_owned());
        harness.receive(RequestSpec {
            request: RequestId(id),
            tenant,
            ..request_spec(harness.now, "idempotent")
        });
    }
    let rejected = local_reply_count(&harness.actions);
    assert!(rejected >= 10, "only {rejected} of 30 simultaneous requests, far over quota, were rejected");
}

/// With hundreds of routers, each router's share of a quota is tiny, and a few requests at once may arrive at
/// one router by chance.
#[test]
fn a_few_simultaneous_requests_are_within_quota_at_one_of_many_routers() {
    let tenants = vec![Tenant { name: "small".into(), quota_per_s: 2.0 }];
    let mut harness = PolicyHarness::fleet(Settings { replica_count: 200, tenants, ..settings() });
    for id in 1..6 {
        let tenant = Some("small".to_owned());
        harness.receive(RequestSpec {
            request: RequestId(id),
            tenant,
            ..request_spec(harness.now, "idempotent")
        });
    }
    assert_eq!(local_reply_count(&harness.actions), 0);
}

/// Seen on the engines deployment: prompts so long that a retried prefill is too late anyway, while the first
/// worker continues with the prefill that timed out.
#[test]
fn a_prefill_gets_more_time_if_a_retry_would_be_late_too() {
    let timeout = |first_token_objective_per_1000_tokens, load_reporting| {
        let classes = vec![Class {
            first_token_objective_per_1000_tokens,
            ..class("idempotent", Idempotency::Idempotent)
        }];
        let mut harness = PolicyHarness::fleet(Settings { classes, load_reporting, ..settings() });
        let deadline = harness.now + 8 * SECOND;
        let sent = harness.receive(RequestSpec {
            prompt_tokens: 8_000,
            deadline,
            ..request_spec(harness.now, "idempotent")
        });
        sent.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    // 8,000 tokens extend the objective by 1.2 s. After two thirds of it, a retry of the whole prefill is too
    // late.
    assert_eq!(timeout(150 * MS, LoadReporting::None), Some(8 * SECOND - 1_200 * MS));
    // The objective is 1.08 s, of which a retried prefill takes 80 ms.
    assert_eq!(timeout(10 * MS, LoadReporting::None), Some(720 * MS));
    // If prefill workers report their queues, a long wait indicates a worker that hangs.
    assert_eq!(timeout(150 * MS, LoadReporting::Responses), Some(2_200 * MS / 3));
}

/// Regression test for ticket5632: if every prefill takes longer than its timeout, workers process only
/// prompts that the router no longer waits for. The minimum timeout must grow, too, and shrink again as
/// prefills complete.
#[test]
fn prefill_timeouts_extend_the_next_timeout_until_prefills_complete_again() {
    let mut harness = PolicyHarness::fleet(settings());
    let timeout = |harness: &mut PolicyHarness, id, outcome| {
        let request = RequestId(id);
        let sent = harness.receive(RequestSpec {
            request,
            deadline: harness.now + 60 * SECOND,
            ..request_spec(harness.now, "idempotent")
        });
        let timeout = sent.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        harness.end_attempt(id, 0, outcome);
        harness.handle(Event::ClientDisconnected { request });
        timeout.unwrap()
    };
    let min_timeout = timeout(&mut harness, 1, Outcome::PrefillCompleted);
    assert_eq!(timeout(&mut harness, 2, Outcome::TimedOut), min_timeout);
    assert!(timeout(&mut harness, 3, Outcome::TimedOut) >= 2 * min_timeout);
    assert!(timeout(&mut harness, 4, Outcome::PrefillCompleted) >= 4 * min_timeout);
    timeout(&mut harness, 5, Outcome::PrefillCompleted);
    assert_eq!(timeout(&mut harness, 6, Outcome::PrefillCompleted), min_timeout);
}

/// When a rolling release left only two of eight decode workers warm, late requests were retried at one
/// congested worker after another until their clients gave up, and delayed all others.
#[test]
fn a_late_request_is_rejected_when_its_decode_times_out() {
    for (waited, is_retried) in [(200 * MS, true), (SECOND, false)] {
        let mut harness = PolicyHarness::fleet(settings());
        harness.request(1, "idempotent");
        harness.end_attempt(1, 0, Outcome::PrefillCompleted);
        harness.now += waited;
        let next = harness.end_attempt(1, 1, Outcome::TimedOut);
        assert_eq!(send_targets(&next).len(), usize::from(is_retried), "after {waited} us");
        assert_eq!(local_reply_count(&next), usize::from(!is_retried), "after {waited} us");
        assert_eq!(next.contains(&Action::ReleaseCache { request: RequestId(1) }), !is_retried);
    }
    // A request that is late for another reason is still sent to a decode worker.
    let mut harness = PolicyHarness::fleet(settings());
    harness.request(1, "idempotent");
    harness.now += SECOND;
    assert_eq!(send_targets(&harness.end_attempt(1, 0, Outcome::PrefillCompleted)).len(), 1);
}
