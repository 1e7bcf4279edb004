//! Serialization of the operator's file.
//!
//! The structs mirror the tables of the file. Their fields are in the alphabetical order of the serialized
//! keys, which is the order of the keys in the file.

use super::directives::{ProxySettings, Server};
use super::error::ImportErrorKind;
use super::roles::{Role, role_of_backend};
use super::routes::{Backend, Routes};
use crate::interface::Micros;
use crate::net::memory::MemoryDivision;
use serde::Serialize;
use std::net::SocketAddr;

/// File descriptors reserved for purposes other than connections.
const RESERVED_SOCKETS: usize = 64;
/// Minimum file descriptor limit of the router.
const MIN_SOCKETS: usize = 256;
/// The single zone, since an HAProxy configuration has no zones.
const ZONE: &str = "here";
/// The client timeout where HAProxy's configuration sets no `timeout server`.
const DEFAULT_CLIENT_TIMEOUT: Micros = 30_000_000;
/// The minimum client timeout, however short `timeout server` is.
const MIN_CLIENT_TIMEOUT: Micros = 1_000_000;
/// Divisor of the client timeout that gives the latency objective.
const OBJECTIVE_DIVISOR: Micros = 4;
/// HAProxy's default for `retries`.
const DEFAULT_RETRIES: u64 = 3;
/// The connect timeout where HAProxy's configuration sets no `timeout connect`.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// The idle connection timeout where HAProxy's configuration sets no `timeout http-keep-alive`.
const DEFAULT_IDLE_TIMEOUT: Micros = 30_000_000;

/// Serializes the operator's file.
pub(super) fn write(routes: &Routes<'_>, max_connections: Option<u64>) -> Result<String, ImportErrorKind> {
    let file = OperatorFile {
        known: EndpointList {
            workers: routes.backends.iter().flat_map(Worker::of_backend).collect(),
            sequence: 1,
            is_complete: true,
        },
        limits: max_connections.map(Limits::for_connections),
        listen: routes.listen.address,
        name: "imported",
        settings: Settings::new(routes),
    };
    Ok(toml::to_string(&file)?)
}

#[derive(Serialize)]
struct OperatorFile<'a> {
    known: EndpointList<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    limits: Option<Limits>,
    listen: SocketAddr,
    name: &'static str,
    settings: Settings<'a>,
}

#[derive(Serialize)]
struct EndpointList<'a> {
    #[serde(rename = "hosts")]
    workers: Vec<Worker<'a>>,
    #[serde(rename = "seq")]
    sequence: u64,
    #[serde(rename = "whole")]
    is_complete: bool,
}

#[derive(Serialize)]
struct Worker<'a> {
    #[serde(rename = "class")]
    kind: &'a str,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "health")]
    status: WorkerStatus,
    #[serde(rename = "host")]
    id: String,
    #[serde(rename = "share")]
    weight: f64,
    #[serde(rename = "site")]
    zone: &'static str,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum WorkerStatus {
    Ready,
    Draining,
}

impl<'a> Worker<'a> {
    /// The servers of a backend as workers.
    fn of_backend(backend: &Backend<'a>) -> impl Iterator<Item = Self> {
        let kind = backend.name;
        backend.settings.servers.iter().map(move |server| Worker::new(kind, server))
    }

    fn new(kind: &'a str, server: &Server) -> Self {
        Worker {
            kind,
            address: server.address,
            status: if server.is_disabled { WorkerStatus::Draining } else { WorkerStatus::Ready },
            id: format!("{kind}/{}", server.name),
            weight: server.weight as f64,
            zone: ZONE,
        }
    }
}

#[derive(Serialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Limits {
    /// `maxconn` counts client connections, and each of them needs a connection to a server.
    fn for_connections(max_connections: u64) -> Self {
        let connections = usize::try_from(max_connections).unwrap_or(usize::MAX).saturating_mul(2);
        let sockets = connections.saturating_add(RESERVED_SOCKETS).max(MIN_SOCKETS);
        let default_memory_mb = crate::config::Limits::default().memory_mb;
        Limits { memory_mb: MemoryDivision::min_memory_mb(sockets).max(default_memory_mb), sockets }
    }
}

