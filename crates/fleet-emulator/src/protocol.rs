//! The protocol between routers and workers: how a call names its kind, its request, its time limit and its size.

use crate::http::Head;
use crate::record::{CallKind, RequestId};
use std::time::Duration;

/// The path of calls that release a reserved KV cache, before the id of the request.
const RELEASE_PATH: &str = "/internal/reservations/";

/// The kind of a call, and the request to which it belongs.
pub fn classify(head: &Head) -> (CallKind, RequestId) {
    if let Some(request) = head.target.strip_prefix(RELEASE_PATH) {
        return (CallKind::Release, request.into());
    }
    match head.header("x-request-id") {
        Some(request) if head.method == "POST" => (CallKind::Attempt, request.into()),
        other => (CallKind::Other, other.unwrap_or_default().into()),
    }
}

/// The time limit that the sender of a call states.
pub fn timeout(head: &Head) -> Option<Duration> {
    head.header("x-deadline").and_then(parse_duration)
}

/// The length of the prompt in tokens, as the client states it; 0 if it does not.
pub fn prompt_tokens(head: &Head) -> u64 {
    let pairs = head.header("x-extras").unwrap_or_default().split(',');
    let mut lengths = pairs.filter_map(|pair| pair.strip_prefix("prompt_len=")?.parse().ok());
    lengths.next().unwrap_or_default()
}

/// Parses a duration: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at(text.len().checked_sub(1)?);
    let number = number.parse().ok()?;
    match unit {
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        _ => None,
    }
}
