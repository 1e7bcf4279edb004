//! What a prefill worker holds for a request, and by when it has to be let go.
//!
//! A state may be held only so long while no attempt is out. An attempt whose connection has fallen silent reaches nobody
//! and is not out, and nothing tells it from one that waits in a decode worker's queue. So a state is let go at its limit
//! under an unanswered attempt, too: workers keep it for an attempt that has arrived.

use crate::interface::{Micros, Outcome};

/// By then an attempt has arrived, if it does: half of the slack that the protocol grants beyond the settings' limit. The
/// other half is for the release to arrive.
const ARRIVAL: Micros = 150_000;

/// A request's state at a prefill worker, as far as outcomes tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldState {
    /// Since when no attempt is known to have been out; `None` while nothing is held.
    unattended_since: Option<Micros>,
    /// Whether it was released under the attempt that is out.
    is_released: bool,
    /// When the attempt that is out was sent.
    sent: Option<Micros>,
}

impl HeldState {
    /// An attempt was sent.
    pub fn attempt_sent(&mut self, now: Micros) {
        self.sent = Some(now);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome, now: Micros) {
        self.sent = None;
        match outcome {
            Outcome::Read => *self = HeldState { unattended_since: Some(now), ..HeldState::default() },
            Outcome::Served | Outcome::NoState => self.let_go(),
            // It had arrived, and was out until now.
            Outcome::TurnedAway | Outcome::Error => self.renew(now),
            // Behind a release there is a state only if it had arrived.
            Outcome::NoAnswer | Outcome::ConnectionLost | Outcome::Dropped if self.is_released => {
                self.renew(now)
            }
            Outcome::NoAnswer | Outcome::ConnectionLost | Outcome::Dropped => {}
            Outcome::NoConnection | Outcome::NotSent => {}
        }
    }

    fn renew(&mut self, now: Micros) {
        self.unattended_since = self.unattended_since.map(|_| now);
        self.is_released = false;
    }

    /// It was taken over, or its release is on its way.
    pub fn let_go(&mut self) {
        *self = HeldState { sent: self.sent, ..HeldState::default() };
    }

    /// It is released under the attempt that is out, if any.
    pub fn released_unattended(&mut self) {
        self.is_released = true;
    }

    /// Whether something is held that nobody has released.
    pub fn is_held(&self) -> bool {
        self.unattended_since.is_some() && !self.is_released
    }

    /// When it has to be released, if nothing changes.
    pub fn release_due(&self, limit: Micros) -> Option<Micros> {
        let since = self.unattended_since.filter(|_| !self.is_released)?;
        let arrived = self.sent.map_or(0, |sent| sent.saturating_add(ARRIVAL));
        Some(since.saturating_add(limit).max(arrived))
    }
}
