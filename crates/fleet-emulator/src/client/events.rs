//! The events of one streamed response, as its client receives them.

use crate::clock::{self, Timestamp};
use crate::record::{ConnectionId, RequestId};
use std::collections::HashSet;
use std::time::Duration;

/// The received events, and whether they are those that one worker sent for the request.
pub(super) struct EventStream {
    request: RequestId,
    /// The bytes of an event that is not complete.
    partial: Vec<u8>,
    count: u64,
    /// The connections of the attempts from which events came.
    connections: HashSet<ConnectionId>,
    is_done: bool,
    is_intact: bool,
    longest_delay: Duration,
}

impl EventStream {
    pub(super) fn new(request: RequestId) -> Self {
        EventStream {
            request,
            partial: Vec::new(),
            count: 0,
            connections: HashSet::new(),
            is_done: false,
            is_intact: true,
            longest_delay: Duration::ZERO,
        }
    }

    /// Whether any event with content has been received.
    pub(super) fn has_content(&self) -> bool {
        self.count > 0
    }

    /// Whether the last event has been received.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether all events are those that one worker sent for this request, in order.
    pub(super) fn is_intact(&self) -> bool {
        self.is_intact
    }

    /// The longest time that an event took from its worker.
    pub(super) fn longest_delay(&self) -> Duration {
        self.longest_delay
    }

    /// Receives the next bytes of the response.
    pub(super) fn receive(&mut self, data: &[u8]) {
        self.partial.extend_from_slice(data);
        while let Some(end) = self.partial.windows(2).position(|two| two == b"\n\n") {
            let event: Vec<u8> = self.partial.drain(..end + 2).collect();
            self.receive_event(String::from_utf8_lossy(&event).trim());
        }
    }

    fn receive_event(&mut self, event: &str) {
        if event == "data: [DONE]" {
            self.is_done = true;
            return;
        }
        let content = event.split_once("\"content\":\"").and_then(|(_, rest)| rest.split('"').next());
        let Some(content) = content else {
            // The only other event that a worker sends is the usage report at the end.
            self.is_intact &= event.contains("\"usage\"") && self.has_content();
            return;
        };
        let parts: Vec<&str> = content.split(' ').collect();
        let [request, connection, number, sent] = parts[..] else {
            self.is_intact = false;
            return;
        };
        self.connections.extend(connection.parse::<ConnectionId>());
        let is_next = number.parse() == Ok(self.count) && *request == *self.request;
        self.is_intact &= is_next && self.connections.len() == 1;
        self.count += 1;
        let sent = Timestamp::from_micros(sent.parse().unwrap_or(0));
        self.longest_delay = self.longest_delay.max(clock::now().since(sent));
    }
}
