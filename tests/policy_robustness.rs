//! Robustness of the policy against invalid events and extreme settings, and its determinism.

#[path = "support/rig.rs"]
mod rig;

use llm_router::interface::*;
use rig::*;
use std::sync::Arc;

#[test]
fn invalid_events_cause_no_panic_and_each_request_gets_one_final_answer() {
    let mut rig = Rig::fleet(settings());
    let extreme = RequestSpec {
        prompt_tokens: u64::MAX,
        prefix_tokens: u64::MAX,
        max_tokens: u64::MAX,
        ..request_spec(rig.now, "?")
    };
    rig.receive(RequestSpec { expected_decode_time: Some(u64::MAX), ..extreme });
    rig.receive(RequestSpec {
        request: RequestId(2),
        prompt_tokens: 0,
        deadline: 0,
        ..request_spec(rig.now, "idempotent")
    });
    rig.handle(Event::AttemptEnded(AttemptEnd {
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
    rig.end_attempt(77, 0, Outcome::PrefillCompleted);
    rig.end_attempt(0, 99, Outcome::PrefillCompleted);
    rig.handle(Event::ClientDisconnected { request: RequestId(99) });
    let duplicate_endpoints = vec![
        endpoint("r1", 0, WorkerStatus::Ready, Some(u64::MAX)),
        endpoint("r1", 5, WorkerStatus::Draining, None),
    ];
    rig.update_endpoints(UpdateKind::Snapshot, duplicate_endpoints);
    rig.request(5, "idempotent");
    rig.pass_time(6 * SECOND);
    assert_eq!(final_answer_count(&rig.actions), 3);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::fleet(settings());
        for id in 1..30 {
            rig.request(id, if id % 3 == 0 { "non-idempotent" } else { "idempotent" });
            rig.end_attempt(
                id,
                0,
                if id % 7 == 0 { Outcome::WorkerError } else { Outcome::PrefillCompleted },
            );
            rig.pass_time(30 * MS);
        }
        rig.actions
    };
    assert_eq!(run(), run());
}

/// Covers settings with 0 and 1,000 routers, an unknown tenant and load reports with invalid values.
#[test]
fn extreme_settings_and_invalid_reports_do_not_prevent_final_answers() {
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
            let mut rig = Rig::fleet(Settings { load_reporting: LoadReporting::Responses, ..settings });
            for id in 1..30 {
                let tenant = Some(if id % 2 == 0 { "t" } else { "unknown" }.to_owned());
                rig.receive(RequestSpec {
                    request: RequestId(id),
                    tenant,
                    ..request_spec(rig.now, "idempotent")
                });
                let report = Some(LoadReport {
                    kv_cache_utilization: Some(f64::NAN),
                    queued_tokens: Some(if id % 3 == 0 { -1.0 } else { 1e300 }),
                    ..LoadReport::default()
                });
                for name in ["r1", "r2", "w1", "unknown"] {
                    let worker = WorkerId(Arc::from(name));
                    rig.handle(Event::HealthChecked { worker, outcome: Outcome::TimedOut, report });
                }
                rig.pass_time(20 * MS);
            }
            // No worker answers. By its deadline, each request must have exactly one final answer.
            rig.pass_time(6 * SECOND);
            assert_eq!(final_answer_count(&rig.actions), 29, "{routers} routers");
        }
    }
}
