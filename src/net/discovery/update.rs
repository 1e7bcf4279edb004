//! Updates of the endpoint list in the terms of the domain.

use crate::interface::{Endpoint, UpdateKind};
use std::net::SocketAddr;

/// A worker of the list together with its address, which only the network code needs.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint {
    /// The worker.
    pub endpoint: Endpoint,
    /// Where it is reached; `None` keeps the address that is already known.
    pub address: Option<SocketAddr>,
}

/// The complete endpoint list, or changes of it.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// The sequence number of the list once this update is applied. Each agent numbers its own list.
    pub sequence: u64,
    /// Whether this is the complete list: workers that are not in it are gone.
    pub complete: bool,
    /// The workers that are listed.
    pub endpoints: Vec<AddressedEndpoint>,
}

impl EndpointUpdate {
    /// What this contains when it comes from an agent.
    pub(super) fn kind(&self) -> UpdateKind {
        if self.complete { UpdateKind::Snapshot } else { UpdateKind::Delta }
    }
}
