//! Reads a watch of the endpoint list and detects when it is dead.

use super::MAX_MESSAGE_BYTES;
use super::error::DiscoveryError;
use super::message_timer::{MessageTimeout, MessageTimer};
use super::messages::EndpointListMessage;
use super::parser::{MessageParser, ParseOutcome};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Idle timeout of a watch. The agent writes a line, possibly an empty one, at least every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The times that determine when a watch is considered dead.
struct Liveness<'a> {
    message_timeout: &'a MessageTimeout,
    /// Time of the last newline or message. Other bytes do not prove that the watch is alive.
    last_line_at: Instant,
    /// The timer of a message that is incomplete, or that was lost because it was malformed: the next valid one
    /// ends it. Newlines do not extend the deadline of such a message.
    message: Option<MessageTimer<'a>>,
}

impl<'a> Liveness<'a> {
    fn start(message_timeout: &'a MessageTimeout) -> Self {
        Liveness { message_timeout, last_line_at: Instant::now(), message: None }
    }

    /// The time at which the watch is considered dead unless data arrives before.
    fn deadline(&self) -> Instant {
        match &self.message {
            Some(timer) => timer.deadline(),
            None => self.last_line_at + WATCH_IDLE_TIMEOUT,
        }
    }

    /// Gives up a watch that reached its deadline.
    fn expire(&self, incomplete_bytes: usize) -> DiscoveryError {
        match &self.message {
            Some(timer) => timer.expire(incomplete_bytes),
            None => DiscoveryError::WatchIdle { timeout: WATCH_IDLE_TIMEOUT },
        }
    }

    fn record_data(&mut self, data: &[u8]) {
        if data.contains(&b'\n') {
            self.last_line_at = Instant::now();
        }
        if let Some(timer) = &mut self.message {
            timer.record_data(data);
        }
    }

    fn record_parse(&mut self, outcome: ParseOutcome, incomplete_bytes: usize) {
        if outcome == ParseOutcome::Parsed {
            self.last_line_at = Instant::now();
            self.message = None;
        }
        if outcome == ParseOutcome::Malformed || incomplete_bytes > 0 {
            self.message.get_or_insert_with(|| MessageTimer::start(self.message_timeout));
        }
    }
}

/// Reads a watch until it fails or ends, and calls `on_message` for each message. Dropping the future closes
/// the watch; an incomplete message is then discarded, and the next watch has to request it again.
pub async fn read_watch(
    mut body: Incoming,
    message_timeout: &MessageTimeout,
    mut on_message: impl FnMut(EndpointListMessage),
) -> Result<Infallible, DiscoveryError> {
    let mut parser = MessageParser::default();
    let mut liveness = Liveness::start(message_timeout);
    loop {
        let frame = timeout_at(liveness.deadline(), body.frame())
            .await
            .map_err(|_| liveness.expire(parser.incomplete_bytes()))?;
        let frame = frame.ok_or(DiscoveryError::WatchEnded)?.map_err(DiscoveryError::Body)?;
        let Ok(data) = frame.into_data() else { continue };
        liveness.record_data(&data);
        let outcome = parser.push(&data, &mut on_message);
        liveness.record_parse(outcome, parser.incomplete_bytes());
        if parser.incomplete_bytes() > MAX_MESSAGE_BYTES {
            return Err(DiscoveryError::MessageTooLong { limit: MAX_MESSAGE_BYTES });
        }
    }
}
