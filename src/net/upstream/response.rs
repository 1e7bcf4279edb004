//! Classifies a worker's response to an attempt, and reads it completely or up to a stream's first event.

use crate::interface::{Outcome, Stage};
use crate::net::memory_budget::MemoryBudget;
use crate::net::upstream::call::read_body;
use crate::net::upstream::completion::ConnectionDisposition;
use crate::net::upstream::event_stream::{EventStream, EventStreamError, EventValidation, StreamPart};
use crate::net::upstream::load_report;
use crate::runtime::AttemptResult;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;

/// The timeout for the body of a response that is not a stream. Such a body is short and arrives together
/// with its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of a response to a prefill.
#[derive(Deserialize)]
struct PrefillResponse {
    cached_tokens: f64,
}

/// Why there is no usable response. The request may have run.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection failed, or the response head is invalid.
    #[error("no response: {0}")]
    NoResponse(#[from] hyper::Error),
    /// The stream is corrupted before its first event.
    #[error("invalid first event: {0}")]
    FirstEvent(#[from] EventStreamError),
    /// No response head arrived inside the deduplication window. The request may still be on its way, and
    /// must not arrive any more.
    #[error("no response inside the deduplication window")]
    DeduplicationWindowExpired,
}

/// The properties of a request that decide how its response is read.
pub(super) struct SentRequest {
    /// The budget for the memory of long events.
    pub event_memory: Rc<MemoryBudget>,
    /// The stage that was requested.
    pub stage: Stage,
    /// Whether the last byte of the request had been written when the response head arrived.
    pub is_fully_written: bool,
}

/// A stream whose first event has arrived.
pub(super) struct OpenedStream {
    /// The part with the first event, and all comments before it.
    pub first_event: StreamPart,
    /// The rest of the stream.
    pub events: EventStream,
    pub content_type: Option<String>,
    /// Whether the body is delimited by chunked encoding or a content length, so that an early close is
    /// detected. Otherwise it is delimited by the close of the connection.
    pub is_self_delimited: bool,
}

/// A worker's response, read completely or up to the first event of a stream.
pub(super) enum UpstreamResponse {
    Complete { result: AttemptResult, disposition: ConnectionDisposition },
    Stream(OpenedStream),
}

/// The classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseKind {
    /// The event stream that the attempt asked for.
    Stream,
    /// A response whose status determines the outcome, with a short body.
    Final(Outcome),
    /// A response that does not match the request. Its body is not read, and its connection is closed.
    Unexpected(Outcome),
}

impl ResponseKind {
    fn classify(head: &Parts, sent: &SentRequest) -> Self {
        let has_not_run = head.headers.contains_key("x-not-run");
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_not_run => {
                ResponseKind::Final(Outcome::Rejected)
            }
            // A worker starts to process a request when its last byte arrives, so this response is not the
            // result of the request.
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
    /// Reads a response completely, or up to the first event of a stream.
    ///
    /// # Errors
    /// The stream is corrupted before its first event.
    pub async fn read(response: Response<Incoming>, sent: SentRequest) -> Result<Self, ResponseError> {
        let (head, body) = response.into_parts();
        match ResponseKind::classify(&head, &sent) {
            ResponseKind::Stream => {
                Ok(UpstreamResponse::open_stream(&head.headers, body, sent.event_memory).await?)
            }
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

    /// Reads the short body of a response whose status determines the outcome. If the body is missing or
    /// incomplete, the outcome stands and only the connection is closed.
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

    /// Reads a stream up to its first event. The response head is not enough: the attempt can be retried
    /// until the first event has arrived.
    async fn open_stream(
        headers: &HeaderMap,
        body: Incoming,
        event_memory: Rc<MemoryBudget>,
    ) -> Result<Self, EventStreamError> {
        let is_chunked = headers.contains_key("transfer-encoding");
        let is_self_delimited = is_chunked || body.size_hint().exact().is_some();
        let content_type = headers.get("content-type").and_then(|value| value.to_str().ok());
        let content_type = content_type.map(str::to_owned);
        let validation = EventValidation::for_content_type(content_type.as_deref());
        let mut events = EventStream::new(body, validation, event_memory);
        match events.first_event().await? {
            Some(first_event) => {
                let stream = OpenedStream { first_event, events, content_type, is_self_delimited };
                Ok(UpstreamResponse::Stream(stream))
            }
            None => Ok(UpstreamResponse::closing(Outcome::ConnectionLost)),
        }
    }
}

/// The number of cached prompt tokens that a prefill worker reports; 0 if the body is invalid.
fn prefill_cached_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<PrefillResponse>(body).map_or(0, |response| response.cached_tokens as u64)
}

#[cfg(test)]
mod tests;
