//! The upstream client as the driver sees it: each call starts a task.

use crate::interface::{RequestId, WorkerId};
use crate::net::upstream::attempt::AttemptRunner;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::{health, release, slot};
use crate::runtime::exchange::ForwardedRequest;
use crate::runtime::{Attempt, Outbound, ReleaseProgress};
use std::rc::Rc;

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
