//! One attempt at a request: connect, write, wait for the response, relay its stream.

use crate::interface::Outcome;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::completion::{AttemptCompletion, ConnectionDisposition};
use crate::net::upstream::forward::forward_request;
use crate::net::upstream::pool::{ConnectError, Connection, Target};
use crate::net::upstream::response::{ResponseError, SentRequest, UpstreamResponse};
use crate::net::upstream::stream::{CompletedStream, relay_stream};
use crate::runtime::{Attempt, AttemptResult};
use std::pin::Pin;
use std::time::Duration;
use tokio::time::Sleep;

/// How long an attempt waits for a release of the same request.
const RELEASE_WAIT: Duration = Duration::from_millis(100);

/// Carries out one attempt.
///
/// Each step returns the outcome as an error if the attempt ends with it. A connection that is dropped on the
/// way is closed; see [`Connection`] for what that means for a request which was partly written.
pub(super) struct AttemptRunner {
    client: UpstreamClient,
    attempt: Attempt,
    /// The time up to which the first event of a stream, or a complete other response, is awaited.
    deadline: Pin<Box<Sleep>>,
}

impl AttemptRunner {
    /// Carries out an attempt and reports its end to the driver, exactly once.
    ///
    /// By then its connection is closed or back in the pool. Dropping the future reports a lost connection.
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
        let (result, disposition) = match self.exchange(&mut connection).await? {
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

    /// Waits for a release of the same request, if one is in progress, and stops it.
    ///
    /// A release that arrives during a prefill removes the KV cache that this prefill is about to leave, and
    /// the decode worker would not find it. So the release goes first, and is not continued once the prefill
    /// is sent.
    async fn wait_for_release(&mut self) -> Result<(), Outcome> {
        let Some(release) = self.attempt.pending_release.take() else { return Ok(()) };
        tokio::select! {
            // A cancelled attempt ends here, whatever the release has come to.
            biased;
            _ = &mut self.attempt.cancelled => return Err(Outcome::Cancelled),
            () = release.completed() => {}
            () = tokio::time::sleep(RELEASE_WAIT) => {}
        }
        release.cancel();
        Ok(())
    }

    async fn connect(&mut self, target: &Target) -> Result<Connection, Outcome> {
        let connected = tokio::select! {
            // Cancellation first: nothing may be sent for a cancelled attempt. A connection that is made at
            // the deadline is used; the write guard then decides whether there is time left.
            biased;
            _ = &mut self.attempt.cancelled => return Err(Outcome::Cancelled),
            connected = self.client.connect(target) => connected,
            () = &mut self.deadline => return Err(Outcome::ConnectFailed),
        };
        connected.map_err(|error| self.connect_outcome(&error))
    }

    /// The outcome of an attempt without a connection. What this machine lacks says nothing about the worker.
    fn connect_outcome(&self, error: &ConnectError) -> Outcome {
        let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
        match error {
            ConnectError::PoolExhausted | ConnectError::LocalFailure(_) => {
                log::info!("request {request}: not sent to {worker}: {error}");
                Outcome::NotSent
            }
            ConnectError::TimedOut | ConnectError::PeerFailure(_) | ConnectError::Handshake(_) => {
                log::info!("request {request}: can't connect to {worker}: {error}");
                Outcome::ConnectFailed
            }
        }
    }

    /// Sends the request and reads its response, up to the first event if it is a stream.
    async fn exchange(&mut self, connection: &mut Connection) -> Result<UpstreamResponse, Outcome> {
        let remaining = self.attempt.deadline.saturating_sub(self.client.driver.clock.now());
        let forwarded = &self.attempt.forwarded;
        let request = forward_request(forwarded, remaining).map_err(|_| Outcome::NotSent)?;
        let (body_length, stage) = (forwarded.body.len(), self.attempt.stage);
        let guard = self.client.write_guard(&self.attempt);
        let progress = connection.write_progress();
        // Without its last byte a request has not run, however the attempt ended.
        let unless_incomplete =
            |outcome: Outcome| if progress.is_complete() { outcome } else { Outcome::ConnectFailed };
        let exchanging = async {
            let response = connection.send_guarded(request, body_length, guard).await?;
            let sent = SentRequest { stage, is_fully_written: progress.is_complete() };
            UpstreamResponse::read(response, sent).await
        };
        let exchanged = tokio::select! {
            // A response that has come counts, even if the attempt was cancelled or timed out in the same
            // moment.
            biased;
            exchanged = exchanging => exchanged,
            _ = &mut self.attempt.cancelled => return Err(unless_incomplete(Outcome::Cancelled)),
            () = &mut self.deadline => {
                let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
                log::info!("request {request}: no response from {worker} in time");
                return Err(unless_incomplete(Outcome::TimedOut));
            }
        };
        exchanged.map_err(|error| match progress.withheld() {
            Some(outcome) => {
                self.client.counters.attempts_withheld.increment();
                outcome
            }
            None => unless_incomplete(self.record_broken(connection, &error)),
        })
    }

    /// The outcome of an attempt whose connection broke or brought no usable response.
    fn record_broken(&self, connection: &Connection, error: &ResponseError) -> Outcome {
        let (request, worker) = (&self.attempt.forwarded.id, &self.attempt.worker.0);
        log::info!("request {request}: the connection to {worker} broke: {error}");
        self.client.pool.record_broken(connection);
        Outcome::ConnectionLost
    }
}
