//! The decisions of one router. Settings, events and actions are defined in `src/interface/`.
//!
//! [`Policy`] is a state machine without input or output of its own: the caller hands it events with the
//! time, and it appends the actions to take. Each kind of state has an owner in a module of its own; `Policy`
//! holds them, routes events to them and takes requests through their phases (`lifecycle`).
//!
//! | Question | Module |
//! | --- | --- |
//! | May a queued request start, and where? | `admission`, `prefill_choice`, `decode_choice`, `eligibility` |
//! | How long may an attempt take? | `attempt_plan` |
//! | May it be sent again? | `retry` |
//! | Why and how does a request end unanswered by a worker? | `final_answer`; while queued also `admission` |
//! | Who owns requests and their phases? | `request` |
//! | Who owns the fleet? | `membership`, `topology`, `worker`, `discovery_watch` |
//! | Who owns the health and load of a worker? | `outlier`, `load_view`, `slow_start`, `slow_start_bucket` |
//! | How much is waiting at a worker? | `load_estimator` |
//! | Who owns what was learned? | `latency_model`, `prefix_table`, `decode_timeouts` |
//! | What do outcomes teach? | `feedback` |
//! | Who owns quotas? | `tenant_quotas` |
//!
//! The modules that decide look at all of that state through a `DecisionContext` and change nothing.
//!
//! Preble's E2 decides the ordinary path; everything else answers a kind of fault and says which. What shaped
//! the rules is in `docs/incidents`.

mod admission;
mod attempt_plan;
mod context;
mod decode_choice;
mod decode_timeouts;
mod discovery_watch;
mod eligibility;
mod feedback;
mod final_answer;
mod gossip;
mod latency_model;
mod lifecycle;
mod load_estimator;
mod load_view;
mod membership;
mod outlier;
mod prefill_choice;
mod prefix_table;
mod request;
mod retry;
mod slow_start;
mod slow_start_bucket;
mod statistics;
mod sweep;
mod tenant_quotas;
mod topology;
mod worker;

use crate::interface::*;
use context::DecisionContext;
use decode_timeouts::DecodeTimeouts;
use discovery_watch::DiscoveryWatch;
use feedback::Feedback;
use gossip::{QueueChange, worker_digest};
use latency_model::{LatencyModel, TimeoutBackoff};
use lifecycle::AdvanceScope;
use membership::Membership;
use prefix_table::PrefixTable;
use request::Requests;
use slow_start::SlowStart;
use sweep::SweepTimer;
use tenant_quotas::TenantQuotas;
use worker::Worker;

/// A share of a request's latency objective with two uses. In `attempt_plan` it is the least timeout of an
/// attempt, if the client's deadline leaves as much: the objective then holds another attempt. In `admission`
/// it is the most that the first token may take after the prefill when every decode worker has a request.
const ATTEMPT_SHARE: f64 = 1.0 / 3.0;

/// The rest of the latency objective, with two uses as well. In `admission` it is the most that a prefill may
/// take with the queue before it; [`ATTEMPT_SHARE`] is left for the first token. In `attempt_plan` it is the
/// least timeout of a prefill while load can't be observed, if a retry after it would still be in time.
const PREFILL_SHARE: f64 = 1.0 - ATTEMPT_SHARE;

/// Backoffs double at most this many times: a worker, or discovery, that recovers is used again soon.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The decision module of one router.
#[derive(Default)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    now: Micros,
    membership: Membership,
    watch: DiscoveryWatch,
    slow_start: SlowStart,
    requests: Requests,
    quotas: TenantQuotas,
    prefixes: PrefixTable,
    latency: LatencyModel,
    timeout_backoff: TimeoutBackoff,
    decode_timeouts: DecodeTimeouts,
    sweep_timer: SweepTimer,
}

