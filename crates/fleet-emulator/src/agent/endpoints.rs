//! The endpoint list of a discovery agent, and its messages on the wire.

use crate::record::WorkerIndex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It does.
    Ready,
    /// It only completes the work that it has.
    Draining,
    /// It no longer exists.
    Gone,
}

/// A worker as the list has it. The names on the wire are those of the discovery protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// The name of the worker.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which the router reaches the worker.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The zone of the worker.
    #[serde(rename = "site")]
    pub zone: String,
    /// The role of the worker.
    #[serde(rename = "class")]
    pub role: String,
    /// The cell of the worker.
    #[serde(rename = "block")]
    pub cell: u64,
    /// Whether the worker accepts new work.
    pub health: Health,
    /// The capacity of the worker, relative to others.
    #[serde(rename = "share")]
    pub relative_capacity: f64,
    /// When the process of the worker started, in milliseconds since 1970; 0 for long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

/// A message with all endpoints or with those that changed.
#[derive(Debug, Serialize)]
pub struct EndpointMessage {
    #[serde(rename = "seq")]
    pub(super) version: u64,
    #[serde(rename = "whole")]
    pub(super) is_snapshot: bool,
    #[serde(rename = "hosts")]
    pub(super) endpoints: Vec<Endpoint>,
}

/// An endpoint and the version of the list in which it last changed.
#[derive(Clone, Debug)]
struct VersionedEndpoint {
    changed_in: u64,
    endpoint: Endpoint,
}

/// The endpoint list of one agent.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointList {
    /// The number of changes so far.
    version: u64,
    /// By worker, then by the number of the name under which it is listed.
    endpoints: BTreeMap<(WorkerIndex, usize), VersionedEndpoint>,
}

impl EndpointList {
    /// Replaces the entries of a worker, one for each of its names.
    pub(super) fn update(&mut self, worker: WorkerIndex, entries: Vec<Endpoint>) {
        self.version += 1;
        for (number, endpoint) in entries.into_iter().enumerate() {
            let versioned = VersionedEndpoint { changed_in: self.version, endpoint };
            self.endpoints.insert((worker, number), versioned);
        }
    }

    /// All endpoints that still exist.
    pub(super) fn snapshot(&self) -> EndpointMessage {
        self.message(true, |versioned| versioned.endpoint.health != Health::Gone)
    }

    /// The endpoints that changed after a version, or all if the version is not one of this list.
    pub(super) fn changes_after(&self, version: u64) -> EndpointMessage {
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
