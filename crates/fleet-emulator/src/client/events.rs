//! The event stream of one response, as its client receives it.

use crate::clock::{self, Timestamp};
use crate::record::{ConnectionId, RequestId};
use std::collections::HashSet;
use std::time::Duration;

/// What a worker may send beside its answer, without white space at the ends. Routers forward it unchanged.
const EVENTS_WITHOUT_OUTPUT: [&str; 4] = ["", ": ping", "data:", "data: {\"choices\":[]}"];

/// The events received so far, and the check that they are the unaltered stream of one worker for the
/// request.
pub(super) struct EventStream {
    request: RequestId,
    /// The bytes of an incomplete event.
    partial_event: Vec<u8>,
    /// The number of content events received.
    content_events: u64,
    /// The connections to workers over which the events came, one per attempt.
    connections: HashSet<ConnectionId>,
    is_done: bool,
    is_intact: bool,
    longest_delay: Duration,
}

impl EventStream {
    pub(super) fn new(request: RequestId) -> Self {
        EventStream {
            request,
            partial_event: Vec::new(),
            content_events: 0,
            connections: HashSet::new(),
            is_done: false,
            is_intact: true,
            longest_delay: Duration::ZERO,
        }
    }

    /// Whether a content event has been received.
    pub(super) fn has_content(&self) -> bool {
        self.content_events > 0
    }

    /// The number of content events received.
    pub(super) fn content_events(&self) -> u64 {
        self.content_events
    }

    /// Whether the event that ends the stream has been received.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether the events so far are the complete, ordered events of one worker for this request.
    pub(super) fn is_intact(&self) -> bool {
        self.is_intact
    }

    /// The longest delay of an event between its worker and this client.
    pub(super) fn longest_delay(&self) -> Duration {
        self.longest_delay
    }

    /// Processes the next bytes of the response body.
    pub(super) fn receive(&mut self, data: &[u8]) {
        self.partial_event.extend_from_slice(data);
        while let Some(end) = self.partial_event.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.partial_event.drain(..end + 2).collect();
            self.receive_event(String::from_utf8_lossy(&event).trim());
        }
    }

    fn receive_event(&mut self, event: &str) {
        if EVENTS_WITHOUT_OUTPUT.contains(&event) {
            return;
        }
        if event == "data: [DONE]" {
            self.is_intact &= !self.is_done;
            self.is_done = true;
            return;
        }
        let content = event.split_once("\"content\":\"").and_then(|(_, rest)| rest.split('"').next());
        let Some(content) = content else {
            // Besides content events, a worker sends only the usage report at the end.
            self.is_intact &= event.contains("\"usage\"") && self.has_content();
            return;
        };
        let fields: Vec<&str> = content.split(' ').collect();
        let [request, connection, number, sent_at] = fields[..] else {
            self.is_intact = false;
            return;
        };
        self.connections.extend(connection.parse::<ConnectionId>());
        let is_next = number.parse() == Ok(self.content_events) && *request == *self.request;
        self.is_intact &= is_next && self.connections.len() == 1;
        self.content_events += 1;
        let sent_at = Timestamp::from_micros(sent_at.parse().unwrap_or(0));
        self.longest_delay = self.longest_delay.max(clock::now().since(sent_at));
    }
}
