//! Finds the requests in the byte stream from a router.

use crate::clock::{self, Timestamp};
use crate::http::{self, Head};

/// A request with a complete head.
pub(super) struct ScannedRequest {
    /// When the router wrote the first byte of the head.
    pub(super) started_at: Timestamp,
    pub(super) head: Head,
}

/// An incremental parser of the request boundaries on one connection.
pub(super) struct RequestScanner {
    /// The time of the connection's first byte, if it arrived before scanning started.
    first_byte_at: Option<Timestamp>,
    /// The bytes of an incomplete head.
    partial_head: Vec<u8>,
    /// The number of bytes until the end of the current body.
    remaining_body_bytes: usize,
    /// The time of the current head's first byte.
    head_started_at: Timestamp,
}

impl RequestScanner {
    /// Creates a scanner for the start of a connection.
    pub(super) fn new(first_byte_at: Option<Timestamp>) -> Self {
        RequestScanner {
            first_byte_at,
            partial_head: Vec::new(),
            remaining_body_bytes: 0,
            head_started_at: Timestamp::default(),
        }
    }

    /// Whether the last request is complete and the next one has not started.
    pub(super) fn is_between_requests(&self) -> bool {
        self.partial_head.is_empty() && self.remaining_body_bytes == 0
    }

    /// Scans the next bytes, and returns the requests whose heads they complete.
    pub(super) fn scan(&mut self, mut bytes: &[u8]) -> Vec<ScannedRequest> {
        let mut requests = Vec::new();
        while !bytes.is_empty() {
            if self.remaining_body_bytes > 0 {
                let length = self.remaining_body_bytes.min(bytes.len());
                self.remaining_body_bytes -= length;
                bytes = &bytes[length..];
                continue;
            }
            if self.partial_head.is_empty() {
                self.head_started_at = self.first_byte_at.take().unwrap_or_else(clock::now);
            }
            self.partial_head.extend_from_slice(bytes);
            let Ok(Some((head, length))) = http::parse_request(&self.partial_head) else { break };
            let scanned_before = self.partial_head.len() - bytes.len();
            bytes = &bytes[length - scanned_before..];
            self.partial_head.clear();
            self.remaining_body_bytes = head.content_length();
            requests.push(ScannedRequest { started_at: self.head_started_at, head });
        }
        requests
    }
}
