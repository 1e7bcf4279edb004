//! Relays a worker's response stream to the client, and replies from the server side to the worker.

use crate::interface::Outcome;
use crate::net::upstream::call::{UnaryCall, UnaryResponse};
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::completion::ConnectionDisposition;
use crate::net::upstream::event_stream::{EventStream, EventStreamError, StreamPart};
use crate::net::upstream::response::OpenedStream;
use crate::net::upstream::stream_progress::{EndlessStream, OUTPUT_TIMEOUT, StreamProgress};
use crate::net::upstream::stream_tail::StreamTail;
use crate::rules::close::CLIENT_WRITE_TIMEOUT;
use crate::runtime::exchange::{Frame, Reply, ResponseStreamSender, response_stream};
use crate::runtime::{Attempt, AttemptResult, DriverInput};
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tower::Service;

/// The maximum size of a frame. Longer parts are divided, so that a slow client occupies little memory.
const MAX_FRAME_BYTES: usize = 8 * 1024;
/// The time within which the worker must accept a reply.
const REPLY_TIMEOUT: Duration = OUTPUT_TIMEOUT;

/// Why a stream ended early, after its first event.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// No output arrived for [`OUTPUT_TIMEOUT`].
    #[error("no output for {OUTPUT_TIMEOUT:?}")]
    OutputTimeout,
    /// The connection failed, or the body contains something other than events.
    #[error("{0}")]
    Corrupted(#[from] EventStreamError),
    /// The worker sends more than an answer may contain.
    #[error("{0}")]
    Endless(#[from] EndlessStream),
    /// The connection closed before the end of a body that is not an event stream.
    #[error("the connection closed before the end of the body")]
    Truncated,
    /// The client closed its connection.
    #[error("the client disconnected")]
    ClientDisconnected,
    /// The client read nothing for [`CLIENT_WRITE_TIMEOUT`].
    #[error("the client read nothing for {CLIENT_WRITE_TIMEOUT:?}")]
    ClientWriteTimeout,
    /// The driver cancelled the attempt.
    #[error("the attempt was cancelled")]
    Cancelled,
}

impl StreamError {
    /// The outcome of the attempt. Only a stream that its worker broke is held against the worker.
    fn outcome(&self) -> Outcome {
        match self {
            StreamError::Corrupted(EventStreamError::MemoryExhausted(_))
            | StreamError::ClientDisconnected
            | StreamError::ClientWriteTimeout
            | StreamError::Cancelled => Outcome::Cancelled,
            StreamError::OutputTimeout
            | StreamError::Corrupted(_)
            | StreamError::Endless(_)
            | StreamError::Truncated => Outcome::ConnectionLost,
        }
    }
}

/// The result of a stream that was relayed completely.
pub(super) struct CompletedStream {
    pub result: AttemptResult,
    pub disposition: ConnectionDisposition,
}

/// Relays the events of a stream unchanged as they arrive, until one side ends it. The attempt's deadline no
/// longer applies.
///
/// An error, or dropping the future, ends the client's stream without its last chunk.
///
/// # Errors
/// The outcome of the attempt if the stream was cancelled or broke.
pub(super) async fn relay_stream(
    client: &UpstreamClient,
    attempt: &mut Attempt,
    stream: OpenedStream,
) -> Result<CompletedStream, Outcome> {
    let OpenedStream { first_event, events, content_type, is_self_delimited } = stream;
    let (sender, response) = response_stream(content_type);
    let (request, index) = (attempt.request, attempt.index);
    let max_output_tokens = attempt.forwarded.max_output_tokens;
    client.driver.submit(DriverInput::StreamStarted { request, attempt: index, stream: response });
    let mut relay = StreamRelay {
        client,
        attempt,
        events,
        is_self_delimited,
        sender,
        tail: StreamTail::new(),
        progress: StreamProgress::new(max_output_tokens),
    };
    relay.run(first_event).await.map_err(|error| relay.record_error(&error))
}

/// The relay of one stream.
struct StreamRelay<'a> {
    client: &'a UpstreamClient,
    attempt: &'a mut Attempt,
    events: EventStream,
    is_self_delimited: bool,
    sender: ResponseStreamSender,
    tail: StreamTail,
    progress: StreamProgress,
}