impl Policy {
    /// A policy that knows nothing yet. Routers of one deployment take different seeds.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // Stands for classes that the settings don't name: never retried, and of the least priority.
        settings.classes.push(Class { idempotency: Idempotency::NonIdempotent, ..Class::default() });
        Policy { quotas: TenantQuotas::new(&settings), settings, seed, ..Policy::default() }
    }

    /// Takes one event in and appends the actions that answer it. Time never goes back: an earlier `now`
    /// counts as the latest one.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.slow_start.refill(self.now, &self.settings, self.quotas.total_rate(), &mut self.membership);
        let may_free_capacity = matches!(
            event,
            Event::AttemptEnded(_)
                | Event::StreamStarted { .. }
                | Event::EndpointsUpdated { .. }
                | Event::HealthChecked { .. }
        );
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.endpoints_updated(kind, endpoints, out),
            Event::RequestReceived(spec) => self.request_received(spec, out),
            Event::StreamStarted { request, attempt, elapsed } => {
                self.stream_started(request, attempt, elapsed);
            }
            Event::AttemptEnded(end) => self.attempt_ended(end, out),
            Event::ClientDisconnected { request } => self.close(request, out),
            Event::Timer(timer) if timer == SweepTimer::ID => self.sweep(out),
            Event::HealthChecked { worker, report, .. } => self.record_load_report(&worker, report),
            Event::GossipReceived { payload, .. } => self.apply_gossip(&payload),
            // Slots are never reserved ahead: the decode worker is chosen after the prefill.
            Event::Timer(_) | Event::SlotReserved { .. } => {}
        }
        if may_free_capacity {
            self.advance_all(AdvanceScope::Waiting, out);
        }
        if !self.requests.is_empty() || self.watch.is_retry_planned() {
            out.extend(self.sweep_timer.schedule(self.now, &self.settings));
        }
    }

    /// What a decision may look at now.
    fn context(&self) -> DecisionContext<'_> {
        DecisionContext {
            settings: &self.settings,
            seed: self.seed,
            now: self.now,
            membership: &self.membership,
            requests: &self.requests,
            prefixes: &self.prefixes,
            latency: &self.latency,
            timeout_backoff: &self.timeout_backoff,
            decode_timeouts: &self.decode_timeouts,
        }
    }

    /// What learns from an outcome.
    fn feedback(&mut self) -> Feedback<'_> {
        Feedback {
            now: self.now,
            settings: &self.settings,
            membership: &mut self.membership,
            latency: &mut self.latency,
            timeout_backoff: &mut self.timeout_backoff,
            decode_timeouts: &mut self.decode_timeouts,
        }
    }

    /// Looks after all that time alone changes: overdue answers, held KV caches, queued requests, old
    /// entries.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.sweep_timer.fired();
        if self.watch.take_due_retry(self.now).is_some() {
            out.push(Action::WatchEndpoints);
        }
        self.prefixes.expire(self.now);
        let prefixes = &self.prefixes;
        self.membership.deactivate_idle(&self.settings, self.now, |id| prefixes.has_entries(id));
        self.advance_all(AdvanceScope::Unanswered, out);
    }

    fn endpoints_updated(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>, out: &mut Vec<Action>) {
        if kind == UpdateKind::Unavailable {
            self.watch.record_failure(self.now, &self.settings);
            return;
        }
        if kind == UpdateKind::Restored && self.settings.watch_required {
            out.push(Action::WatchEndpoints);
        } else {
            self.watch.record_success();
        }
        let requests = &self.requests;
        let has_attempt_in_flight = |worker: &Worker| {
            let mut keys = worker.recorded_activity().in_flight.iter();
            keys.any(|key| requests.in_flight_attempt(*key).is_some())
        };
        let new_processes =
            self.membership.apply_update(kind, endpoints, &self.settings, self.now, has_attempt_in_flight);
        self.prefixes.remove_workers(&new_processes);
    }

    fn record_load_report(&mut self, worker: &WorkerId, report: Option<LoadReport>) {
        if let (Some(worker), Some(report)) = (self.membership.activity_mut(worker), report) {
            worker.load.record_report(self.now, report);
        }
    }

    /// Notifies the other routers of tokens that a prefill worker was sent or, below zero, is done with.
    fn gossip(&self, worker: &WorkerId, tokens: f64, out: &mut Vec<Action>) {
        if self.settings.gossip_allowed && self.settings.replica_count > 1 {
            out.push(Action::Gossip { to: None, payload: QueueChange::encode(worker, tokens) });
        }
    }

    fn apply_gossip(&mut self, payload: &[u8]) {
        let Some(change) = QueueChange::decode(payload) else { return };
        let is_named = |worker: &&Worker| worker_digest(&worker.id) == change.worker_digest;
        let named = self.membership.iter().find(is_named).map(|worker| worker.id.clone());
        let Some(id) = named else { return };
        if let Some(worker) = self.membership.activity_mut(&id) {
            worker.load.add_presumed_tokens(self.now, change.tokens);
        }
    }
}
