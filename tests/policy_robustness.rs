//! Robustness of the policy against invalid events and extreme settings, and its determinism.

#[path = "support/policy_harness.rs"]
mod policy_harness;

use llm_router::interface::*;
use policy_harness::*;
use std::sync::Arc;

#[test]
fn invalid_events_cause_no_panic_and_each_request_gets_one_local_reply() {
    let mut harness = PolicyHarness::fleet(settings());
    let extreme = RequestSpec {
        prompt_tokens: u64::MAX,
        prefix_tokens: u64::MAX,
        max_tokens: u64::MAX,
        ..request_spec(harness.now, "?")
    };
    harness.receive(RequestSpec { expected_decode_time: Some(u64::MAX), ..extreme });
    harness.receive(RequestSpec {
        request: RequestId(2),
        prompt_tokens: 0,
        deadline: 0,
        ..request_spec(harness.now, "idempotent")
    });
    harness.handle(Event::AttemptEnded(AttemptEnd {
        request: RequestId(0),
        attempt: AttemptIndex(0),
        outcome: Outcome::PrefillCompleted,
        elapsed: u64::MAX,
        request_finished: false,
        cached_tokens: u64::MAX,
        report: Some(LoadReport {
            kv_cache_utilization: Some(f64::NAN),
            queued_tokens: Some(-1.0),
            ..LoadReport::default()
        }),
    }));
    harness.end_attempt(77, 0, Outcome::PrefillCompleted);
    harness.end_attempt(0, 99, Outcome::PrefillCompleted);
    harness.handle(Event::ClientDisconnected { request: RequestId(99) });
    let duplicate_endpoints = vec![
        endpoint("r1", 0, WorkerStatus::Ready, Some(u64::MAX)),
        endpoint("r1", 5, WorkerStatus::Draining, None),
    ];
    harness.update_endpoints(UpdateKind::Snapshot, duplicate_endpoints);
    harness.request(5, "idempotent");
    harness.pass_time(6 * SECOND);
    assert_eq!(local_reply_count(&harness.actions), 3);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = PolicyHarness::fleet(settings());
        for id in 1..30 {
            harness.request(id, if id % 3 == 0 { "non-idempotent" } else { "idempotent" });
            harness.end_attempt(
                id,
                0,
                if id % 7 == 0 { Outcome::WorkerError } else { Outcome::PrefillCompleted },
            );
            harness.pass_time(30 * MS);
        }
        harness.actions
    };
    assert_eq!(run(), run());
}

/// Covers settings with 0 and 1,000 routers, an unknown tenant and load reports with invalid values.
#[test]
fn extreme_settings_and_invalid_reports_do_not_prevent_local_replies() {
    for routers in [0, 1, 1_000] {
        for allowed in [false, true] {
            let tenants = vec![Tenant { name: "t".into(), quota_per_s: 0.0 }];
            let settings = Settings {
                replica_count: routers,
                tenants,
                gossip_allowed: allowed,
                health_checks_allowed: allowed,
                ..settings()
            };
            let mut harness =
                PolicyHarness::fleet(Settings { load_reporting: LoadReporting::Responses, ..settings });
            for id in 1..30 {
                let tenant = Some(if id % 2 == 0 { "t" } else { "unknown" }.to_owned());
                harness.receive(RequestSpec {
                    request: RequestId(id),
                    tenant,
                    ..request_spec(harness.now, "idempotent")
                });
                let report = Some(LoadReport {
                    kv_cache_utilization: Some(f64::NAN),
                    queued_tokens: Some(if id % 3 == 0 { -1.0 } else { 1e300 }),
                    ..LoadReport::default()
                });
                for name in ["r1", "r2", "w1", "unknown"] {
                    let worker = WorkerId(Arc::from(name));
                    harness.handle(Event::HealthChecked { worker, outcome: Outcome::TimedOut, report });
                }
                harness.pass_time(20 * MS);
            }
            // No worker responds. By its deadline, each request must have exactly one local reply.
            harness.pass_time(6 * SECOND);
            assert_eq!(local_reply_count(&harness.actions), 29, "{routers} routers");
        }
    }
}
