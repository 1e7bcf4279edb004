//! A decision module under test: its fleet, its clock, and all that it has done.
#![allow(dead_code)]

use llm_router::Policy;
use llm_router::interface::*;
use std::sync::Arc;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(name: &str, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        idempotency: effect,
        deduplication_window: 5 * SECOND,
        first_token_objective: SECOND,
        inter_token_objective: 60 * MS,
        client_timeout: 8 * SECOND,
        priority_weight: 1.0,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    let kind = |name: &str, role| WorkerKind { name: name.into(), role, memory_tokens: Some(150_000) };
    Settings {
        replica_count: 2,
        zone: "z".into(),
        worker_kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode), kind("m", Role::Unified)],
        classes: vec![
            class("safe", Idempotency::Idempotent),
            class("once", Idempotency::NonIdempotent),
            class("cell", Idempotency::Keyed(DeduplicationScope::Cell)),
        ],
        max_attempts: 5,
        cancellation_allowed: true,
        retry_after_allowed: true,
        max_retry_after: 500 * MS,
        connect_timeout: 250 * MS,
        event_interval: 2 * MS,
        cache_hold_limit: 500 * MS,
        answer_grace: 16 * MS,
        drain_grace: 500 * MS,
        slow_start_floor: 0.33,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 2.5,
        overload_window: SECOND,
        ..Settings::default()
    }
}

/// A module under test, with its clock and all that it has done.
pub struct Rig {
    pub policy: Policy,
    pub now: Micros,
    pub log: Vec<Action>,
    pub timers: Vec<Micros>,
}

impl Rig {
    pub fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings, 7);
        Rig { policy, now: 100 * SECOND, log: Vec::new(), timers: Vec::new() }
    }

    /// Two readers and three writers in two cells of one zone.
    pub fn fleet(settings: Settings) -> Self {
        let mut rig = Rig::new(settings);
        let list = [("r1", 0), ("r2", 1), ("w1", 0), ("w2", 1), ("w3", 1)];
        rig.list(
            UpdateKind::Restored,
            list.iter().map(|(w, cell)| entry(w, *cell, WorkerStatus::Ready, None)).collect(),
        );
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        self.timers.extend(out.iter().filter_map(|a| match a {
            Action::SetTimer { at, .. } => Some(*at),
            _ => None,
        }));
        self.log.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, kind: UpdateKind, entries: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::EndpointsUpdated { kind, endpoints: entries })
    }

    pub fn ask(&mut self, id: u64, class: &str) -> Vec<Action> {
        self.ask_with(RequestSpec { request: RequestId(id), ..ask(self.now, class) })
    }

    pub fn ask_with(&mut self, ask: RequestSpec) -> Vec<Action> {
        self.event(Event::RequestReceived(ask))
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let settled = outcome == Outcome::Completed;
        self.event(Event::AttemptEnded(AttemptEnd {
            request: RequestId(id),
            attempt: AttemptIndex(attempt),
            outcome,
            elapsed: 50 * MS,
            request_finished: settled,
            cached_tokens: 0,
            report: None,
        }))
    }

    /// Lets time pass, handing timers back when they are due.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let (until, mut out) = (self.now + time, Vec::new());
        loop {
            self.timers.sort_unstable();
            if self.timers.first().is_none_or(|at| *at > until) {
                break;
            }
            self.now = self.now.max(self.timers.remove(0));
            out.extend(self.event(Event::Timer(TimerId(1))));
        }
        self.now = until;
        out
    }
}

pub fn ask(now: Micros, class: &str) -> RequestSpec {
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

pub fn entry(name: &str, cell: u64, status: WorkerStatus, started: Option<Micros>) -> Endpoint {
    let worker = WorkerId(Arc::from(name));
    let kind = name[..1].to_owned();
    Endpoint { worker, zone: "z".into(), kind, cell, status, weight: 1.0, started_at: started }
}

pub fn sends(actions: &[Action]) -> Vec<&str> {
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

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}

pub fn releases(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::ReleaseCache { .. })).count()
}

/// Whether a request is answered as failed.
pub fn fails(actions: &[Action], request: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request: failed, .. } if failed.0 == request))
}
