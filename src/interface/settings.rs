//! The settings of a deployment, fixed at startup.

use super::Micros;

/// The stages that the workers of a kind execute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts and holds the KV cache for a decode worker to fetch.
    Prefill,
    /// Fetches a KV cache and streams the response.
    Decode,
    /// Executes both stages.
    #[default]
    Unified,
}

/// A kind of worker: workers of the same role and KV cache capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKind {
    /// The name of the kind in endpoint lists.
    pub name: String,
    /// The stages that workers of this kind execute.
    pub role: Role,
    /// The KV cache capacity of one worker, in tokens; `None` if unspecified.
    pub kv_cache_tokens: Option<u64>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: workers within the scope drop duplicates during the
    /// deduplication window.
    Keyed(DeduplicationScope),
    /// The request must not run more than once.
    NonIdempotent,
}

/// The set of workers that share idempotency keys, and so recognize a duplicate of a request that another one
/// has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers of the deployment.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A request class: whether its requests may run more than once, their latency objectives and their priority.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The name by which requests refer to the class.
    pub name: String,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// How long workers remember an idempotency key, from the first attempt that may have run.
    pub deduplication_window: Micros,
    /// The latency objective for the first token, without the part that grows with the prompt.
    pub first_token_objective: Micros,
    /// The addition to the first-token objective per 1,000 prompt tokens.
    pub first_token_objective_per_1000_tokens: Micros,
    /// The latency objective for the time between tokens.
    pub inter_token_objective: Micros,
    /// How long a client waits, over all its retries. Unused by the current policy: each request carries its
    /// own deadline.
    pub client_timeout: Micros,
    /// The priority weight, per request or per unit of work.
    pub priority_weight: f64,
    /// The fraction of the weight that a late response still earns. Unused by the current policy.
    pub late_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name by which requests refer to the tenant.
    pub name: String,
    /// The tenant's quota over all routers, in requests per second.
    pub quota_per_s: f64,
}

/// When workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Never.
    #[default]
    None,
    /// With health check results only.
    HealthChecks,
    /// With responses to attempts and health check results.
    Responses,
}

/// The settings of a deployment and of one router in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This router's index among the replicas, from 0.
    pub replica_index: u32,
    /// The number of routers in the deployment.
    pub replica_count: u32,
    /// The availability zone that this router runs in.
    pub zone: String,
    /// The kinds of worker in the deployment.
    pub worker_kinds: Vec<WorkerKind>,
    /// The classes that a request may belong to.
    pub classes: Vec<Class>,
    /// The tenants with a quota; may be empty.
    pub tenants: Vec<Tenant>,
    /// The factor applied to the priority weight of a request beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// When workers report their load.
    pub load_reporting: LoadReporting,
    /// Whether the endpoint list is updated only through a watch that the router opens.
    pub watch_required: bool,
    /// A router without a watch counts as notified of an update this long after it happened. Unused by the
    /// current policy.
    pub notification_delay: Micros,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Whether routers may send each other gossip messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether hedged requests are allowed: two attempts of one request in flight at once. The current policy
    /// never hedges and does not read it; [`rules::send`](crate::rules::send) does.
    pub hedging_allowed: bool,
    /// Whether a decode worker runs the prefill itself when there is no KV cache to fetch.
    pub decode_can_prefill: bool,
    /// Whether rejections carry `Retry-After`.
    pub retry_after_allowed: bool,
    /// The longest `Retry-After` that clients follow.
    pub max_retry_after: Micros,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The time limit for establishing a connection to a worker.
    pub connect_timeout: Micros,
    /// The minimum time between two batches of events.
    pub event_interval: Micros,
    /// The time limit for fetching or releasing a KV cache or slot that is held while no attempt is in
    /// flight.
    pub cache_hold_limit: Micros,
    /// How long after the client's deadline a final response still counts. Read by the runtime only.
    pub response_grace: Micros,
    /// How long after the notification new requests may still reach a draining or removed worker. Unused by
    /// the current policy, which sends nothing to such a worker from the notification on.
    pub drain_grace: Micros,
    /// The minimum fraction of its capacity that a worker has when it starts.
    pub slow_start_floor: f64,
    /// The time from the start of a worker until it has its full capacity.
    pub slow_start_duration: Micros,
    /// A worker in slow start is overloaded if it is sent more than this multiple of its current capacity
    /// within [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// The period over which [`overload_multiple`](Self::overload_multiple) applies.
    pub overload_window: Micros,
}

impl Settings {
    /// Whether this router has no source for the load caused by other routers: neither load reports nor
    /// gossip.
    pub fn is_load_unobservable(&self) -> bool {
        !self.gossip_allowed && self.load_reporting == LoadReporting::None
    }
}
