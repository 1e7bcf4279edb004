//! The protocol between routers and workers: the kind, request id, time limit and prompt length of a call.

use crate::http::Head;
use crate::record::{CallKind, RequestId};
use std::time::Duration;

/// The path prefix of calls that release a reserved KV cache. The id of the request follows.
const RELEASE_PATH_PREFIX: &str = "/internal/reservations/";

/// The kind of a call, and the id of its request; empty if the call names no request.
pub fn classify_call(head: &Head) -> (CallKind, RequestId) {
    if let Some(request) = head.target.strip_prefix(RELEASE_PATH_PREFIX) {
        return (CallKind::Release, request.into());
    }
    match head.header("x-request-id") {
        Some(request) if head.method == "POST" => (CallKind::Attempt, request.into()),
        request => (CallKind::Other, request.unwrap_or_default().into()),
    }
}

/// The timeout that a router propagates with a call.
pub fn propagated_timeout(head: &Head) -> Option<Duration> {
    head.header("x-deadline").and_then(parse_duration)
}

/// The length of the prompt in tokens, as stated by the client; 0 if not stated.
pub fn prompt_tokens(head: &Head) -> u64 {
    let pairs = head.header("x-extras").unwrap_or_default().split(',');
    let mut lengths = pairs.filter_map(|pair| pair.strip_prefix("prompt_len=")?.parse().ok());
    lengths.next().unwrap_or_default()
}

/// Parses a duration: an integer with the unit `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at(text.len().checked_sub(1)?);
    let number = number.parse().ok()?;
    match unit {
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        _ => None,
    }
}