#[derive(Serialize)]
struct Settings<'a> {
    classes: [Class; 1],
    #[serde(rename = "family_info")]
    model: ModelSettings,
    #[serde(rename = "my_zone")]
    zone: &'static str,
    permissions: Permissions,
    #[serde(rename = "registry_mode")]
    discovery_mode: &'static str,
    #[serde(rename = "replicas_of_me")]
    replica_count: u32,
    rules: Rules,
    #[serde(rename = "skus")]
    worker_kinds: Vec<&'a str>,
}

impl<'a> Settings<'a> {
    fn new(routes: &Routes<'a>) -> Self {
        let with_servers = routes.backends.iter().filter(|backend| !backend.settings.servers.is_empty());
        let worker_kinds: Vec<&str> = with_servers.map(|backend| backend.name).collect();
        Settings {
            classes: [Class::new(routes)],
            model: ModelSettings {
                cache_hold_limit: 500_000,
                roles: worker_kinds.iter().map(|kind| role_of_backend(kind)).collect(),
            },
            zone: ZONE,
            permissions: Permissions::new(routes),
            discovery_mode: "pushed",
            replica_count: 1,
            rules: Rules::WITHOUT_SLOW_START,
            worker_kinds,
        }
    }
}

#[derive(Serialize)]
struct Class {
    #[serde(rename = "effect")]
    idempotency: &'static str,
    #[serde(rename = "give_up_us")]
    client_timeout: Micros,
    name: &'static str,
    #[serde(rename = "objective_us")]
    first_token_objective: Micros,
}

impl Class {
    fn new(routes: &Routes<'_>) -> Self {
        let server_timeout = configured(routes, |proxy| proxy.server_timeout);
        let client_timeout = server_timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT).max(MIN_CLIENT_TIMEOUT);
        Class {
            idempotency: "non_idempotent",
            client_timeout,
            name: "default",
            first_token_objective: client_timeout / OBJECTIVE_DIVISOR,
        }
    }
}

#[derive(Serialize)]
struct ModelSettings {
    #[serde(rename = "release_us")]
    cache_hold_limit: Micros,
    #[serde(rename = "role_by_kind")]
    roles: Vec<Role>,
}

#[derive(Serialize)]
struct Permissions {
    #[serde(rename = "connect_timeout_us")]
    connect_timeout: Micros,
    #[serde(rename = "idle_close_us")]
    idle_connection_timeout: Micros,
    max_attempts: u64,
    #[serde(rename = "max_retry_after_us")]
    max_retry_after: Micros,
    #[serde(rename = "may_cancel")]
    cancellation_allowed: bool,
    #[serde(rename = "retry_after")]
    retry_after_allowed: bool,
}

impl Permissions {
    fn new(routes: &Routes<'_>) -> Self {
        let idle_connection_timeout = configured(routes, |proxy| proxy.keep_alive_timeout);
        Permissions {
            connect_timeout: configured(routes, |proxy| proxy.connect_timeout)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_connection_timeout: idle_connection_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            max_attempts: configured(routes, |proxy| proxy.retries).unwrap_or(DEFAULT_RETRIES) + 1,
            max_retry_after: 2_000_000,
            cancellation_allowed: true,
            retry_after_allowed: true,
        }
    }
}

#[derive(Serialize)]
struct Rules {
    #[serde(rename = "answer_slack_us")]
    response_grace: Micros,
    #[serde(rename = "cold_from")]
    slow_start_floor: f64,
    #[serde(rename = "cold_us")]
    slow_start_duration: Micros,
    #[serde(rename = "drain_grace_us")]
    drain_grace: Micros,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_us")]
    overload_window: Micros,
}

impl Rules {
    /// Disables slow start, since an HAProxy configuration does not describe how workers warm up.
    const WITHOUT_SLOW_START: Rules = Rules {
        response_grace: 16_000,
        slow_start_floor: 1.0,
        slow_start_duration: 0,
        drain_grace: 1_000_000,
        overload_multiple: 1000.0,
        overload_window: 1_000_000,
    };
}

/// The value of a setting in the first backend that has it, otherwise in the frontend: as in HAProxy,
/// settings that concern servers belong to the backend.
fn configured(routes: &Routes<'_>, setting: fn(&ProxySettings) -> Option<u64>) -> Option<u64> {
    let from_backends = routes.backends.iter().find_map(|backend| setting(backend.settings));
    from_backends.or_else(|| setting(routes.frontend))
}
