//! The relay of a worker's response stream to the client, and of the client side's replies to the worker.

use crate::interface::Outcome;
use crate::net::upstream::call::{UnaryCall, UnaryResponse};
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::completion::ConnectionDisposition;
use crate::net::upstream::event_stream::{EventStream, EventStreamError, StreamPart};
use crate::net::upstream::response::OpenedStream;
use crate::net::upstream::stream_tail::StreamTail;
use crate::rules::close::CLIENT_WRITE_TIMEOUT;
use crate::runtime::exchange::{Frame, Reply, ResponseStreamSender, response_stream};
use crate::runtime::{Attempt, AttemptResult, DriverInput};
use std::time::Duration;
use tokio::time::Instant;
use tower::Service;

/// A stream without an event for this long is broken, whatever its connection says: a machine that vanished
/// sends no reset, and a client that waits for 5 s has lost its answer.
const EVENT_TIMEOUT: Duration = Duration::from_millis(4500);
/// A reply that the worker has not taken within this counts as not delivered.
const REPLY_TIMEOUT: Duration = EVENT_TIMEOUT;

/// Why a stream is broken after its first event.
#[derive(Debug, thiserror::Error)]
enum StreamFault {
    /// No event came for [`EVENT_TIMEOUT`].
    #[error("no event for {EVENT_TIMEOUT:?}")]
    NoEventInTime,
    /// The body broke or holds what is no event.
    #[error("{0}")]
    Corrupted(#[from] EventStreamError),
    /// The connection closed before the end of the stream.
    #[error("it ended early")]
    EndedEarly,
}

/// The end of a stream that was relayed completely.
pub(super) struct CompletedStream {
    pub result: AttemptResult,
    pub disposition: ConnectionDisposition,
}

/// Relays a stream: its events as they come, unchanged, without a deadline, until one side ends it.
///
/// Dropping the future, or an error, breaks the client's stream off without its last chunk.
///
/// # Errors
/// The outcome of an attempt whose stream was cancelled or broke.
pub(super) async fn relay_stream(
    client: &UpstreamClient,
    attempt: &mut Attempt,
    stream: OpenedStream,
) -> Result<CompletedStream, Outcome> {
    let OpenedStream { first_event, events, content_type, has_marked_end } = stream;
    let (sender, response) = response_stream(content_type);
    let (request, index) = (attempt.request, attempt.index);
    client.driver.submit(DriverInput::StreamStarted { request, attempt: index, stream: response });
    let mut relay = StreamRelay {
        client,
        attempt,
        events,
        has_marked_end,
        sender,
        tail: StreamTail::new(),
        last_event: Instant::now(),
    };
    relay.run(StreamPart { bytes: first_event, has_event: true }).await
}

/// A stream that is being relayed.
struct StreamRelay<'a> {
    client: &'a UpstreamClient,
    attempt: &'a mut Attempt,
    events: EventStream,
    has_marked_end: bool,
    sender: ResponseStreamSender,
    tail: StreamTail,
    /// When the worker last sent an event. Time that the client took to accept one is not counted.
    last_event: Instant,
}

impl StreamRelay<'_> {
    async fn run(&mut self, first: StreamPart) -> Result<CompletedStream, Outcome> {
        let mut next = Some(first);
        while let Some(part) = next {
            self.forward(part).await?;
            next = self.next_part().await?;
        }
        let _ = tokio::time::timeout(CLIENT_WRITE_TIMEOUT, self.sender.frames.send(Frame::End)).await;
        let cached_tokens = self.tail.cached_tokens();
        let result = AttemptResult { outcome: Outcome::Completed, cached_tokens, report: None };
        let disposition =
            if self.has_marked_end { ConnectionDisposition::Reuse } else { ConnectionDisposition::Close };
        Ok(CompletedStream { result, disposition })
    }

    /// Hands a part to the client side. Its channel is short: a slow client makes the worker wait, and no
    /// memory grow.
    async fn forward(&mut self, part: StreamPart) -> Result<(), Outcome> {
        self.tail.push(&part.bytes);
        let started = Instant::now();
        let sending = self.sender.frames.send(Frame::Data(part.bytes));
        match tokio::time::timeout(CLIENT_WRITE_TIMEOUT, sending).await {
            Ok(Ok(())) if part.has_event => self.last_event = Instant::now(),
            // A comment is no event, but a client that takes it slowly does not make the worker's silence
            // longer.
            Ok(Ok(())) => self.last_event += started.elapsed(),
            _ => return Err(Outcome::Cancelled),
        }
        Ok(())
    }

    /// Waits for the next part, and meanwhile delivers replies; `None` at the end of a complete stream.
    async fn next_part(&mut self) -> Result<Option<StreamPart>, Outcome> {
        loop {
            let event_deadline = self.last_event + EVENT_TIMEOUT;
            tokio::select! {
                // A cancelled attempt and a client that has left come first: nothing more is relayed for
                // them. Replies come before events, so that a busy stream does not delay them.
                biased;
                _ = &mut self.attempt.cancelled => return Err(Outcome::Cancelled),
                () = self.sender.frames.closed() => return Err(Outcome::Cancelled),
                Some(reply) = self.sender.replies.recv() => {
                    self.last_event = Instant::now();
                    self.deliver(reply);
                }
                // Counted from the last event: bytes that make no complete event do not keep a stream alive.
                received = tokio::time::timeout_at(event_deadline, self.events.next_part()) => {
                    match received {
                        Ok(Ok(Some(part))) => return Ok(Some(part)),
                        Ok(Ok(None)) if self.is_complete() => return Ok(None),
                        // A decode worker that waits for a tool's result has nothing to send.
                        Err(_) if self.sender.awaiting_reply.get() => self.last_event = Instant::now(),
                        Ok(Ok(None)) => return Err(self.record_fault(StreamFault::EndedEarly)),
                        Ok(Err(error)) => return Err(self.record_fault(error.into())),
                        Err(_) => return Err(self.record_fault(StreamFault::NoEventInTime)),
                    }
                }
            }
        }
    }

    /// Whether a stream that has ended is known to be complete.
    fn is_complete(&self) -> bool {
        self.has_marked_end || self.tail.ends_with_done()
    }

    fn record_fault(&self, fault: StreamFault) -> Outcome {
        self.client.counters.streams_broken.increment();
        let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
        log::info!("request {request}: the stream of {worker} broke: {fault}");
        Outcome::ConnectionLost
    }

    /// Sends a reply to the worker on a connection of its own, in a task that goes on when the stream ends.
    fn deliver(&self, reply: Reply) {
        let path = format!("/internal/tool-results/{}", self.attempt.forwarded.id);
        let call = UnaryCall::post_json(self.attempt.worker.clone(), &path, reply.body);
        let Ok(call) = call else { return };
        let mut client = self.client.clone();
        tokio::task::spawn_local(async move {
            let response = tokio::time::timeout(REPLY_TIMEOUT, client.call(call)).await;
            let is_taken = matches!(response, Ok(Ok(UnaryResponse { status, .. })) if status.is_success());
            let _ = reply.accepted.send(is_taken);
        });
    }
}
