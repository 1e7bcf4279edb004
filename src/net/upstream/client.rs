//! The upstream client: workers' addresses, connections to them, and the driver to report to.

use crate::interface::{LoadReporting, WorkerId};
use crate::net::discovery::Directory;
use crate::net::upstream::pool::{ConnectError, Connection, Pool, Target};
use crate::runtime::DriverHandle;
use crate::runtime::counters::Counters;
use std::rc::Rc;
use tokio::sync::Notify;
use tower::{Service, ServiceExt};

/// The upstream side of the router: an [`Outbound`](crate::runtime::Outbound) for the driver, and a tower service for single calls to
/// workers. Clones share the same directory, pool and counters.
#[derive(Clone)]
pub struct UpstreamClient {
    /// The addresses and states of the workers.
    pub directory: Rc<Directory>,
    /// Connections to them.
    pub pool: Pool,
    /// Where the results of attempts and calls are reported.
    pub driver: DriverHandle,
    /// When workers report their load.
    pub load_reporting: LoadReporting,
    /// The router's counters.
    pub counters: Rc<Counters>,
    /// Notified when the driver wants the complete endpoint list.
    pub poll_requested: Rc<Notify>,
}

impl UpstreamClient {
    /// Where to connect for a worker; `None` if no address is known.
    pub(super) fn target(&self, worker: &WorkerId) -> Option<Target> {
        Some(Target { worker: worker.clone(), address: self.directory.address(worker)? })
    }

    /// A connection to a worker from the pool, or a new one. Dropping the future abandons the connect.
    pub(super) async fn connect(&self, target: &Target) -> Result<Connection, ConnectError> {
        self.pool.clone().ready().await?.call(target.clone()).await
    }
}
