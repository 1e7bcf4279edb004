//! A harness for tests of the policy: a policy, its clock, and all actions that it has taken.
//!
//! The name of a worker begins with the letter of its kind: r for prefill, w for decode and m for unified
//! workers. The policy hashes the names when it places requests, so the results of tests depend on them.
#![allow(dead_code)]

use llm_router::Policy;
use llm_router::interface::*;
use std::sync::Arc;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A class of requests with a one-second latency objective.
pub fn class(name: &str, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        idempotency,
        deduplication_window: 5 * SECOND,
        first_token_objective: SECOND,
        inter_token_objective: 60 * MS,
        client_timeout: 8 * SECOND,
        priority_weight: 1.0,
        ..Class::default()
    }
}

/// Settings with three classes: idempotent, not idempotent, and keyed within a cell.
pub fn settings() -> Settings {
    let kind = |name: &str, role| WorkerKind { name: name.into(), role, kv_cache_tokens: Some(150_000) };
    Settings {
        replica_count: 2,
        zone: "z".into(),
        worker_kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode), kind("m", Role::Unified)],
        classes: vec![
            class("idempotent", Idempotency::Idempotent),
            class("non-idempotent", Idempotency::NonIdempotent),
            class("cell-keyed", Idempotency::Keyed(DeduplicationScope::Cell)),
        ],
        max_attempts: 5,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: 500 * MS,
        connect_timeout: 250 * MS,
        event_interval: 2 * MS,
        cache_hold_limit: 500 * MS,
        response_grace: 16 * MS,
        drain_grace: 500 * MS,
        slow_start_floor: 0.33,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 2.5,
        overload_window: SECOND,
        ..Settings::default()
    }
}

/// A policy under test, with its clock and the actions that it has taken.
pub struct PolicyHarness {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    /// When the timers that the policy has set are due.
    pub timers: Vec<Micros>,
}

impl PolicyHarness {
    /// A policy without workers, with an arbitrary seed.
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 7)
    }

    /// A policy without workers. Each router of a deployment has a seed of its own.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let policy = Policy::new(settings, seed);
        PolicyHarness { policy, now: 100 * SECOND, actions: Vec::new(), timers: Vec::new() }
    }

    /// A policy with two prefill and three decode workers, in two cells of one zone.
    pub fn fleet(settings: Settings) -> Self {
        let mut harness = PolicyHarness::new(settings);
        let list = [("r1", 0), ("r2", 1), ("w1", 0), ("w2", 1), ("w3", 1)];
        harness.update_endpoints(
            UpdateKind::Restored,
            list.iter().map(|(w, cell)| endpoint(w, *cell, WorkerStatus::Ready, None)).collect(),
        );
        harness
    }

    /// Passes an event to the policy and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        self.timers.extend(out.iter().filter_map(|a| match a {
            Action::SetTimer { at, .. } => Some(*at),
            _ => None,
        }));
        self.actions.extend(out.iter().cloned());
        out
    }

    /// Passes an update of the endpoint list to the policy.
    pub fn update_endpoints(&mut self, kind: UpdateKind, entries: Vec<Endpoint>) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { kind, endpoints: entries })
    }

    /// Passes an ordinary request of this class to the policy; see [`request_spec`].
    pub fn request(&mut self, id: u64, class: &str) -> Vec<Action> {
        self.receive(RequestSpec { request: RequestId(id), ..request_spec(self.now, class) })
    }

    /// Passes a request to the policy.
    pub fn receive(&mut self, spec: RequestSpec) -> Vec<Action> {
        self.handle(Event::RequestReceived(spec))
    }

    /// Ends an attempt that took 50 ms.
    pub fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_after(id, attempt, outcome, 50 * MS)
    }

    /// Ends an attempt that took `elapsed`. A completed attempt finishes its request.
    pub fn end_attempt_after(
        &mut self,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(attempt),
            outcome,
            elapsed,
            request_finished: outcome == Outcome::Completed,
            cached_tokens: 0,
            report: None,
        }))
    }

    /// Advances the clock, and passes the timers that become due to the policy.
    pub fn pass_time(&mut self, time: Micros) -> Vec<Action> {
        let (until, mut out) = (self.now + time, Vec::new());
        loop {
            self.timers.sort_unstable();
            if self.timers.first().is_none_or(|at| *at > until) {
                break;
            }
            self.now = self.now.max(self.timers.remove(0));
            out.extend(self.handle(Event::Timer(TimerId(1))));
        }
        self.now = until;
        out
    }
}

/// An ordinary request: 2,000 prompt tokens, a deadline after 4 seconds, and no session, prefix or tenant.
pub fn request_spec(now: Micros, class: &str) -> RequestSpec {
    RequestSpec {
        request: RequestId(0),
        deadline: now + 4 * SECOND,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 2_000,
        max_tokens: 300,
        expected_decode_time: None,
        class: class.into(),
        tenant: None,
    }
}

/// A worker's entry in the endpoint list; its kind is the first letter of its name.
pub fn endpoint(name: &str, cell: u64, status: WorkerStatus, started: Option<Micros>) -> Endpoint {
    let worker = WorkerId(Arc::from(name));
    let kind = name[..1].to_owned();
    Endpoint { worker, zone: "z".into(), kind, cell, status, weight: 1.0, started_at: started }
}

/// The workers to which the actions send attempts.
pub fn send_targets(actions: &[Action]) -> Vec<&str> {
    let to = |a: &'_ Action| if let Action::Send { worker, .. } = a { Some(worker.0.clone()) } else { None };
    let names: Vec<Arc<str>> = actions.iter().filter_map(to).collect();
    names
        .iter()
        .map(|n| {
            ["r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6", "m1", "r3"]
                .into_iter()
                .find(|k| **n == **k)
                .unwrap()
        })
        .collect()
}

/// How many local replies, that is rejections and failures, there are among the actions.
pub fn local_reply_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}

/// How many releases of KV caches there are among the actions.
pub fn cache_release_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::ReleaseCache { .. })).count()
}

/// Whether the actions fail a request.
pub fn has_failed(actions: &[Action], request: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request: failed, .. } if failed.0 == request))
}
