//! The deployment of a run, drawn from its seed, and the configuration of its routers.

use crate::scenario::Scenario;
use fleet_emulator::clock::whole_micros;
use fleet_emulator::record::{DeduplicationScope, Idempotency, Role, RouterIndex, WorkerIndex};
use fleet_emulator::worker::WorkerSettings;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of zones, over which routers and cells are spread.
const ZONES: u64 = 2;
/// The number of cells, over which workers are spread.
const CELLS: u64 = 4;

/// The time within which the first token of a request should arrive.
const FIRST_TOKEN_OBJECTIVE: Duration = Duration::from_secs(1);
/// The time after which a client gives up on a request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);

/// A longer deadline of clients counts as this for the time that a router has to shut down.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// What a router has beyond the longest deadline to shut down.
const SHUTDOWN_ALLOWANCE: Duration = Duration::from_millis(700);

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// The name of the class.
    pub name: &'static str,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// The classes of every deployment.
pub const CLASSES: [Class; 5] = [
    Class { name: "safe", idempotency: Idempotency::Idempotent },
    Class { name: "keyed-all", idempotency: Idempotency::Keyed(DeduplicationScope::All) },
    Class { name: "keyed-zone", idempotency: Idempotency::Keyed(DeduplicationScope::Zone) },
    Class { name: "keyed-cell", idempotency: Idempotency::Keyed(DeduplicationScope::Cell) },
    Class { name: "once", idempotency: Idempotency::NonIdempotent },
];

/// The size of the fleet and the settings that all of its routers have.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The number of routers.
    pub routers: usize,
    /// The number of prefill workers at the start.
    pub prefill_workers: usize,
    /// The number of decode workers at the start.
    pub decode_workers: usize,
    /// Requests per second at each router.
    pub request_rate: f64,
    /// A connection attempt fails after this time.
    pub connect_timeout: Duration,
    /// A reserved KV cache that no attempt waits for has to be released within this time.
    pub release_timeout: Duration,
    /// A draining worker may get no new calls later than this after its withdrawal became known.
    pub drain_grace: Duration,
    /// The time for which workers recognize the repetition of a request by its idempotency key.
    pub deduplication_window: Duration,
    /// The time from the start of a worker until it has its full capacity.
    pub slow_start_duration: Duration,
    /// The fraction of its capacity that a worker has at its start.
    pub slow_start_floor: f64,
    /// A cold worker collapses when it gets this multiple of what it can serve.
    pub overload_multiple: f64,
    /// The time over which that multiple counts.
    pub overload_window: Duration,
    /// Whether routers may cancel attempts.
    pub cancellation_allowed: bool,
    /// The file descriptors that a router may use.
    pub max_descriptors: usize,
    /// The memory that a router may use, in megabytes.
    pub max_memory_mb: usize,
    /// What sets the run apart.
    pub scenario: Scenario,
}

impl Deployment {
    /// The largest number of attempts for one request.
    pub const MAX_ATTEMPTS: usize = 6;
    /// A response still counts as in time this long after the deadline.
    pub const RESPONSE_SLACK: Duration = Duration::from_millis(16);

    /// Draws a deployment with a number of routers.
    pub fn draw(random: &mut StdRng, routers: usize, scenario: Scenario) -> Self {
        Deployment {
            routers,
            prefill_workers: random.random_range(3..=5),
            decode_workers: random.random_range(4..=6),
            request_rate: random.random_range(5.0..10.0),
            connect_timeout: Duration::from_millis(random.random_range(100..=300)),
            release_timeout: Duration::from_millis(500),
            drain_grace: Duration::from_millis(random.random_range(250..=1_000)),
            deduplication_window: Duration::from_millis(random.random_range(1_000..=4_000)),
            slow_start_duration: Duration::from_secs(random.random_range(4..=9)),
            slow_start_floor: random.random_range(0.2..0.4),
            overload_multiple: 2.5,
            overload_window: Duration::from_secs(1),
            cancellation_allowed: random.random_bool(0.8),
            max_descriptors: 512,
            max_memory_mb: 96,
            scenario,
        }
    }

