//! Finds the requests in the bytes that a router writes on a connection.

use crate::clock::{self, Timestamp};
use crate::http::{self, Head};

/// A request whose head is complete.
pub(super) struct ScannedRequest {
    /// When the first byte was written.
    pub(super) started: Timestamp,
    pub(super) head: Head,
}

/// Follows the boundaries of requests on one connection.
pub(super) struct RequestScanner {
    /// When the first byte of the connection was written, if that was before it is scanned.
    first_byte_at: Option<Timestamp>,
    /// The part of a head that has been written.
    partial_head: Vec<u8>,
    /// The bytes of the current body that have not been written.
    remaining_body: usize,
    /// When the first byte of the current head was written.
    head_started: Timestamp,
}

impl RequestScanner {
    /// A scanner from the start of a connection.
    pub(super) fn new(first_byte_at: Option<Timestamp>) -> Self {
        RequestScanner {
            first_byte_at,
            partial_head: Vec::new(),
            remaining_body: 0,
            head_started: Timestamp::default(),
        }
    }

    /// Whether the last request is complete and no other has started.
    pub(super) fn is_between_requests(&self) -> bool {
        self.partial_head.is_empty() && self.remaining_body == 0
    }

    /// Scans the next bytes, and returns the requests whose heads end in them.
    pub(super) fn scan(&mut self, mut bytes: &[u8]) -> Vec<ScannedRequest> {
        let mut requests = Vec::new();
        while !bytes.is_empty() {
            if self.remaining_body > 0 {
                let length = self.remaining_body.min(bytes.len());
                self.remaining_body -= length;
                bytes = &bytes[length..];
                continue;
            }
            if self.partial_head.is_empty() {
                self.head_started = self.first_byte_at.take().unwrap_or_else(clock::now);
            }
            self.partial_head.extend_from_slice(bytes);
            let Ok(Some((head, length))) = http::parse_request(&self.partial_head) else { break };
            let scanned_before = self.partial_head.len() - bytes.len();
            bytes = &bytes[length - scanned_before..];
            self.partial_head.clear();
            self.remaining_body = head.content_length();
            requests.push(ScannedRequest { started: self.head_started, head });
        }
        requests
    }
}
