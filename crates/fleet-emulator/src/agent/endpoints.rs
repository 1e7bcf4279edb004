//! The endpoint list of a discovery agent, and its snapshots and deltas.

use crate::record::WorkerIndex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The health of a worker, which decides whether routers may send it new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Accepts new work.
    Ready,
    /// Completes its work in progress and accepts no more.
    Draining,
    /// Removed from the endpoint list: snapshots omit the worker, and deltas report it as gone.
    Gone,
}

/// An entry of the endpoint list. The serialized names are those of the discovery protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// The name by which routers identify the worker.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which the router reaches the worker.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The zone of the worker, which limits the scope of some idempotency keys.
    #[serde(rename = "site")]
    pub zone: String,
    /// The role of the worker, `prefill` or `decode`.
    #[serde(rename = "class")]
    pub role: String,
    /// The cell of the worker, a part of its zone.
    #[serde(rename = "block")]
    pub cell: u64,
    /// Whether routers may send new work to the worker.
    pub health: Health,
    /// The capacity of the worker in relation to that of the other workers.
    #[serde(rename = "share")]
    pub relative_capacity: f64,
    /// The start of the worker's process in milliseconds since the Unix epoch, or 0 if it started long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

/// A snapshot of the endpoint list, or a delta with the endpoints that changed.
#[derive(Debug, Serialize)]
pub struct EndpointMessage {
    #[serde(rename = "seq")]
    pub(super) version: u64,
    #[serde(rename = "whole")]
    pub(super) is_snapshot: bool,
    #[serde(rename = "hosts")]
    pub(super) endpoints: Vec<Endpoint>,
}

/// An endpoint and the version of the list that last changed it.
#[derive(Clone, Debug)]
struct VersionedEndpoint {
    changed_in: u64,
    endpoint: Endpoint,
}

/// The endpoint list of one agent.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointList {
    /// The number of updates so far.
    version: u64,
    /// By worker, then by the position among the endpoints of that worker.
    endpoints: BTreeMap<(WorkerIndex, usize), VersionedEndpoint>,
}

impl EndpointList {
    /// Replaces the endpoints of a worker. Their number is the same in every update.
    pub(super) fn update(&mut self, worker: WorkerIndex, endpoints: Vec<Endpoint>) {
        self.version += 1;
        for (position, endpoint) in endpoints.into_iter().enumerate() {
            let versioned = VersionedEndpoint { changed_in: self.version, endpoint };
            self.endpoints.insert((worker, position), versioned);
        }
    }

    /// A snapshot with all endpoints that still exist.
    pub(super) fn snapshot(&self) -> EndpointMessage {
        self.message(true, |versioned| versioned.endpoint.health != Health::Gone)
    }

    /// A delta with the endpoints that changed after a version. A version that the list has not reached comes
    /// from another list, so the result is a snapshot then.
    pub(super) fn delta_since(&self, version: u64) -> EndpointMessage {
        if version > self.version {
            return self.snapshot();
        }
        self.message(false, |versioned| versioned.changed_in > version)
    }

    fn message(
        &self,
        is_snapshot: bool,
        is_included: impl Fn(&VersionedEndpoint) -> bool,
    ) -> EndpointMessage {
        let included = self.endpoints.values().filter(|versioned| is_included(versioned));
        let endpoints = included.map(|versioned| versioned.endpoint.clone()).collect();
        EndpointMessage { version: self.version, is_snapshot, endpoints }
    }
}
