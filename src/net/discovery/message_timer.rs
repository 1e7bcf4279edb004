//! Timeouts of a message that arrives in pieces.

use super::error::DiscoveryError;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time without data after which an incomplete message counts as lost, so that its change can be requested again
/// in time.
const MESSAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the time from the first byte of a message to its last while data arrives. Shorter than the time
/// within which the router has to learn of a change, so that it can be requested again in time.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Number of messages in a row that took too long and that double the limit for the next one.
const MAX_DOUBLINGS: u32 = 3;

/// The time that messages of one agent may take from the first byte to the last while data arrives. It grows with
/// each message that exceeds it, so that a list that takes longer is received in the end.
#[derive(Default)]
pub struct MessageTimeout {
    /// Messages in a row that exceeded the timeout.
    overdue_messages: Cell<u32>,
}

impl MessageTimeout {
    fn current(&self) -> Duration {
        MESSAGE_TIMEOUT * (1 << self.overdue_messages.get().min(MAX_DOUBLINGS))
    }

    fn increase(&self) {
        self.overdue_messages.set(self.overdue_messages.get().saturating_add(1));
    }

    /// Resets the timeout after a complete message.
    pub fn reset(&self) {
        self.overdue_messages.set(0);
    }
}

/// Measures how long a message takes, and how long it has been without data.
pub struct MessageTimer<'a> {
    timeout: &'a MessageTimeout,
    started_at: Instant,
    last_data_at: Instant,
    /// The timeout at the start of the message.
    max_duration: Duration,
}

impl<'a> MessageTimer<'a> {
    /// Starts the timer of a message.
    pub fn start(timeout: &'a MessageTimeout) -> Self {
        let now = Instant::now();
        MessageTimer { timeout, started_at: now, last_data_at: now, max_duration: timeout.current() }
    }

    /// Records data of the message. Whitespace may be a heartbeat, so it does not count.
    pub fn record_data(&mut self, data: &[u8]) {
        if !data.trim_ascii().is_empty() {
            self.last_data_at = Instant::now();
        }
    }

    /// The time at which the message counts as lost unless data arrives before.
    pub fn deadline(&self) -> Instant {
        (self.last_data_at + MESSAGE_IDLE_TIMEOUT).min(self.started_at + self.max_duration)
    }

    /// Gives up a message that reached its deadline after this many bytes. Increases the timeout of later messages
    /// if data arrived until the end.
    pub fn expire(&self, received_bytes: usize) -> DiscoveryError {
        if self.started_at.elapsed() < self.max_duration {
            return DiscoveryError::MessageIdle { received_bytes, timeout: MESSAGE_IDLE_TIMEOUT };
        }
        self.timeout.increase();
        DiscoveryError::MessageOverdue { received_bytes, timeout: self.max_duration }
    }
}
