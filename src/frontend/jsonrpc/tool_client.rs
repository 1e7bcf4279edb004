//! The client of the tool server: sends one tool call, and tells apart calls that can't have run from those that may
//! have.

use super::error::ToolCallError;
use super::protocol::ToolResponse;
use crate::config::ToolSettings;
use crate::interface::WorkerId;
use crate::net::upstream::pool::{ConnectError, Connection, Pool, PoolLimits, REUSE_DELAY, Target};
use crate::runtime::counters::Counters;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, http};
use serde_json::value::RawValue;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tower::{Service, ServiceExt};

/// Between two attempts to connect. A retry is harmless as nothing has run yet.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to connect for one call.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// How long an idle connection to the tool server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The tool server's name, in the `host` header and in the connection pool.
const TOOL_SERVER: &str = "tools";

/// What a tool answered.
#[derive(Clone, Debug)]
pub enum ToolReply {
    /// Its result.
    Result(Rc<RawValue>),
    /// Its error object.
    Error(Rc<RawValue>),
}

/// How a tool call ended: with the tool's reply, or with the router's reason for having none.
pub type ToolOutcome = Result<ToolReply, ToolCallError>;

/// How far a call has come on its way to the tool server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The request was not written in full: the tool can't have run.
    Incomplete,
    /// The tool may have run.
    Possible,
}

/// A call on its way.
struct PendingCall<'a> {
    id: &'a str,
    body: Bytes,
    delivery: Cell<Delivery>,
}

/// Why a call brought no reply from the tool.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    #[error("connecting to the tool server: {0}")]
    Connect(#[from] ConnectError),
    #[error("building the HTTP request: {0}")]
    BuildRequest(#[from] http::Error),
    #[error("sending the HTTP request: {0}")]
    Send(#[source] hyper::Error),
    #[error("reading the response body: {0}")]
    ReadBody(#[source] hyper::Error),
    #[error("the result exceeds {0} bytes")]
    ResultTooLong(usize),
    #[error("status {status}, no JSON-RPC response: {source}")]
    NoJsonRpc { status: StatusCode, source: serde_json::Error },
    #[error("the response is to another call")]
    MismatchedResponse,
    #[error("the response has neither or both of result and error")]
    AmbiguousResponse,
}

/// The client of the tool server, with its connection pool.
pub struct ToolClient {
    address: SocketAddr,
    path: String,
    call_timeout: Duration,
    max_result_bytes: usize,
    pool: Pool,
    counters: Rc<Counters>,
}

impl ToolClient {
    /// A client without connections yet.
    pub fn new(settings: &ToolSettings, connect_timeout: Duration, counters: Rc<Counters>) -> Self {
        let limits = PoolLimits {
            max_connections: settings.max_concurrent_calls,
            connect_timeout,
            idle_timeout: IDLE_TIMEOUT,
            reuse_delay: REUSE_DELAY,
        };
        ToolClient {
            address: settings.address,
            path: settings.path.clone(),
            call_timeout: settings.call_timeout(),
            max_result_bytes: settings.max_result_bytes,
            pool: Pool::new(limits, counters.clone()),
            counters,
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Sends a call, until the tool replies, the call times out or it is cancelled. Dropping the future closes the
    /// call's connection; the tool may have run.
    ///
    /// # Errors
    /// There is no reply. [`ToolCallError::NotReached`] alone promises that the tool did not run.
    pub async fn execute(
        &self,
        id: &str,
        body: Bytes,
        mut is_cancelled: watch::Receiver<bool>,
    ) -> ToolOutcome {
        let call = PendingCall { id, body, delivery: Cell::new(Delivery::Incomplete) };
        // Not biased: each branch ends the call, and of two that are ready at once either may decide how.
        let result = tokio::select! {
            result = self.send_with_retries(&call) => result,
            () = tokio::time::sleep(self.call_timeout) => Err(ExchangeError::TimedOut(self.call_timeout)),
            _ = is_cancelled.wait_for(|is_cancelled| *is_cancelled) => {
                return Err(match call.delivery.get() {
                    Delivery::Incomplete => ToolCallError::NotReached,
                    Delivery::Possible => ToolCallError::Cancelled,
                });
            }
        };
        result.map_err(|error| match (error, call.delivery.get()) {
            (ExchangeError::ResultTooLong(_), _) => ToolCallError::ResultTooLong,
            (error, Delivery::Incomplete) => {
                log::warn!("tool call {id}: {error}; it did not run");
                ToolCallError::NotReached
            }
            (error, Delivery::Possible) => {
                log::warn!("tool call {id}: {error}; it may have run");
                ToolCallError::OutcomeUnknown
            }
        })
    }

    /// Sends a call, again only for as long as it can't have run.
    async fn send_with_retries(&self, call: &PendingCall<'_>) -> Result<ToolReply, ExchangeError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let result = self.send(call).await;
            let may_retry = call.delivery.get() == Delivery::Incomplete && attempts < MAX_CONNECT_ATTEMPTS;
            if result.is_ok() || !may_retry {
                return result;
            }
            tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
        }
    }

    /// One attempt, on one connection; the connection is used again once the response has been read in full.
    async fn send(&self, call: &PendingCall<'_>) -> Result<ToolReply, ExchangeError> {
        let target = Target { worker: WorkerId(TOOL_SERVER.into()), address: self.address };
        let mut connection = self.pool.clone().ready().await?.call(target.clone()).await?;
        let response = self.send_on(&mut connection, call).await?;
        let (head, body) = response.into_parts();
        let body = self.read_body(body).await?;
        self.pool.put_back(&target, connection);
        decode_reply(call.id, head.status, &body)
    }

    /// Sends a call on a connection, and records whether it may have reached the tool server.
    async fn send_on(
        &self,
        connection: &mut Connection,
        call: &PendingCall<'_>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let request = Request::post(&self.path)
            .header("host", TOOL_SERVER)
            .header("content-type", "application/json")
            .header("idempotency-key", call.id)
            .body(Full::new(call.body.clone()))?;
        let write_progress = connection.write_progress();
        self.counters.tool_executions.increment();
        // Should this future be dropped half-way, nobody can ask how much was written: the tool may have run.
        call.delivery.set(Delivery::Possible);
        let response = connection.send(request, call.body.len()).await;
        // A response says that the tool server had the request, however much of it was written.
        if response.is_err() && !write_progress.is_complete() {
            call.delivery.set(Delivery::Incomplete);
        }
        response.map_err(ExchangeError::Send)
    }

    /// Reads a response body within the limit on results.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, ExchangeError> {
        match Limited::new(body, self.max_result_bytes).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            // It fails with the body's own error or, for a body over the limit, with one of its own.
            Err(error) => Err(match error.downcast::<hyper::Error>() {
                Ok(error) => ExchangeError::ReadBody(*error),
                Err(_over_limit) => ExchangeError::ResultTooLong(self.max_result_bytes),
            }),
        }
    }
}

/// Decodes the response to the call of this id.
fn decode_reply(id: &str, status: StatusCode, body: &[u8]) -> Result<ToolReply, ExchangeError> {
    let response: ToolResponse =
        serde_json::from_slice(body).map_err(|source| ExchangeError::NoJsonRpc { status, source })?;
    if !response.answers(id) {
        return Err(ExchangeError::MismatchedResponse);
    }
    match (response.result, response.error) {
        (Some(result), None) => Ok(ToolReply::Result(result.into())),
        (None, Some(error)) => Ok(ToolReply::Error(error.into())),
        _ => Err(ExchangeError::AmbiguousResponse),
    }
}
