//! The driver's interface to the upstream client.

use super::exchange::{ForwardedRequest, RequestState};
use crate::interface::{AttemptIndex, Micros, RequestId, Stage, WorkerId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// An attempt of a request, to be executed by the upstream client.
pub struct Attempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Open while the request awaits its final response. Once it is closed, the attempt must not start.
    pub request_state: RequestState,
    /// The index of the attempt within its request.
    pub index: AttemptIndex,
    /// The worker that receives the attempt.
    pub worker: WorkerId,
    /// The stage that the worker executes. Only the response of a decode is a stream.
    pub stage: Stage,
    /// The request to send to the worker.
    pub forwarded: Rc<ForwardedRequest>,
    /// When the attempt times out unless the first event of the response has been received.
    pub deadline: Micros,
    /// The end of the deduplication window of the earlier attempts, inside which the attempt has to arrive: no
    /// byte of it may be written from this time on, and it is abandoned if no response has begun; `None`: no
    /// limit.
    pub deduplication_deadline: Option<Micros>,
    /// A release to wait for: a release that reaches the worker after this attempt would remove the KV cache
    /// that the attempt leaves.
    pub pending_release: Option<Rc<ReleaseProgress>>,
    /// Resolves when the attempt is cancelled, with a value or because the sender was dropped.
    pub cancelled: oneshot::Receiver<()>,
    /// Set by the upstream client before it writes the first byte of the attempt.
    pub write_started: Rc<Cell<bool>>,
}

/// The state of a cache release, shared by the driver, the release task and an attempt that waits for it.
#[derive(Default)]
pub struct ReleaseProgress {
    holder: Option<WorkerId>,
    cancelled: Cell<bool>,
    completed: Cell<bool>,
    changed: Notify,
}

impl ReleaseProgress {
    /// Creates the state of a release that has not started. `holder` is the worker that holds the KV cache,
    /// or the last one that held it; it is called first.
    pub fn new(holder: Option<&WorkerId>) -> Self {
        ReleaseProgress { holder: holder.cloned(), ..ReleaseProgress::default() }
    }

    /// The worker to call first, if one is known.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// Cancels the release, because from now on it might remove the KV cache of a later attempt.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until the release is cancelled. Cancel safe.
    pub async fn cancelled(&self) {
        self.wait_for(&self.cancelled).await;
    }

    /// Records that a worker has acknowledged the release.
    pub fn complete(&self) {
        self.completed.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until a worker has acknowledged the release. Cancel safe.
    pub async fn completed(&self) {
        self.wait_for(&self.completed).await;
    }

    /// All users are on one thread, so the flag cannot change between the check and the registration of the
    /// waiter.
    async fn wait_for(&self, flag: &Cell<bool>) {
        while !flag.get() {
            self.changed.notified().await;
        }
    }
}

/// The calls that the driver makes through the upstream client. None of them blocks: results are submitted to
/// the driver as [`DriverInput`](super::DriverInput).
pub trait Outbound {
    /// Sends an attempt to its worker. Results in exactly one
    /// [`DriverInput::AttemptEnded`](super::DriverInput::AttemptEnded).
    fn send(&self, attempt: Attempt);
    /// Releases the KV cache that any worker holds for a request, unless the release is cancelled.
    fn release_cache(&self, forwarded: Rc<ForwardedRequest>, progress: Rc<ReleaseProgress>);
    /// Asks a decode worker to reserve a slot. Results in
    /// [`DriverInput::SlotReservationAnswered`](super::DriverInput::SlotReservationAnswered) if the worker
    /// responds.
    fn reserve_slot(&self, request: RequestId, forwarded: Rc<ForwardedRequest>, worker: WorkerId);
    /// Checks a worker's health. Results in
    /// [`DriverInput::HealthChecked`](super::DriverInput::HealthChecked).
    fn check_health(&self, worker: WorkerId);
    /// Closes the idle connections to a worker.
    fn close_idle_connections(&self, worker: &WorkerId);
    /// Polls discovery once for the complete endpoint list.
    fn poll_endpoints(&self);
}
