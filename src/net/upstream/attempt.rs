//! Runs one attempt at a request: connects, sends the request, reads the response and relays its stream.

use crate::interface::{Micros, Outcome};
use crate::net::sleep_until;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::completion::{AttemptCompletion, ConnectionDisposition};
use crate::net::upstream::event_stream::EventStreamError;
use crate::net::upstream::forward::forward_request;
use crate::net::upstream::pool::{ConnectError, Connection, Target};
use crate::net::upstream::response::{ResponseError, SentRequest, UpstreamResponse};
use crate::net::upstream::stream::{CompletedStream, relay_stream};
use crate::runtime::{Attempt, AttemptResult};
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The longest time for which an attempt waits for a cache release of the same request.
const RELEASE_WAIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs one attempt.
///
/// A step that ends the attempt early returns the outcome as an error and drops the connection, which closes
/// it; [`Connection`] documents the effect on a partly written request.
pub(super) struct AttemptRunner {
    client: UpstreamClient,
    attempt: Attempt,
    /// Expires at the attempt's deadline for the first event of a stream, or for a complete response of any
    /// other kind.
    deadline: Pin<Box<Sleep>>,
}

impl AttemptRunner {
    /// Runs an attempt and reports its result to the driver exactly once, after its connection has been
    /// closed or returned to the pool.
    ///
    /// Dropping the future reports [`Outcome::ConnectionLost`].
    pub async fn run_to_completion(client: UpstreamClient, attempt: Attempt) {
        let deadline = Box::pin(tokio::time::sleep_until(client.driver.clock.instant(attempt.deadline)));
        let mut runner = AttemptRunner { client, attempt, deadline };
        let completion = AttemptCompletion::new(runner.client.driver.clone(), &runner.attempt);
        let result = runner.run().await.unwrap_or_else(AttemptResult::from);
        completion.finish(result);
    }

    async fn run(&mut self) -> Result<AttemptResult, Outcome> {
        let target = self.client.target(&self.attempt.worker).ok_or(Outcome::NotSent)?;
        self.wait_for_release().await?;
        let mut connection = self.connect(&target).await?;
        let (result, disposition) = match self.send_and_read(&mut connection).await? {
            UpstreamResponse::Complete { result, disposition } => (result, disposition),
            UpstreamResponse::Stream(stream) => {
                let completed = relay_stream(&self.client, &mut self.attempt, stream).await?;
                let CompletedStream { result, disposition } = completed;
                (result, disposition)
            }
        };
        if disposition == ConnectionDisposition::Reuse {
            self.client.pool.put_back(&target, connection);
        }
        Ok(result)
    }

    /// Waits for a cache release of the same request, if one is in progress, and then cancels it.
    ///
    /// A release that reached the worker during or after this attempt's prefill would remove the KV cache
    /// that the prefill leaves for the decode worker. So the release goes first, and makes no more calls once
    /// the prefill is sent.
    async fn wait_for_release(&mut self) -> Result<(), Outcome> {
        let Some(release) = self.attempt.pending_release.take() else { return Ok(()) };
        tokio::select! {
            // Cancellation takes precedence over the end of the release.
            biased;
            _ = &mut self.attempt.cancelled => return Err(Outcome::Cancelled),
            () = release.completed() => {}
            () = tokio::time::sleep(RELEASE_WAIT_TIMEOUT) => {}
        }
        release.cancel();
        Ok(())
    }

    async fn connect(&mut self, target: &Target) -> Result<Connection, Outcome> {
        let window_end = self.deduplication_window_end();
        let connected = tokio::select! {
            // Cancellation first: nothing may be sent for a cancelled attempt. A connection established at
            // the deadline is still used, because the write guard checks the remaining time.
            biased;
            _ = &mut self.attempt.cancelled => return Err(Outcome::Cancelled),
            connected = self.client.connect(target) => connected,
            () = sleep_until(window_end) => return Err(Outcome::NotSent),
            () = &mut self.deadline => return Err(Outcome::ConnectFailed),
        };
        connected.map_err(|error| self.connect_outcome(&error))
    }

