//! What a deployment states at start.

use super::Micros;

/// What workers of a kind do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts; the KV cache waits in its memory.
    Prefill,
    /// Fetches a KV cache and streams the answer.
    Decode,
    /// Does both.
    #[default]
    Unified,
}

/// A kind of worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKind {
    /// Its name in endpoint lists.
    pub name: String,
    /// What its workers do.
    pub role: Role,
    /// KV cache memory of one worker, in tokens, where the deployment states it.
    pub kv_cache_tokens: Option<u64>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at will.
    #[default]
    Idempotent,
    /// It carries an idempotency key: workers of one scope drop its repeats for a time.
    Keyed(DeduplicationScope),
    /// It must never run twice.
    NonIdempotent,
}

/// The workers that recognize each other's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// How long workers remember an idempotency key, from the first attempt that may have run.
    pub deduplication_window: Micros,
    /// Latency objective for the first token, before the part that grows with the prompt.
    pub first_token_objective: Micros,
    /// Added to the objective for each 1,000 prompt tokens.
    pub first_token_objective_per_1000_tokens: Micros,
    /// Latency objective for the time between tokens.
    pub inter_token_objective: Micros,
    /// How long a client waits, over all its retries. The present policy does not read it: each request brings
    /// its own deadline.
    pub client_timeout: Micros,
    /// Priority weight, per request or per unit of work.
    pub priority_weight: f64,
    /// Share of the weight that a late answer still earns. The present policy does not read it.
    pub late_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its quota, over all routers.
    pub quota_per_s: f64,
}

/// When workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Never.
    #[default]
    None,
    /// With results of health checks only.
    HealthChecks,
    /// With the end of attempts and results of health checks.
    Responses,
}

/// What a deployment states at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This router's index among the replicas, from 0.
    pub replica_index: u32,
    /// How many routers serve this deployment.
    pub replica_count: u32,
    /// This router's zone.
    pub zone: String,
    /// The kinds of worker.
    pub worker_kinds: Vec<WorkerKind>,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request beyond its tenant's quota, as a part of its class's.
    pub over_quota_weight: f64,
    /// When workers report their load.
    pub load_reporting: LoadReporting,
    /// Whether updates of the endpoint list come only on a watch.
    pub watch_required: bool,
    /// A router without a watch counts as notified of an update this long after it happened. The present
    /// policy does not read it.
    pub notification_delay: Micros,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Whether routers may gossip.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at once. The present policy does not read it, as
    /// it never hedges; `rules::send` does.
    pub hedging_allowed: bool,
    /// Whether a decode worker processes the prompt itself when there is no KV cache to fetch.
    pub decode_can_prefill: bool,
    /// Whether clients are told when to retry.
    pub retry_after_allowed: bool,
    /// The longest `Retry-After` that a client follows.
    pub max_retry_after: Micros,
    /// Attempts allowed for each request.
    pub max_attempts: u32,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Micros,
    /// The least time between two batches of events.
    pub event_interval: Micros,
    /// A KV cache or slot held while no attempt is in flight must be fetched or released within this.
    pub cache_hold_limit: Micros,
    /// A final answer still counts this long after the client's deadline. Read by the runtime alone.
    pub answer_grace: Micros,
    /// Nothing new may reach a draining or removed worker later than this after the notification. The present
    /// policy does not read it: it sends nothing to such a worker from the notification on.
    pub drain_grace: Micros,
    /// A worker starts with at least this part of its capacity.
    pub slow_start_floor: f64,
    /// A worker is warm this long after its start.
    pub slow_start_duration: Micros,
    /// A worker in slow start is overloaded when sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...over this long.
    pub overload_window: Micros,
}

impl Settings {
    /// Whether neither workers nor other routers can tell this one of the load that the others cause.
    pub fn is_load_unobservable(&self) -> bool {
        !self.gossip_allowed && self.load_reporting == LoadReporting::None
    }
}
