//! Updates of the endpoint list as domain types.

use crate::interface::{Endpoint, UpdateKind};
use std::net::SocketAddr;

/// An endpoint with its network address, which only the network code needs.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint {
    /// The worker as the policy sees it.
    pub endpoint: Endpoint,
    /// The address of the worker; `None` keeps the known address.
    pub address: Option<SocketAddr>,
}

/// A snapshot of the endpoint list or a delta.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// Sequence number of the list after this update. Each agent numbers its own list.
    pub sequence: u64,
    /// Whether this is a snapshot: workers missing from it are gone.
    pub complete: bool,
    /// All workers in a snapshot, the changed ones in a delta.
    pub endpoints: Vec<AddressedEndpoint>,
}

impl EndpointUpdate {
    /// The kind of an update received from an agent.
    pub(super) fn kind(&self) -> UpdateKind {
        if self.complete { UpdateKind::Snapshot } else { UpdateKind::Delta }
    }
}