    /// The outcome of an attempt that got no connection. Local failures do not count against the worker.
    fn connect_outcome(&self, error: &ConnectError) -> Outcome {
        let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
        match error {
            ConnectError::PoolExhausted | ConnectError::LocalFailure(_) => {
                log::info!("request {request}: not sent to {worker}: {error}");
                Outcome::NotSent
            }
            ConnectError::TimedOut | ConnectError::PeerFailure(_) | ConnectError::Handshake(_) => {
                log::info!("request {request}: failed to connect to {worker}: {error}");
                Outcome::ConnectFailed
            }
        }
    }

    /// When the deduplication window of the earlier attempts ends, if there are any.
    fn deduplication_window_end(&self) -> Option<Instant> {
        self.attempt.deduplication_deadline.map(|end| self.client.driver.clock.instant(end))
    }

    /// The time for which the worker's response is waited for.
    fn response_timeout(&self) -> Micros {
        let end = self.attempt.deduplication_deadline.unwrap_or(Micros::MAX).min(self.attempt.deadline);
        end.saturating_sub(self.client.driver.clock.now())
    }

    /// Sends the request and reads the response: up to the first event of a stream, completely otherwise.
    async fn send_and_read(&mut self, connection: &mut Connection) -> Result<UpstreamResponse, Outcome> {
        let remaining = self.response_timeout();
        let window_end = self.deduplication_window_end();
        let forwarded = &self.attempt.forwarded;
        let request = forward_request(forwarded, remaining).map_err(|_| Outcome::NotSent)?;
        let (body_length, stage) = (forwarded.body.len(), self.attempt.stage);
        let guard = self.client.write_guard(&self.attempt);
        let event_memory = self.client.event_memory.clone();
        let progress = connection.write_progress();
        // A request whose last byte was not written has not run, whatever ended the attempt.
        let effective_outcome =
            |outcome: Outcome| if progress.is_complete() { outcome } else { Outcome::ConnectFailed };
        let response = async {
            let response = tokio::select! {
                // A response shows that the request has arrived inside the window, so it takes precedence.
                biased;
                response = connection.send_guarded(request, body_length, guard) => response?,
                () = sleep_until(window_end) => return Err(ResponseError::DeduplicationWindowExpired),
            };
            let sent = SentRequest { event_memory, stage, is_fully_written: progress.is_complete() };
            UpstreamResponse::read(response, sent).await
        };
        let result = tokio::select! {
            // A response takes precedence over a cancellation or timeout that is ready in the same poll.
            biased;
            result = response => result,
            _ = &mut self.attempt.cancelled => return Err(effective_outcome(Outcome::Cancelled)),
            () = &mut self.deadline => {
                let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
                log::info!("request {request}: no response from {worker} before the deadline");
                return Err(effective_outcome(Outcome::TimedOut));
            }
        };
        result.map_err(|error| match progress.withheld_outcome().or(self.unsent_outcome(&error)) {
            Some(outcome) => {
                self.client.counters.attempts_withheld.increment();
                outcome
            }
            None => effective_outcome(self.record_failure(connection, &error)),
        })
    }

    /// The outcome of an attempt whose deduplication window ended before its first byte was written.
    fn unsent_outcome(&self, error: &ResponseError) -> Option<Outcome> {
        let is_expired = matches!(error, ResponseError::DeduplicationWindowExpired);
        (is_expired && !self.attempt.write_started.get()).then_some(Outcome::NotSent)
    }

    /// Logs why there is no usable response, and reports a failed connection to the pool. Returns the
    /// attempt's outcome.
    fn record_failure(&self, connection: &Connection, error: &ResponseError) -> Outcome {
        let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
        log::info!("request {request}: attempt at {worker} failed: {error}");
        match error {
            ResponseError::FirstEvent(EventStreamError::MemoryExhausted(_)) => Outcome::Cancelled,
            ResponseError::NoResponse(_) | ResponseError::FirstEvent(_) => {
                self.client.pool.record_failure(connection);
                Outcome::ConnectionLost
            }
            // The worker may have had little time, so this is not held against it.
            ResponseError::DeduplicationWindowExpired => Outcome::Cancelled,
        }
    }
}
