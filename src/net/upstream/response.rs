//! A worker's response to an attempt: what its status means, and what is read of it before the attempt goes
//! on.

use crate::interface::{Outcome, Stage};
use crate::net::upstream::call::read_body;
use crate::net::upstream::completion::ConnectionDisposition;
use crate::net::upstream::event_stream::{EventCheck, EventStream, EventStreamError};
use crate::net::upstream::load_report;
use crate::runtime::AttemptResult;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::time::Duration;

/// The short body of a response that is no stream comes together with its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of a response to a prefill.
#[derive(Deserialize)]
struct PrefillResponse {
    cached_tokens: f64,
}

/// Why a response can't be used. The request may have run.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection broke, or what came can't be read as a response.
    #[error("waiting for the response: {0}")]
    Exchange(#[from] hyper::Error),
    /// The stream is corrupted before its first event.
    #[error("reading the first event: {0}")]
    FirstEvent(#[from] EventStreamError),
}

/// The request that a response belongs to.
pub(super) struct SentRequest {
    /// What the worker was asked to do.
    pub stage: Stage,
    /// Whether the last byte of the request had been written when the response began.
    pub is_fully_written: bool,
}

/// A stream whose first event has arrived.
pub(super) struct OpenedStream {
    pub first_event: Bytes,
    pub events: EventStream,
    pub content_type: Option<String>,
    /// Whether HTTP marks the end of the body, by chunks or a length, so that an early close is noticed.
    pub has_marked_end: bool,
}

/// A worker's response, up to its end or to the first event of a stream.
pub(super) enum UpstreamResponse {
    Complete { result: AttemptResult, disposition: ConnectionDisposition },
    Stream(OpenedStream),
}

/// What the head of a response means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseKind {
    /// The response is the stream that was asked for.
    Stream,
    /// The status says how the attempt ended, and a short body follows.
    Final(Outcome),
    /// The response does not belong to what was asked: its body is not read, and the connection not used
    /// again.
    Unexpected(Outcome),
}

impl ResponseKind {
    fn of(head: &Parts, sent: &SentRequest) -> Self {
        let has_not_run = head.headers.contains_key("x-not-run");
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_not_run => {
                ResponseKind::Final(Outcome::Rejected)
            }
            // A worker begins with the last byte: this response does not tell what became of the request.
            _ if !sent.is_fully_written => ResponseKind::Unexpected(Outcome::ConnectFailed),
            StatusCode::OK if sent.stage == Stage::Decode => ResponseKind::Stream,
            StatusCode::ACCEPTED if sent.stage == Stage::Prefill => {
                ResponseKind::Final(Outcome::PrefillCompleted)
            }
            StatusCode::GONE if has_not_run => ResponseKind::Final(Outcome::CacheMissing),
            status if status.is_success() => ResponseKind::Unexpected(Outcome::WorkerError),
            _ => ResponseKind::Final(Outcome::WorkerError),
        }
    }
}

impl UpstreamResponse {
    /// Reads a response as far as needed to tell what it is.
    ///
    /// # Errors
    /// A stream that is corrupted before its first event.
    pub async fn read(response: Response<Incoming>, sent: SentRequest) -> Result<Self, ResponseError> {
        let (head, body) = response.into_parts();
        match ResponseKind::of(&head, &sent) {
            ResponseKind::Stream => Ok(UpstreamResponse::open_stream(&head.headers, body).await?),
            ResponseKind::Final(outcome) => {
                Ok(UpstreamResponse::read_final(outcome, &head.headers, body, &sent).await)
            }
            ResponseKind::Unexpected(outcome) => Ok(UpstreamResponse::closing(outcome)),
        }
    }

    /// A response after which the connection is closed.
    fn closing(outcome: Outcome) -> Self {
        let disposition = ConnectionDisposition::Close;
        UpstreamResponse::Complete { result: outcome.into(), disposition }
    }

    /// Reads the short body of a response whose status has told the outcome: a body that doesn't come, or not
    /// completely, costs only the connection.
    async fn read_final(outcome: Outcome, headers: &HeaderMap, body: Incoming, sent: &SentRequest) -> Self {
        let read = tokio::time::timeout(BODY_TIMEOUT, read_body(body)).await;
        let body = read.ok().and_then(Result::ok);
        let disposition = match body {
            Some(_) if sent.is_fully_written => ConnectionDisposition::Reuse,
            _ => ConnectionDisposition::Close,
        };
        let cached_tokens = match outcome {
            Outcome::PrefillCompleted => prefill_cached_tokens(&body.unwrap_or_default()),
            _ => 0,
        };
        let report = load_report::from_headers(headers);
        UpstreamResponse::Complete { result: AttemptResult { outcome, cached_tokens, report }, disposition }
    }

    /// Reads a stream up to its first event. The head alone is not enough: until an event has come, the
    /// attempt can still be replaced by another one.
    async fn open_stream(headers: &HeaderMap, body: Incoming) -> Result<Self, EventStreamError> {
        let is_chunked = headers.contains_key("transfer-encoding");
        let has_marked_end = is_chunked || body.size_hint().exact().is_some();
        let content_type = headers.get("content-type").and_then(|value| value.to_str().ok());
        let content_type = content_type.map(str::to_owned);
        let check = match &content_type {
            Some(name) if name.starts_with("text/event-stream") => EventCheck::Enforced,
            _ => EventCheck::Skipped,
        };
        let mut events = EventStream::new(body, check);
        match events.first_event().await? {
            Some(first_event) => {
                let stream = OpenedStream { first_event, events, content_type, has_marked_end };
                Ok(UpstreamResponse::Stream(stream))
            }
            None => Ok(UpstreamResponse::closing(Outcome::ConnectionLost)),
        }
    }
}

/// The cached prompt tokens that a prefill worker reports; none if the body can't be read.
fn prefill_cached_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<PrefillResponse>(body).map_or(0, |response| response.cached_tokens as u64)
}

#[cfg(test)]
mod tests;
