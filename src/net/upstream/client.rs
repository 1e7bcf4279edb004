//! The upstream client, with the directory of workers, the connection pool and the handle of the driver.

use crate::interface::{LoadReporting, WorkerId};
use crate::net::discovery::Directory;
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::pool::{ConnectError, Connection, Pool, Target};
use crate::runtime::DriverHandle;
use crate::runtime::counters::Counters;
use std::rc::Rc;
use tokio::sync::Notify;
use tower::{Service, ServiceExt};

/// The upstream client: an [`Outbound`](crate::runtime::Outbound) for the driver, and a tower service for
/// unary calls to workers. Clones share the same directory, pool and counters.
#[derive(Clone)]
pub struct UpstreamClient {
    /// The addresses and states of the workers.
    pub directory: Rc<Directory>,
    /// The connections to the workers.
    pub pool: Pool,
    /// Receives the results of attempts and calls.
    pub driver: DriverHandle,
    /// How workers report their load.
    pub load_reporting: LoadReporting,
    /// The router's counters.
    pub counters: Rc<Counters>,
    /// The budget for the memory of long events, which is that of requests.
    pub event_memory: Rc<MemoryBudget>,
    /// Notified when the driver requests the complete endpoint list.
    pub poll_requested: Rc<Notify>,
}

impl UpstreamClient {
    /// The connection target of a worker; `None` if no address is known.
    pub(super) fn target(&self, worker: &WorkerId) -> Option<Target> {
        Some(Target { worker: worker.clone(), address: self.directory.address(worker)? })
    }

    /// Gets a connection from the pool, reused or new. Dropping the future aborts a connect in progress.
    pub(super) async fn connect(&self, target: &Target) -> Result<Connection, ConnectError> {
        self.pool.clone().ready().await?.call(target.clone()).await
    }
}
