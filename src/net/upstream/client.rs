//! The upstream client: the driver's [`Outbound`] over connections to workers.

use crate::interface::{LoadReporting, RequestId, WorkerId};
use crate::net::discovery::Directory;
use crate::net::upstream::attempt::AttemptRunner;
use crate::net::upstream::pool::{ConnectError, Connection, Pool, Target};
use crate::net::upstream::{health, release, slot};
use crate::runtime::counters::Counters;
use crate::runtime::exchange::ForwardedRequest;
use crate::runtime::{Attempt, DriverHandle, Outbound, ReleaseProgress};
use std::rc::Rc;
use tokio::sync::Notify;
use tower::{Service, ServiceExt};

/// The upstream side of the router: an [`Outbound`] for the driver, and a tower service for single calls to
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

/// Each call runs in a task of its own on the current thread. Attempts and releases end early only as their
/// [`Attempt::cancelled`] and [`ReleaseProgress`] say.
impl Outbound for UpstreamClient {
    fn send(&self, attempt: Attempt) {
        tokio::task::spawn_local(AttemptRunner::run_to_completion(self.clone(), attempt));
    }

    fn release_cache(&self, request: Rc<ForwardedRequest>, progress: Rc<ReleaseProgress>) {
        let client = self.clone();
        tokio::task::spawn_local(async move { release::release_cache(&client, &request, &progress).await });
    }

    fn reserve_slot(&self, request: RequestId, forwarded: Rc<ForwardedRequest>, worker: WorkerId) {
        slot::reserve_slot(self, request, &forwarded, worker);
    }

    fn check_health(&self, worker: WorkerId) {
        tokio::task::spawn_local(health::check_health(self.clone(), worker));
    }

    fn close_idle_connections(&self, worker: &WorkerId) {
        self.pool.close_idle_connections(worker);
    }

    fn poll_endpoints(&self) {
        self.poll_requested.notify_one();
    }
}
