//! The handling of one call at a worker, with injected misbehaviour.

use super::{Misbehaviour, Worker};
use crate::clock::{self, Timestamp};
use crate::http::{ConnectionUse, encode_chunk};
use crate::record::{ConnectionId, Record, RequestId, Role};
use rand::Rng;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// The head of a streamed response.
pub(super) const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The header of a response to a request that was not executed and may therefore be retried.
const NOT_EXECUTED_HEADER: &str = "x-not-run: 1\r\n";
/// The time for which a call that hangs occupies its slot, and a malformed response its connection.
pub(super) const HANG_DURATION: Duration = Duration::from_secs(20);
/// The largest number of content events in a stream.
const MAX_EVENTS: u64 = 24;
/// The number of output tokens that one event stands for.
const TOKENS_PER_EVENT: u64 = 4;
/// The longest delay between a response and the unsolicited response after it. It is shorter than the time
/// for which routers leave a connection unused after a response, so that they receive the unsolicited one
/// before they send another request.
const MAX_UNSOLICITED_RESPONSE_DELAY: Duration = Duration::from_millis(15);

/// The size of a request in tokens.
#[derive(Clone, Copy)]
pub(super) struct RequestSize {
    pub(super) prompt_tokens: u64,
    pub(super) max_output_tokens: u64,
}

/// A call to an emulated worker, from the received request to the end of the response.
pub(super) struct Exchange<'a, W> {
    pub(super) worker: &'a Worker,
    pub(super) output: &'a mut W,
    pub(super) request: RequestId,
    pub(super) connection: ConnectionId,
    pub(super) misbehaviour: Misbehaviour,
}

/// Draws whether an event of this probability occurs.
pub(super) fn happens(probability: f64) -> bool {
    probability > 0.0 && rand::rng().random_bool(probability.min(1.0))
}

