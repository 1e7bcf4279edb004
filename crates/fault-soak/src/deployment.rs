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

/// The number of zones over which routers and cells are distributed evenly.
const ZONE_COUNT: u64 = 2;
/// The number of cells over which workers are distributed.
const CELL_COUNT: u64 = 4;

/// The latency objective for the first token of a request.
const FIRST_TOKEN_OBJECTIVE: Duration = Duration::from_secs(1);
/// The time after which clients abandon a request, as the routers' configuration states it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);

/// The longest first-token timeout of clients that the shutdown timeout covers. A longer one counts as this.
const MAX_COVERED_TIMEOUT: Duration = Duration::from_secs(3);
/// The time that the shutdown timeout adds to the longest first-token timeout of clients.
const SHUTDOWN_ALLOWANCE: Duration = Duration::from_millis(700);

/// A class of the requests that clients send in a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// The name of the class in the settings of routers and in requests.
    pub name: &'static str,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// The request classes of every deployment.
pub const CLASSES: [RequestClass; 5] = [
    RequestClass { name: "safe", idempotency: Idempotency::Idempotent },
    RequestClass { name: "keyed-all", idempotency: Idempotency::Keyed(DeduplicationScope::All) },
    RequestClass { name: "keyed-zone", idempotency: Idempotency::Keyed(DeduplicationScope::Zone) },
    RequestClass { name: "keyed-cell", idempotency: Idempotency::Keyed(DeduplicationScope::Cell) },
    RequestClass { name: "once", idempotency: Idempotency::NonIdempotent },
];

/// The size of the fleet and the settings that its routers share.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The number of routers, each of which is a process of its own.
    pub router_count: usize,
    /// The number of prefill workers at the start.
    pub prefill_worker_count: usize,
    /// The number of decode workers at the start.
    pub decode_worker_count: usize,
    /// The request rate at each router, in requests per second.
    pub request_rate: f64,
    /// The timeout of routers for establishing a connection to a worker.
    pub connect_timeout: Duration,
    /// The time within which a reserved KV cache has to be released if no attempt waits for it.
    pub release_timeout: Duration,
    /// The time during which a draining worker may still get new calls after its withdrawal became known.
    pub drain_grace: Duration,
    /// The time during which workers deduplicate requests by their idempotency keys.
    pub deduplication_window: Duration,
    /// The time from the start of a worker until it reaches its full capacity.
    pub slow_start_duration: Duration,
    /// The initial capacity of a cold worker, as a fraction of its full capacity.
    pub slow_start_floor: f64,
    /// The multiple of its capacity at which a cold worker is overloaded.
    pub overload_multiple: f64,
    /// The period over which the load of a cold worker is compared with its capacity.
    pub overload_window: Duration,
    /// Whether routers may cancel attempts.
    pub cancellation_allowed: bool,
    /// The maximum number of file descriptors of a router.
    pub max_descriptors: usize,
    /// The maximum memory usage of a router, in megabytes.
    pub max_memory_mb: usize,
    /// The variation of the run, which depends on the seed but not on random draws.
    pub scenario: Scenario,
}

impl Deployment {
    /// The maximum number of attempts per request.
    pub const MAX_ATTEMPTS: usize = 6;
    /// The time after the deadline during which routers count a response as in time.
    pub const RESPONSE_SLACK: Duration = Duration::from_millis(16);

    /// Draws a deployment with the given number of routers.
    pub fn draw(random: &mut StdRng, router_count: usize, scenario: Scenario) -> Self {
        Deployment {
            router_count,
            prefill_worker_count: random.random_range(3..=5),
            decode_worker_count: random.random_range(4..=6),
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

    /// The minimum time between SIGTERM and the SIGKILL of a router that has not exited.
    pub fn shutdown_timeout(&self) -> Duration {
        self.scenario.max_first_token_timeout.min(MAX_COVERED_TIMEOUT) + SHUTDOWN_ALLOWANCE
    }

    /// The settings of a worker. Its cell and zone depend on its position in the fleet.
    pub fn worker_settings(&self, index: WorkerIndex, role: Role) -> WorkerSettings {
        let cell = index as u64 % CELL_COUNT;
        WorkerSettings {
            index,
            role,
            zone: cell % ZONE_COUNT,
            cell,
            slots: if role == Role::Prefill { 8 } else { 32 },
            queue_capacity: 40,
            base_latency: Duration::from_millis(8),
            prefill_tokens_per_second: 40_000,
            event_interval: Duration::from_millis(25),
        }
    }

    /// The configuration of a router. `endpoints` is its last known endpoint list.
    pub fn router_configuration(
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
            "settings": self.router_settings(router),
        })
    }

    fn router_settings(&self, router: RouterIndex) -> Value {
        let classes: Vec<Value> = CLASSES.iter().map(|class| self.class_settings(class)).collect();
        json!({
            "self_index": router,
            "replicas_of_me": self.router_count,
            "my_zone": format!("zone-{}", router as u64 % ZONE_COUNT),
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

    fn class_settings(&self, class: &RequestClass) -> Value {
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
