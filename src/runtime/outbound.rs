//! What the driver asks of the client side.

use crate::interface::{AttemptIndex, Micros, RequestId, Stage, WorkerId};
use crate::runtime::exchange::{ForwardedRequest, RequestState};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// One send of a request, for the client side to carry out.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Whether it still waits for its final answer: else nothing may begin for it.
    pub state: RequestState,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Where it goes.
    pub worker: WorkerId,
    /// What the worker is to do. The answer to a prefill is no stream.
    pub stage: Stage,
    /// What is sent.
    pub forwarded: Rc<ForwardedRequest>,
    /// When to stop waiting for the first event.
    pub until: Micros,
    /// It may only begin before this.
    pub begin_before: Option<Micros>,
    /// A release to wait for: one that comes while this is out would take what it leaves.
    pub after: Option<Rc<ReleaseProgress>>,
    /// Resolves, or its other end is dropped, when the attempt is to be dropped.
    pub cancelled: oneshot::Receiver<()>,
    /// To be set before anything of the request is written.
    pub begun: Rc<Cell<bool>>,
}

/// A release in progress, as seen from both ends.
#[derive(Default)]
pub struct ReleaseProgress {
    holder: Option<WorkerId>,
    stopped: Cell<bool>,
    done: Cell<bool>,
    changed: Notify,
}

impl ReleaseProgress {
    /// A release of what a worker holds, or held last: it has just answered, so it is asked first.
    pub fn of(holder: Option<&WorkerId>) -> Self {
        ReleaseProgress { holder: holder.cloned(), ..ReleaseProgress::default() }
    }

    /// The worker to ask first, if one is known.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// Ends it: going on would do harm.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until it is ended.
    pub async fn stopped(&self) {
        self.until(&self.stopped).await;
    }

    /// Some worker has taken it.
    pub fn set_done(&self) {
        self.done.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until some worker has taken it.
    pub async fn done(&self) {
        self.until(&self.done).await;
    }

    async fn until(&self, flag: &Cell<bool>) {
        while !flag.get() {
            self.changed.notified().await;
        }
    }
}

/// What the client side does for the core. Nothing here waits; results come back as [`DriverInput`](super::DriverInput).
pub trait Outbound {
    /// Sends a request. Answered by one [`super::DriverInput::AttemptEnded`].
    fn send(&self, attempt: Attempt);
    /// Lets go of all that is held for a request, at whichever worker; stops trying when told.
    fn release_cache(&self, call: Rc<ForwardedRequest>, releasing: Rc<ReleaseProgress>);
    /// Asks a writer to hold a place. Answered by [`super::DriverInput::SlotReserved`] if the writer can be heard.
    fn reserve_slot(&self, request: RequestId, call: Rc<ForwardedRequest>, worker: WorkerId);
    /// Probes a worker. Answered by [`super::DriverInput::HealthChecked`].
    fn check_health(&self, worker: WorkerId);
    /// Closes idle connections.
    fn close_idle_connections(&self, worker: &WorkerId);
    /// Asks discovery once for the whole list.
    fn poll_endpoints(&self);
}
