//! What a prefill worker holds for a request, and by when it has to be let go.
//!
//! A state may be held only so long while no attempt is out. An attempt whose connection has fallen silent reaches nobody
//! and is not out, and nothing tells it from one that waits in a decode worker's queue. So a state is let go at its limit
//! under an unanswered attempt, too: workers keep it for an attempt that has arrived.

use crate::interface::{Micros, Outcome, WorkerId};

/// How much longer an attempt may take to be answered, or to be given up for another one: half of the slack that the
/// protocol grants beyond the settings' limit. The other half is for the release to arrive.
const UNANSWERED: Micros = 150_000;

/// A request's state at a prefill worker, as far as outcomes tell.
#[derive(Clone, Debug, Default)]
pub struct HeldCache {
    /// Since when no attempt is known to have been out; `None` while nothing is held.
    unattended_since: Option<Micros>,
    /// The worker that holds it.
    holder: Option<WorkerId>,
    /// Whether it was released under the attempt that is out.
    is_released: bool,
    /// Whether an attempt is out.
    is_out: bool,
}

impl HeldCache {
    /// An attempt was sent.
    pub fn attempt_sent(&mut self) {
        self.is_out = true;
    }

    /// An attempt at a worker has ended.
    pub fn attempt_ended(&mut self, worker: &WorkerId, outcome: Outcome, now: Micros) {
        self.is_out = false;
        match outcome {
            Outcome::PrefillCompleted => {
                let (unattended_since, holder) = (Some(now), Some(worker.clone()));
                *self = HeldCache { unattended_since, holder, ..HeldCache::default() };
            }
            Outcome::Completed | Outcome::CacheMissing => self.let_go(),
            // It had arrived, and was out until now.
            Outcome::Rejected | Outcome::WorkerError => self.renew(now),
            // Behind a release there is a state only if it had arrived.
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled if self.is_released => {
                self.renew(now)
            }
            // What may have reached nobody, or did reach nobody, proves nothing.
            Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Cancelled
            | Outcome::ConnectFailed
            | Outcome::NotSent => {}
        }
    }

    fn renew(&mut self, now: Micros) {
        self.unattended_since = self.unattended_since.map(|_| now);
        self.is_released = false;
    }

    /// It was taken over, or its release is on its way.
    pub fn let_go(&mut self) {
        self.unattended_since = None;
        self.is_released = false;
    }

    /// It is released under the attempt that is out, if any.
    pub fn released_unattended(&mut self) {
        self.is_released = true;
    }

    /// Whether something is held that nobody has released.
    pub fn is_held(&self) -> bool {
        self.unattended_since.is_some() && !self.is_released
    }

    /// The worker that holds it, or held it last.
    pub fn holder(&self) -> Option<&WorkerId> {
        self.holder.as_ref()
    }

    /// When it has to be released, if nothing changes.
    pub fn release_due(&self, limit: Micros) -> Option<Micros> {
        let since = self.unattended_since.filter(|_| !self.is_released)?;
        let unanswered = if self.is_out { UNANSWERED } else { 0 };
        Some(since.saturating_add(limit).saturating_add(unanswered))
    }
}