impl StreamRelay<'_> {
    async fn run(&mut self, first: StreamPart) -> Result<CompletedStream, StreamError> {
        let mut next = Some(first);
        while let Some(part) = next {
            self.forward(part).await?;
            next = self.next_part().await?;
        }
        let _ = tokio::time::timeout(CLIENT_WRITE_TIMEOUT, self.sender.frames.send(Frame::End)).await;
        let cached_tokens = self.tail.cached_tokens();
        let result = AttemptResult { outcome: Outcome::Completed, cached_tokens, report: None };
        let disposition =
            if self.is_self_delimited { ConnectionDisposition::Reuse } else { ConnectionDisposition::Close };
        Ok(CompletedStream { result, disposition })
    }

    /// Sends a part to the client. The channel is bounded, so a slow client applies backpressure to the
    /// worker and does not use more memory.
    async fn forward(&mut self, part: StreamPart) -> Result<(), StreamError> {
        self.tail.push(&part.bytes);
        self.progress.record(&part)?;
        if part.bytes.len() <= MAX_FRAME_BYTES {
            return self.send_frame(part.bytes).await;
        }
        // Copies, so that the memory of a long part is not in use until its client has taken all of it.
        for piece in part.bytes.chunks(MAX_FRAME_BYTES) {
            self.send_frame(Bytes::copy_from_slice(piece)).await?;
        }
        Ok(())
    }

    async fn send_frame(&mut self, bytes: Bytes) -> Result<(), StreamError> {
        match self.sender.frames.try_send(Frame::Data(bytes)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Closed(_)) => Err(StreamError::ClientDisconnected),
            Err(TrySendError::Full(frame)) => self.wait_for_client(frame).await,
        }
    }

    /// Sends a frame to a client that holds up the stream.
    async fn wait_for_client(&mut self, frame: Frame) -> Result<(), StreamError> {
        match tokio::time::timeout(CLIENT_WRITE_TIMEOUT, self.sender.frames.send(frame)).await {
            Ok(Ok(())) => {
                self.progress.record_resumption();
                Ok(())
            }
            Ok(Err(_)) => Err(StreamError::ClientDisconnected),
            Err(_) => Err(StreamError::ClientWriteTimeout),
        }
    }

    /// Waits for the next part and delivers replies in the meantime; `None` at the end of a complete stream.
    async fn next_part(&mut self) -> Result<Option<StreamPart>, StreamError> {
        loop {
            let output_deadline = self.progress.deadline();
            tokio::select! {
                // Cancellation and a disconnected client come first, because nothing more may be relayed
                // then. Replies come before events, so that a busy stream does not delay them.
                biased;
                _ = &mut self.attempt.cancelled => return Err(self.cancellation()),
                () = self.sender.frames.closed() => return Err(StreamError::ClientDisconnected),
                Some(reply) = self.sender.replies.recv() => {
                    self.progress.restart();
                    self.deliver_reply(reply);
                }
                // Only output restarts the timeout, and no other bytes.
                received = tokio::time::timeout_at(output_deadline, self.events.next_part()) => {
                    match received {
                        Ok(Ok(Some(part))) => return Ok(Some(part)),
                        Ok(Ok(None)) if self.may_be_truncated() => return Err(StreamError::Truncated),
                        Ok(Ok(None)) => return Ok(None),
                        // A decode worker sends no events while it waits for the result of a tool call.
                        Err(_) if self.sender.awaiting_reply.get() => self.progress.restart(),
                        Ok(Err(error)) => return Err(error.into()),
                        Err(_) => return Err(StreamError::OutputTimeout),
                    }
                }
            }
        }
    }

    /// Whether a stream whose body has ended may be incomplete: the end of a body that is neither validated nor
    /// delimited can't be told from a lost connection.
    fn may_be_truncated(&self) -> bool {
        !self.events.is_validated() && !self.is_self_delimited
    }

    /// Why the driver cancelled the attempt: the driver, too, learns that a client has disconnected.
    fn cancellation(&self) -> StreamError {
        if self.sender.frames.is_closed() { StreamError::ClientDisconnected } else { StreamError::Cancelled }
    }

    /// Logs why the stream ended early, and counts it if its worker broke it. Returns the attempt's outcome.
    fn record_error(&self, error: &StreamError) -> Outcome {
        let (request, worker, progress) =
            (&self.attempt.forwarded.id, &self.attempt.worker.0, &self.progress);
        let outcome = error.outcome();
        if outcome == Outcome::ConnectionLost {
            self.client.counters.streams_broken.increment();
            log::info!("request {request}: stream from {worker} broke: {error}; {progress}");
        } else {
            log::info!("request {request}: stream from {worker} was given up: {error}; {progress}");
        }
        outcome
    }

    /// Sends a reply to the worker on a separate connection, in a task that may outlive the stream.
    fn deliver_reply(&self, reply: Reply) {
        let path = format!("/internal/tool-results/{}", self.attempt.forwarded.id);
        let call = UnaryCall::post_json(self.attempt.worker.clone(), &path, reply.body);
        let Ok(call) = call else { return };
        let mut client = self.client.clone();
        tokio::task::spawn_local(async move {
            let response = tokio::time::timeout(REPLY_TIMEOUT, client.call(call)).await;
            let is_accepted = matches!(response, Ok(Ok(UnaryResponse { status, .. })) if status.is_success());
            let _ = reply.accepted.send(is_accepted);
        });
    }
}
