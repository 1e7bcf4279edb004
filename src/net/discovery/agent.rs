//! The state of polling and watching the discovery agent.

use super::message_timer::MessageTimeout;
use super::update::EndpointUpdate;
use std::cell::Cell;

/// The reason why an update of the agent is not applied.
#[derive(Debug, thiserror::Error)]
pub enum UpdateRejection {
    /// The sequence numbers of one agent never decrease, so a newer message overtook this one.
    #[error("sequence {sequence} is older than sequence {newest} received earlier from this agent")]
    Outdated {
        /// The update's sequence number.
        sequence: u64,
        /// The newest sequence number received from this agent.
        newest: u64,
    },
    /// An agent that has just started may not know any workers yet, so an empty list does not mean that all
    /// are gone.
    #[error("the complete list of sequence {sequence} has no workers")]
    EmptySnapshot {
        /// The update's sequence number.
        sequence: u64,
    },
}

/// The state of polling and watching the current agent, reset when the agent's address changes.
///
/// The fields are cells since a watch and a concurrent poll in the same task both update them.
#[derive(Default)]
pub struct AgentState {
    /// The newest sequence number received from this agent; `None` before its first update.
    newest_sequence: Cell<Option<u64>>,
    /// Whether the current list came from another agent. Each agent numbers its own list, so the complete
    /// list has to be polled before a watch can resume from a sequence number.
    needs_snapshot: Cell<bool>,
    /// Consecutive failures: calls failed and watches lost since a watch was last opened.
    failures: Cell<u32>,
    /// The time that a message of this agent may take.
    message_timeout: MessageTimeout,
}

impl AgentState {
    /// Resets the state for a new agent.
    pub fn reset(&self) {
        self.newest_sequence.set(None);
        self.needs_snapshot.set(true);
        self.failures.set(0);
        self.message_timeout.reset();
    }

    /// Checks whether an update may be applied, and records its sequence number if so.
    ///
    /// # Errors
    /// The update is outdated, or is a complete list without workers.
    pub fn accept(&self, update: &EndpointUpdate) -> Result<(), UpdateRejection> {
        self.message_timeout.reset();
        let sequence = update.sequence;
        if let Some(newest) = self.newest_sequence.get().filter(|newest| sequence < *newest) {
            return Err(UpdateRejection::Outdated { sequence, newest });
        }
        if update.complete && update.endpoints.is_empty() {
            return Err(UpdateRejection::EmptySnapshot { sequence });
        }
        self.newest_sequence.set(Some(sequence));
        Ok(())
    }

    /// Whether the complete list has to be polled before a watch is opened.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot.get()
    }

    pub fn record_snapshot(&self) {
        self.needs_snapshot.set(false);
    }

    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// The time that a message may take from its first byte to its last.
    pub fn message_timeout(&self) -> &MessageTimeout {
        &self.message_timeout
    }

    /// Records that a call failed or a watch was lost.
    pub fn record_failure(&self) {
        self.failures.set(self.failures.get().saturating_add(1));
    }

    /// Records that a watch was opened. Returns the number of failures before it.
    pub fn record_watch_opened(&self) -> u32 {
        self.failures.take()
    }
}
