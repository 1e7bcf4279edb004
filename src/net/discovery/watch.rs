//! Reads a watch of the endpoint list and detects when it is dead.

use super::MAX_MESSAGE_BYTES;
use super::error::DiscoveryError;
use super::messages::EndpointListMessage;
use super::parser::{MessageParser, ParseOutcome};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Idle timeout of a watch. The agent writes a line, possibly an empty one, at least every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the time from the first byte of a message to its last, and from a malformed message to the next
/// valid one. After that the message counts as lost, and a new watch has to request its change again.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The times that determine when a watch is considered dead.
struct Liveness {
    /// Time of the last newline. Other bytes do not prove that the watch is alive.
    last_line_at: Instant,
    /// Time since which a message has been incomplete, or lost because it was malformed. Newlines do not
    /// extend the deadline of such a message.
    incomplete_since: Option<Instant>,
}

impl Liveness {
    fn start() -> Self {
        Liveness { last_line_at: Instant::now(), incomplete_since: None }
    }

    /// The time at which the watch is considered dead unless data arrives before.
    fn deadline(&self) -> Instant {
        let idle_deadline = self.last_line_at + WATCH_IDLE_TIMEOUT;
        self.incomplete_since.map_or(idle_deadline, |since| idle_deadline.min(since + MESSAGE_TIMEOUT))
    }

    fn record_data(&mut self, data: &[u8]) {
        if data.contains(&b'\n') {
            self.last_line_at = Instant::now();
        }
    }

    fn record_parse(&mut self, outcome: ParseOutcome, incomplete_bytes: usize) {
        match outcome {
            ParseOutcome::Parsed => self.incomplete_since = None,
            ParseOutcome::Malformed => self.mark_incomplete(),
            ParseOutcome::NoMessage => {}
        }
        if incomplete_bytes > 0 {
            self.mark_incomplete();
        }
    }

    fn mark_incomplete(&mut self) {
        self.incomplete_since.get_or_insert_with(Instant::now);
    }
}

/// Reads a watch until it fails or ends, and calls `on_message` for each message. Dropping the future closes
/// the watch; an incomplete message is then discarded, and the next watch has to request it again.
pub async fn read_watch(
    mut body: Incoming,
    mut on_message: impl FnMut(EndpointListMessage),
) -> Result<Infallible, DiscoveryError> {
    let mut parser = MessageParser::default();
    let mut liveness = Liveness::start();
    loop {
        let frame = timeout_at(liveness.deadline(), body.frame())
            .await
            .map_err(|_| DiscoveryError::WatchIdle { timeout: WATCH_IDLE_TIMEOUT })?;
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
