//! Implements the driver's [`Outbound`] for the upstream client.

use crate::interface::{RequestId, WorkerId};
use crate::net::upstream::attempt::AttemptRunner;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::{health, release, slot};
use crate::runtime::exchange::ForwardedRequest;
use crate::runtime::{Attempt, Outbound, ReleaseProgress};
use std::rc::Rc;

/// Calls to workers run in separate tasks on the current thread. An attempt ends early only through its
/// [`Attempt::cancelled`], a cache release only through its [`ReleaseProgress`].
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