impl<W: AsyncWrite + Unpin> Exchange<'_, W> {
    /// Serves a call that releases the KV cache of its request.
    pub(super) async fn serve_release(&mut self) -> io::Result<ConnectionUse> {
        if self.worker.reservations.release(&self.request).is_some() {
            self.record(Record::CacheReservationEnded { request: self.request.clone() });
        }
        self.respond(204, "", "", true).await
    }

    /// Serves a call that is neither an attempt nor a release.
    pub(super) async fn respond_not_found(&mut self) -> io::Result<ConnectionUse> {
        self.respond(404, "", "", true).await
    }

    /// Serves an attempt. Rejects it if the worker is draining, if its queue is full, or if the deadline
    /// passes before a slot is free.
    pub(super) async fn serve_attempt(
        &mut self,
        size: RequestSize,
        deadline: Timestamp,
    ) -> io::Result<ConnectionUse> {
        let worker = self.worker;
        let _claim_guard =
            (worker.settings.role == Role::Decode).then(|| worker.reservations.claim(&self.request));
        let is_draining = worker.is_draining.load(Ordering::Relaxed);
        if is_draining || happens(self.misbehaviour.rejection) {
            return self.reject(503).await;
        }
        let Ok(_queue_permit) = worker.queue.try_acquire() else { return self.reject(503).await };
        let Ok(_slot_permit) = worker.slots.acquire().await else { return Ok(self.close()) };
        if clock::now() >= deadline {
            return self.reject(504).await;
        }
        if happens(self.misbehaviour.hang) {
            tokio::time::sleep(HANG_DURATION).await;
            return Ok(self.close());
        }
        if happens(self.misbehaviour.close_before_response) {
            return Ok(self.close());
        }
        if happens(self.misbehaviour.error) {
            return self.respond(500, "", "an error", false).await;
        }
        match worker.settings.role {
            Role::Prefill => self.prefill(size.prompt_tokens).await,
            Role::Decode => self.decode(size.max_output_tokens).await,
        }
    }

    async fn prefill(&mut self, prompt_tokens: u64) -> io::Result<ConnectionUse> {
        let worker = self.worker;
        let settings = &worker.settings;
        let processing_time = Duration::from_secs(prompt_tokens) / settings.prefill_tokens_per_second.max(1);
        tokio::time::sleep(worker.slowed(settings.base_latency + processing_time, &self.misbehaviour)).await;
        if happens(self.misbehaviour.malformed_response) {
            return self.respond_malformed().await;
        }
        worker.reservations.reserve(&self.request, settings.index);
        self.record(Record::CacheReserved { request: self.request.clone(), worker: settings.index });
        if happens(self.misbehaviour.close_during_response) {
            return Ok(self.close());
        }
        let headers = "content-type: application/json\r\n";
        let connection_use = self.respond(202, headers, r#"{"cached_tokens":16}"#, true).await?;
        if happens(self.misbehaviour.unsolicited_response) {
            self.respond_unsolicited().await?;
        }
        Ok(connection_use)
    }

    async fn decode(&mut self, max_output_tokens: u64) -> io::Result<ConnectionUse> {
        let worker = self.worker;
        if worker.reservations.fetch(&self.request).is_none() {
            return self.reject(410).await;
        }
        self.record(Record::CacheReservationEnded { request: self.request.clone() });
        tokio::time::sleep(worker.slowed(worker.settings.base_latency, &self.misbehaviour)).await;
        let event_count = (max_output_tokens / TOKENS_PER_EVENT).clamp(1, MAX_EVENTS);
        let malformed_after =
            happens(self.misbehaviour.malformed_response).then(|| rand::rng().random_range(0..=event_count));
        if malformed_after == Some(0) {
            return self.respond_malformed().await;
        }
        let close_before = happens(self.misbehaviour.close_during_response)
            .then(|| rand::rng().random_range(0..event_count));
        for event in 0..event_count {
            if close_before == Some(event) {
                return Ok(self.close());
            }
            self.stream_event(event).await?;
            if malformed_after == Some(event + 1) {
                return self.stream_malformed(event + 1..event_count).await;
            }
        }
        self.end_stream(event_count).await
    }

    /// Writes one event of a stream, and before the first event the head of the response.
    async fn stream_event(&mut self, number: u64) -> io::Result<()> {
        let worker = self.worker;
        if number > 0 {
            tokio::time::sleep(worker.slowed(worker.settings.event_interval, &self.misbehaviour)).await;
            return self.write(&encode_chunk(&self.encode_event(number))).await;
        }
        let mut start = STREAM_HEAD.as_bytes().to_vec();
        start.extend(encode_chunk(&self.encode_event(number)));
        let (request, worker) = (self.request.clone(), worker.settings.index);
        self.record(Record::StreamStarted { request, worker });
        self.write(&start).await
    }

    /// Encodes an event. Its content is the request id, the connection id, the number of the event and the
    /// current time, all of which the client checks.
    pub(super) fn encode_event(&self, number: u64) -> String {
        let (request, connection, now) = (&self.request, self.connection, clock::now().as_micros());
        format!(
            "data: {{\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{request} {connection} {number} {now}\"}},\
             \"finish_reason\":null}}]}}\n\n"
        )
    }

    async fn end_stream(&mut self, event_count: u64) -> io::Result<ConnectionUse> {
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":64,\"completion_tokens\":{},\
             \"prompt_tokens_details\":{{\"cached_tokens\":16}}}}}}\n\n",
            event_count * TOKENS_PER_EVENT
        );
        let mut end = encode_chunk(&usage);
        end.extend(encode_chunk("data: [DONE]\n\n"));
        end.extend(b"0\r\n\r\n");
        self.record_completion(200, false, true);
        self.write(&end).await?;
        if happens(self.misbehaviour.unsolicited_response) {
            self.respond_unsolicited().await?;
        }
        Ok(ConnectionUse::Reuse)
    }

    /// Sends a complete response with a `content-length`. `was_not_executed` is only recorded;
    /// [`Self::reject`] also tells the router.
    async fn respond(
        &mut self,
        status: u16,
        headers: &str,
        body: &str,
        was_not_executed: bool,
    ) -> io::Result<ConnectionUse> {
        let length = body.len();
        let response = format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.record_completion(status, was_not_executed, true);
        self.write(response.as_bytes()).await?;
        Ok(ConnectionUse::Reuse)
    }

    /// Sends a response with a header that tells the router that the request was not executed.
    async fn reject(&mut self, status: u16) -> io::Result<ConnectionUse> {
        self.respond(status, NOT_EXECUTED_HEADER, "", true).await
    }

    /// Records that the response is missing or truncated, and closes the connection.
    fn close(&self) -> ConnectionUse {
        self.record_completion(0, false, false);
        ConnectionUse::Close
    }

    async fn respond_unsolicited(&mut self) -> io::Result<()> {
        let delay = rand::rng().random_range(Duration::ZERO..MAX_UNSOLICITED_RESPONSE_DELAY);
        tokio::time::sleep(delay).await;
        self.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 12\r\n\r\n\
              data: no\n\n\r\n",
        )
        .await
    }

    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.worker.wait_until_resumed().await;
        self.output.write_all(bytes).await?;
        self.output.flush().await
    }

    fn record(&self, record: Record) {
        self.worker.history.add(record);
    }

    pub(super) fn record_completion(&self, status: u16, was_not_executed: bool, is_complete: bool) {
        self.record(Record::CallCompleted {
            request: self.request.clone(),
            worker: self.worker.settings.index,
            connection: self.connection,
            status,
            was_not_executed,
            is_complete,
        });
    }
}
