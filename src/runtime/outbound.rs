//! What the driver asks of the upstream client.

use super::exchange::{ForwardedRequest, RequestState};
use crate::interface::{AttemptIndex, Micros, RequestId, Stage, WorkerId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// One attempt at a request, for the upstream client to carry out.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Whether the request still waits for its final answer: otherwise nothing may begin for it.
    pub request_state: RequestState,
    /// The attempt's index.
    pub index: AttemptIndex,
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// What the worker is to do. Only a decode is answered by a stream.
    pub stage: Stage,
    /// What is sent.
    pub forwarded: Rc<ForwardedRequest>,
    /// When to stop waiting for the first event of the answer.
    pub deadline: Micros,
    /// Its first byte must be written before this, so that it arrives inside its deduplication window.
    pub deduplication_deadline: Option<Micros>,
    /// A release to wait for: one that arrives after this attempt would take the cache that the attempt
    /// leaves.
    pub pending_release: Option<Rc<ReleaseProgress>>,
    /// Resolves, with a value or because its sender was dropped, when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// To be set before anything of the request is written.
    pub write_started: Rc<Cell<bool>>,
}

/// The progress of a release, shared by the driver, the release and an attempt that waits for it.
#[derive(Default)]
pub struct ReleaseProgress {
    holder: Option<WorkerId>,
    cancelled: Cell<bool>,
    completed: Cell<bool>,
    changed: Notify,
}

impl ReleaseProgress {
    /// The progress of a release of what a worker holds, or held last. That worker is asked first.
    pub fn new(holder: Option<&WorkerId>) -> Self {
        ReleaseProgress { holder: holder.cloned(), ..ReleaseProgress::default() }
    }

    /// The worker to ask first, if one is known.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// Stops the release: from now on it could release what a later attempt has left.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until the release is cancelled. Cancel safe.
    pub async fn cancelled(&self) {
        self.wait_for(&self.cancelled).await;
    }

    /// Records that a worker has executed the release.
    pub fn complete(&self) {
        self.completed.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until a worker has executed the release. Cancel safe.
    pub async fn completed(&self) {
        self.wait_for(&self.completed).await;
    }

    /// On one thread nothing changes between the look at the flag and the registration of the waiter.
    async fn wait_for(&self, flag: &Cell<bool>) {
        while !flag.get() {
            self.changed.notified().await;
        }
    }
}

/// The calls that the driver makes through the upstream client. None of them waits: their results come back
/// as [`DriverInput`](super::DriverInput).
pub trait Outbound {
    /// Sends a request to a worker. Answered by exactly one
    /// [`DriverInput::AttemptEnded`](super::DriverInput::AttemptEnded).
    fn send(&self, attempt: Attempt);
    /// Releases the KV cache that is held for a request, at whichever worker holds it, until the progress is
    /// stopped.
    fn release_cache(&self, forwarded: Rc<ForwardedRequest>, progress: Rc<ReleaseProgress>);
    /// Asks a decode worker to reserve a slot. Answered by
    /// [`DriverInput::SlotReservationAnswered`](super::DriverInput::SlotReservationAnswered) if the worker responds.
    fn reserve_slot(&self, request: RequestId, forwarded: Rc<ForwardedRequest>, worker: WorkerId);
    /// Checks a worker's health. Answered by
    /// [`DriverInput::HealthChecked`](super::DriverInput::HealthChecked).
    fn check_health(&self, worker: WorkerId);
    /// Closes idle connections to a worker.
    fn close_idle_connections(&self, worker: &WorkerId);
    /// Polls discovery once for the complete endpoint list.
    fn poll_endpoints(&self);
}
