//! The JSON messages of discovery and their conversion to domain types.

use super::update::{AddressedEndpoint, EndpointUpdate};
use crate::interface::{Endpoint, WorkerId, WorkerStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// A message from discovery: a snapshot of the endpoint list or a delta.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListMessage {
    #[serde(rename = "seq")]
    sequence: u64,
    #[serde(default, rename = "whole")]
    complete: bool,
    #[serde(default, rename = "hosts")]
    endpoints: Vec<EndpointMessage>,
}

/// A worker in a message, with the field names of the discovery protocol.
#[derive(Clone, Debug, Deserialize)]
struct EndpointMessage {
    #[serde(rename = "host")]
    worker: String,
    #[serde(rename = "dial")]
    address: Option<SocketAddr>,
    #[serde(default, rename = "site")]
    zone: String,
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(default, rename = "block")]
    cell: u64,
    #[serde(rename = "health")]
    status: StatusMessage,
    #[serde(default = "default_weight", rename = "share")]
    weight: f64,
    /// Zero or absent for a worker that started long ago.
    #[serde(default, rename = "born_ms")]
    started_at_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The status of a worker in a message.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StatusMessage {
    Ready,
    Draining,
    Gone,
}

impl From<StatusMessage> for WorkerStatus {
    fn from(status: StatusMessage) -> Self {
        match status {
            StatusMessage::Ready => WorkerStatus::Ready,
            StatusMessage::Draining => WorkerStatus::Draining,
            StatusMessage::Gone => WorkerStatus::Gone,
        }
    }
}

impl From<EndpointMessage> for AddressedEndpoint {
    fn from(message: EndpointMessage) -> Self {
        let has_start_time = message.started_at_ms > 0.0;
        let endpoint = Endpoint {
            worker: WorkerId(message.worker.into()),
            zone: message.zone,
            kind: message.kind,
            cell: message.cell,
            status: message.status.into(),
            weight: message.weight,
            started_at: has_start_time.then_some((message.started_at_ms * 1000.0) as u64),
        };
        AddressedEndpoint { endpoint, address: message.address }
    }
}

impl From<EndpointListMessage> for EndpointUpdate {
    fn from(message: EndpointListMessage) -> Self {
        let endpoints = message.endpoints.into_iter().map(AddressedEndpoint::from).collect();
        EndpointUpdate { sequence: message.sequence, complete: message.complete, endpoints }
    }
}
