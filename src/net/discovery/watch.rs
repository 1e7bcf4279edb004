//! Reading a watch of the endpoint list, and noticing when it is dead.

use super::MAX_MESSAGE_BYTES;
use super::error::DiscoveryError;
use super::messages::EndpointListMessage;
use super::parser::{MessageParser, ParseProgress};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A watch on which no line ends for this long is dead: the agent writes at least an empty one every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A message that has begun has to be complete within this, however slowly its bytes come, and a malformed one has to be
/// followed by another: otherwise the change in it is lost, and a new watch has to ask for it again.
const OBJECT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Until when the watch counts as alive.
struct Liveness {
    /// When a line last ended. Bytes that end no line are no sign of life.
    last_line_at: Instant,
    /// Since when a message has been incomplete, or has been known to be lost because it was malformed. Lines alone are
    /// no sign of life then.
    incomplete_since: Option<Instant>,
}

impl Liveness {
    fn start() -> Self {
        Liveness { last_line_at: Instant::now(), incomplete_since: None }
    }

    /// The moment at which the watch counts as dead unless something comes before.
    fn deadline(&self) -> Instant {
        let idle_deadline = self.last_line_at + WATCH_IDLE_TIMEOUT;
        self.incomplete_since.map_or(idle_deadline, |since| idle_deadline.min(since + OBJECT_TIMEOUT))
    }

    fn record_data(&mut self, data: &[u8]) {
        if data.contains(&b'\n') {
            self.last_line_at = Instant::now();
        }
    }

    fn record_progress(&mut self, progress: ParseProgress, incomplete_bytes: usize) {
        match progress {
            ParseProgress::Parsed => self.incomplete_since = None,
            ParseProgress::Malformed => self.mark_incomplete(),
            ParseProgress::NoMessage => {}
        }
        if incomplete_bytes > 0 {
            self.mark_incomplete();
        }
    }

    fn mark_incomplete(&mut self) {
        self.incomplete_since.get_or_insert_with(Instant::now);
    }
}

/// Reads a watch until it fails or ends, and hands over its messages as they come. Dropping the future closes the watch;
/// a message that is not complete by then is lost, and the next watch has to ask for it.
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
        let progress = parser.push(&data, &mut on_message);
        liveness.record_progress(progress, parser.incomplete_bytes());
        if parser.incomplete_bytes() > MAX_MESSAGE_BYTES {
            return Err(DiscoveryError::MessageTooLong { limit: MAX_MESSAGE_BYTES });
        }
    }
}