    /// The time from SIGTERM after which a router is killed at the earliest.
    pub fn shutdown_timeout(&self) -> Duration {
        self.scenario.max_deadline.min(MAX_COUNTED_DEADLINE) + SHUTDOWN_ALLOWANCE
    }

    /// The settings of a worker.
    pub fn worker(&self, index: WorkerIndex, role: Role) -> WorkerSettings {
        let cell = index as u64 % CELLS;
        WorkerSettings {
            index,
            role,
            zone: cell % ZONES,
            cell,
            slots: if role == Role::Prefill { 8 } else { 32 },
            queue_capacity: 40,
            base_latency: Duration::from_millis(8),
            prefill_tokens_per_second: 40_000,
            event_interval: Duration::from_millis(25),
        }
    }

    /// The configuration of a router that knows these endpoints from its last run.
    pub fn configuration(
        &self,
        router: RouterIndex,
        addresses: &RouterAddresses,
        endpoints: &Value,
        seed: u64,
    ) -> Value {
        json!({
            "name": format!("router-{router}"),
            "listen": addresses.listen,
            "discovery": addresses.discovery,
            "seed": format!("{seed:x}"),
            "limits": { "cores": 1.0, "memory_mb": self.max_memory_mb, "sockets": self.max_descriptors },
            "known": endpoints,
            "settings": self.settings(router),
        })
    }

    fn settings(&self, router: RouterIndex) -> Value {
        let classes: Vec<Value> = CLASSES.iter().map(|class| self.class(class)).collect();
        json!({
            "self_index": router,
            "replicas_of_me": self.routers,
            "my_zone": format!("zone-{}", router as u64 % ZONES),
            "registry_mode": "pushed",
            "skus": ["prefill", "decode"],
            "classes": classes,
            "tick_us": 2_000,
            "family_info": {
                "role_by_kind": ["read", "write"],
                "kv_tokens": [200_000, 150_000],
                "release_us": whole_micros(self.release_timeout),
                "token_aim_us": CLASSES.map(|_| 60_000),
            },
            "permissions": {
                "max_attempts": Self::MAX_ATTEMPTS,
                "may_cancel": self.cancellation_allowed,
                "retry_after": true,
                "max_retry_after_us": 800_000,
                "connect_timeout_us": whole_micros(self.connect_timeout),
                "idle_close_us": 8_000_000,
            },
            "rules": {
                "drain_grace_us": whole_micros(self.drain_grace),
                "answer_slack_us": whole_micros(Self::RESPONSE_SLACK),
                "cold_from": self.slow_start_floor,
                "cold_us": whole_micros(self.slow_start_duration),
                "fall_multiple": self.overload_multiple,
                "fall_us": whole_micros(self.overload_window),
            },
        })
    }

    fn class(&self, class: &Class) -> Value {
        let (effect, scope) = match class.idempotency {
            Idempotency::Idempotent => ("read_like", None),
            Idempotency::NonIdempotent => ("non_idempotent", None),
            Idempotency::Keyed(DeduplicationScope::All) => ("idempotency_key", Some("all")),
            Idempotency::Keyed(DeduplicationScope::Zone) => ("idempotency_key", Some("zone")),
            Idempotency::Keyed(DeduplicationScope::Cell) => ("idempotency_key", Some("cell")),
        };
        let mut value = json!({
            "name": class.name,
            "effect": effect,
            "objective_us": whole_micros(FIRST_TOKEN_OBJECTIVE),
            "give_up_us": whole_micros(CLIENT_TIMEOUT),
            "value": 1.0,
        });
        if let Some(scope) = scope {
            value["dedup_scope"] = json!(scope);
            value["repeat_window_us"] = json!(whole_micros(self.deduplication_window));
        }
        value
    }
}

/// The addresses in the configuration of a router.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddresses {
    /// The address to which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
}
