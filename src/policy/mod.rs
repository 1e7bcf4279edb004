//! The routing policy of one router. Settings, events and actions are defined in `src/interface/`.
//!
//! [`Policy`] is a sans-I/O state machine: the caller passes it events with the time, and it appends the
//! actions to execute. Each kind of state is owned by a module of its own; `Policy` holds these modules,
//! dispatches events to them and moves requests through their phases (`lifecycle`).
//!
//! | Concern | Module |
//! | --- | --- |
//! | Admission and choice of workers | `admission`, `prefill_choice`, `decode_choice`, `eligibility` |
//! | Limits and timeout of an attempt | `attempt_plan` |
//! | Retries of requests that may have run | `retry` |
//! | Local replies: rejections and failures | `local_reply`; while queued also `admission` |
//! | Requests, their phases and attempts | `request` |
//! | The fleet | `membership`, `topology`, `worker`, `discovery_watch` |
//! | Health and load of a worker | `outlier`, `load_view`, `slow_start`, `slow_start_bucket` |
//! | Estimates of the load of a worker | `load_estimator` |
//! | Learned state | `latency_model`, `prefix_table`, `decode_timeouts` |
//! | Updates of the learned state from outcomes | `feedback` |
//! | Tenant quotas | `tenant_quotas` |
//! | Periodic work | `sweep` |
//! | Messages between routers | `gossip` |
//!
//! The modules that make decisions read this state through a `DecisionContext` and change nothing.
//!
//! The ordinary path follows Preble's E2 algorithm. Every other rule handles a kind of fault, which its
//! comment names. The incidents behind the rules are described in `docs/incidents`.

mod admission;
mod attempt_plan;
mod context;
mod decode_choice;
mod decode_timeouts;
mod discovery_watch;
mod eligibility;
mod feedback;
mod gossip;
mod latency_model;
mod lifecycle;
mod load_estimator;
mod load_view;
mod local_reply;
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

/// The share of a request's latency objective for a single attempt.
///
/// In `attempt_plan` it is the minimum timeout of an attempt, as far as the client's deadline allows, so that
/// the objective leaves time for another attempt. In `admission` it is the limit for the time from prefill to
/// first token when every decode worker has a request.
const ATTEMPT_OBJECTIVE_SHARE: f64 = 1.0 / 3.0;

/// The share of a request's latency objective for its prefill.
///
/// In `admission` it is the limit for the prefill and the queue before it, which leaves
/// [`ATTEMPT_OBJECTIVE_SHARE`] for the first token. In `attempt_plan` it is the minimum timeout of a prefill
/// while load is unobservable, if a retry after it would still meet the objective.
const PREFILL_OBJECTIVE_SHARE: f64 = 1.0 - ATTEMPT_OBJECTIVE_SHARE;

/// The limit of all exponential backoffs, so that a worker or a discovery agent that has recovered is soon
/// used again.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The routing policy of one router.
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
    /// A policy without workers or requests. The routers of a deployment use different seeds.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // The class of requests whose class is not configured: not idempotent, so never retried once it may
        // have run, and of the lowest priority.
        settings.classes.push(Class { idempotency: Idempotency::NonIdempotent, ..Class::default() });
        Policy { quotas: TenantQuotas::new(&settings), settings, seed, ..Policy::default() }
    }

    /// Handles one event and appends the resulting actions to `out`. Time is monotonic: a `now` earlier than
    /// that of a previous event counts as that of the previous event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.slow_start.refill(
            self.now,
            &self.settings,
            self.quotas.total_rate_per_us(),
            &mut self.membership,
        );
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
            // Slots are never reserved in advance, as the decode worker is chosen after the prefill.
            Event::Timer(_) | Event::SlotReservationAnswered { .. } => {}
        }
        if may_free_capacity {
            self.advance_all(AdvanceScope::WithoutAttempt, out);
        }
        if !self.requests.is_empty() || self.watch.is_retry_planned() {
            out.extend(self.sweep_timer.schedule(self.now, &self.settings));
        }
    }

    /// The inputs of a decision at this moment.
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

    /// The state that is updated from the outcomes of attempts.
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

    /// Does the periodic work: renews the discovery watch, expires old state, and checks deadlines, held KV
    /// caches and queued requests.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.sweep_timer.fired();
        if self.watch.take_due_retry(self.now).is_some() {
            out.push(Action::WatchEndpoints);
        }
        self.prefixes.expire(self.now);
        let prefixes = &self.prefixes;
        self.membership.deactivate_idle(&self.settings, self.now, |id| prefixes.has_entries(id));
        self.advance_all(AdvanceScope::WithoutResponse, out);
    }

    /// Applies an update of the endpoint list, or schedules a new watch if discovery is unavailable.
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

    /// Tells the other routers how many prompt tokens were added to a prefill worker's queue, or removed from
    /// it if negative.
    fn gossip_queue_change(&self, worker: &WorkerId, tokens: f64, out: &mut Vec<Action>) {
        if self.settings.gossip_allowed && self.settings.replica_count > 1 {
            out.push(Action::Gossip { to: None, payload: QueueChange::encode(worker, tokens) });
        }
    }

    /// Applies a message of another router to the presumed load of the worker that it names.
    fn apply_gossip(&mut self, payload: &[u8]) {
        let Some(change) = QueueChange::decode(payload) else { return };
        let has_digest = |worker: &&Worker| worker_digest(&worker.id) == change.worker_digest;
        let worker_id = self.membership.iter().find(has_digest).map(|worker| worker.id.clone());
        let Some(id) = worker_id else { return };
        if let Some(worker) = self.membership.activity_mut(&id) {
            worker.load.add_presumed_tokens(self.now, change.tokens);
        }
    }
}
