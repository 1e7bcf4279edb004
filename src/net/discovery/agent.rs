//! What the router knows of the discovery agent that it watches.

use super::update::EndpointUpdate;
use std::cell::Cell;

/// Why an update of the agent is not applied.
#[derive(Debug, thiserror::Error)]
pub enum IgnoredUpdate {
    /// Sequence numbers never run backwards within one agent, so this answer was overtaken by another.
    #[error("sequence {sequence} is older than sequence {newest}, which this agent has sent before")]
    Outdated {
        /// The update's sequence number.
        sequence: u64,
        /// The newest one of this agent.
        newest: u64,
    },
    /// An agent that has just started may know no workers yet, which is no reason to think that all are gone.
    #[error("sequence {sequence} is a complete list without workers")]
    EmptySnapshot {
        /// The update's sequence number.
        sequence: u64,
    },
}

/// The state of the exchange with the present agent. A change of the agent's address starts it anew.
///
/// The fields are cells since a watch and a poll beside it both update them, within one task.
#[derive(Default)]
pub struct AgentState {
    /// The newest sequence number that this agent has sent; `None` before its first update.
    newest_sequence: Cell<Option<u64>>,
    /// Whether the list in use is another agent's: sequence numbers of one agent say nothing about another's list, so
    /// the complete list has to be polled before its changes are watched.
    needs_snapshot: Cell<bool>,
    /// Consecutive failures: watches lost or not opened since one was last opened.
    failures: Cell<u32>,
}

impl AgentState {
    /// Starts anew with another agent.
    pub fn reset(&self) {
        self.newest_sequence.set(None);
        self.needs_snapshot.set(true);
        self.failures.set(0);
    }

    /// Decides whether an update may be applied, and if so remembers its sequence number.
    ///
    /// # Errors
    /// The update has to be ignored.
    pub fn accept(&self, update: &EndpointUpdate) -> Result<(), IgnoredUpdate> {
        let sequence = update.sequence;
        if let Some(newest) = self.newest_sequence.get().filter(|newest| sequence < *newest) {
            return Err(IgnoredUpdate::Outdated { sequence, newest });
        }
        if update.complete && update.endpoints.is_empty() {
            return Err(IgnoredUpdate::EmptySnapshot { sequence });
        }
        self.newest_sequence.set(Some(sequence));
        Ok(())
    }

    /// Whether the complete list has to be polled before changes are watched.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot.get()
    }

    /// Records that the complete list was polled.
    pub fn record_snapshot(&self) {
        self.needs_snapshot.set(false);
    }

    /// Consecutive failures so far.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Records that a watch was lost or could not be opened.
    pub fn record_failure(&self) {
        self.failures.set(self.failures.get().saturating_add(1));
    }

    /// Records that a watch was opened. Returns how many failures came before it.
    pub fn record_watch_opened(&self) -> u32 {
        self.failures.take()
    }
}
