//! The deployment of one run, drawn from its seed, and the configuration that routers get of it.

use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::{DeduplicationScope, Idempotency, Role, WorkerIndex};
use fleet_emulator::worker::WorkerSettings;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::net::SocketAddr;

const ZONES: u64 = 2;
const CELLS: u64 = 4;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What a repeat does.
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

/// What a deployment states and has.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Routers.
    pub routers: usize,
    /// Prefill workers at the start.
    pub prefill_workers: usize,
    /// Decode workers at the start.
    pub decode_workers: usize,
    /// Requests a second at each router.
    pub rate: f64,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// What is held must be let go within this.
    pub release: Micros,
    /// Nothing new may reach a draining worker later than this after the news.
    pub drain_grace: Micros,
    /// For how long workers recognize a keyed request.
    pub deduplication_window: Micros,
    /// A worker is warm so long after its start.
    pub warm_after: Micros,
    /// The part of its capacity that a worker starts with.
    pub cold_from: f64,
    /// A cold worker falls at this multiple of what it can do.
    pub fall_multiple: f64,
    /// Over this long.
    pub fall_window: Micros,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Descriptors of a router.
    pub sockets: usize,
    /// Memory of a router, in megabytes.
    pub memory_mb: usize,
}

impl Deployment {
    /// Most attempts of one request.
    pub const MAX_ATTEMPTS: usize = 6;
    /// A final answer counts this long after the deadline.
    pub const ANSWER_SLACK: Micros = 16 * MILLISECOND;

    /// Draws a deployment with so many routers.
    pub fn draw(random: &mut StdRng, routers: usize) -> Self {
        Deployment {
            routers,
            prefill_workers: random.random_range(3..=5),
            decode_workers: random.random_range(4..=6),
            rate: random.random_range(5.0..10.0),
            connect_timeout: random.random_range(100..=300) * MILLISECOND,
            release: 500 * MILLISECOND,
            drain_grace: random.random_range(250..=1_000) * MILLISECOND,
            deduplication_window: random.random_range(1_000..=4_000) * MILLISECOND,
            warm_after: random.random_range(4..=9) * SECOND,
            cold_from: random.random_range(0.2..0.4),
            fall_multiple: 2.5,
            fall_window: SECOND,
            may_cancel: random.random_bool(0.8),
            sockets: 512,
            memory_mb: 96,
        }
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
            queue: 40,
            base_time: 8 * MILLISECOND,
            prefill_tokens_per_second: 40_000,
            event_time: 25 * MILLISECOND,
        }
    }

    /// The configuration of a router.
    pub fn configuration(&self, router: usize, places: &Places, known: &Value, seed: u64) -> Value {
        json!({
            "name": format!("router-{router}"),
            "listen": places.listen,
            "discovery": places.discovery,
            "seed": format!("{seed:x}"),
            "limits": { "cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets },
            "known": known,
            "settings": self.settings(router),
        })
    }

    fn settings(&self, router: usize) -> Value {
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
                "release_us": self.release,
                "token_aim_us": CLASSES.map(|_| 60_000),
            },
            "permissions": {
                "max_attempts": Self::MAX_ATTEMPTS,
                "may_cancel": self.may_cancel,
                "retry_after": true,
                "max_retry_after_us": 800_000,
                "connect_timeout_us": self.connect_timeout,
                "idle_close_us": 8_000_000,
            },
            "rules": {
                "drain_grace_us": self.drain_grace,
                "answer_slack_us": Self::ANSWER_SLACK,
                "cold_from": self.cold_from,
                "cold_us": self.warm_after,
                "fall_multiple": self.fall_multiple,
                "fall_us": self.fall_window,
            },
        })
    }

    fn class(&self, class: &Class) -> Value {
        let (idempotency, group) = match class.idempotency {
            Idempotency::Idempotent => ("read_like", None),
            Idempotency::NonIdempotent => ("non_idempotent", None),
            Idempotency::Keyed(DeduplicationScope::All) => ("idempotency_key", Some("all")),
            Idempotency::Keyed(DeduplicationScope::Zone) => ("idempotency_key", Some("zone")),
            Idempotency::Keyed(DeduplicationScope::Cell) => ("idempotency_key", Some("cell")),
        };
        let mut value = json!({
            "name": class.name,
            "effect": idempotency,
            "objective_us": SECOND,
            "give_up_us": 6 * SECOND,
            "value": 1.0,
        });
        if let Some(group) = group {
            value["dedup_scope"] = json!(group);
            value["repeat_window_us"] = json!(self.deduplication_window);
        }
        value
    }
}

/// Where a router listens and finds its agent.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Its agent.
    pub discovery: SocketAddr,
}
