//! The client of the tool server. It sends tool calls, and distinguishes failed calls that can't have run
//! from those that may have.

use super::error::ToolCallError;
use super::protocol::ToolResponse;
use crate::config::ToolSettings;
use crate::interface::WorkerId;
use crate::net::buffer_limit::BufferLimit;
use crate::net::upstream::pool::{
    ConnectError, Connection, Pool, PoolLimits, REUSE_DELAY, Target, UpstreamBody,
};
use crate::runtime::counters::Counters;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, http};
use serde_json::value::RawValue;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tower::{Service, ServiceExt};

/// The pause between attempts of a call. Retries are safe as the tool has not run yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The most attempts of one call; only attempts that can't have reached the tool are retried.
const MAX_ATTEMPTS: u32 = 3;
/// How long an idle connection to the tool server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The tool server's name, in the `host` header and in the connection pool.
const TOOL_SERVER_HOST: &str = "tools";

/// A tool's reply.
#[derive(Clone, Debug)]
pub enum ToolReply {
    /// The result of a successful call.
    Result(Rc<RawValue>),
    /// The tool's own error object.
    Error(Rc<RawValue>),
}

/// The tool's reply, or the router's reason for having none.
pub type ToolOutcome = Result<ToolReply, ToolCallError>;

/// Whether a call may have reached the tool server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The request was not written in full: the tool can't have run.
    Incomplete,
    /// The tool may have run.
    Possible,
}

struct PendingCall<'a> {
    id: &'a str,
    body: Bytes,
    delivery: Cell<Delivery>,
}

/// Why there is no usable reply from the tool server.
#[derive(Debug, thiserror::Error)]
enum ToolServerError {
    #[error("no response within {0:?}")]
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
    #[error("status {status} without a JSON-RPC response: {source}")]
    InvalidResponse { status: StatusCode, source: serde_json::Error },
    #[error("the response has the id of another call")]
    MismatchedResponse,
    #[error("the response must have either a result or an error")]
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
    /// Creates a client without connections.
    pub fn new(
        settings: &ToolSettings,
        connect_timeout: Duration,
        buffer_limit: BufferLimit,
        counters: Rc<Counters>,
    ) -> Self {
        let limits = PoolLimits {
            max_connections: settings.max_concurrent_calls,
            connect_timeout,
            idle_timeout: IDLE_TIMEOUT,
            reuse_delay: REUSE_DELAY,
            buffer_limit,
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

    /// Closes connections that have exceeded the idle timeout.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Sends a call and waits until the tool replies, the call times out or it is cancelled. Dropping the
    /// future closes the call's connection; the tool may have run.
    ///
    /// # Errors
    /// There is no reply. Only [`ToolCallError::NotReached`] guarantees that the tool did not run.
    pub async fn execute(
        &self,
        id: &str,
        body: Bytes,
        mut is_cancelled: watch::Receiver<bool>,
    ) -> ToolOutcome {
        let call = PendingCall { id, body, delivery: Cell::new(Delivery::Incomplete) };
        // Not biased: each branch ends the call, and if several are ready, any of them may win.
        let result = tokio::select! {
            result = self.send_with_retries(&call) => result,
            () = tokio::time::sleep(self.call_timeout) => Err(ToolServerError::TimedOut(self.call_timeout)),
            _ = is_cancelled.wait_for(|is_cancelled| *is_cancelled) => {
                return Err(match call.delivery.get() {
                    Delivery::Incomplete => ToolCallError::NotReached,
                    Delivery::Possible => ToolCallError::Cancelled,
                });
            }
        };
        result.map_err(|error| match (error, call.delivery.get()) {
            (ToolServerError::ResultTooLong(_), _) => ToolCallError::ResultTooLong,
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

    /// Sends a call, and retries it only while it can't have run.
    async fn send_with_retries(&self, call: &PendingCall<'_>) -> Result<ToolReply, ToolServerError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let result = self.send(call).await;
            let may_retry = call.delivery.get() == Delivery::Incomplete && attempts < MAX_ATTEMPTS;
            if result.is_ok() || !may_retry {
                return result;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Makes one attempt. Its connection returns to the pool once the response has been read in full.
    async fn send(&self, call: &PendingCall<'_>) -> Result<ToolReply, ToolServerError> {
        let target = Target { worker: WorkerId(TOOL_SERVER_HOST.into()), address: self.address };
        let mut connection = self.pool.clone().ready().await?.call(target.clone()).await?;
        let response = self.send_on(&mut connection, call).await?;
        let (head, body) = response.into_parts();
        let body = self.read_body(body).await?;
        self.pool.put_back(&target, connection);
        decode_reply(call.id, head.status, &body)
    }

    /// Sends a call on a connection, and records in `call.delivery` whether it may have reached the tool
    /// server.
    async fn send_on(
        &self,
        connection: &mut Connection,
        call: &PendingCall<'_>,
    ) -> Result<Response<Incoming>, ToolServerError> {
        let request = Request::post(&self.path)
            .header("host", TOOL_SERVER_HOST)
            .header("content-type", "application/json")
            .header("idempotency-key", call.id)
            .body(UpstreamBody::new(call.body.clone().into()))?;
        let write_progress = connection.write_progress();
        self.counters.tool_executions.increment();
        // If this future is dropped before it resolves, it is not known how much was written: the tool may
        // have run.
        call.delivery.set(Delivery::Possible);
        let response = connection.send(request, call.body.len()).await;
        // A response shows that the tool server received the request, even if it was not written in full.
        if response.is_err() && !write_progress.is_complete() {
            call.delivery.set(Delivery::Incomplete);
        }
        response.map_err(ToolServerError::Send)
    }

    /// Reads a response body up to the size limit of results.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, ToolServerError> {
        match Limited::new(body, self.max_result_bytes).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            // `Limited` passes on the body's error, or returns one of its own if the body exceeds the limit.
            Err(error) => Err(match error.downcast::<hyper::Error>() {
                Ok(error) => ToolServerError::ReadBody(*error),
                Err(_over_limit) => ToolServerError::ResultTooLong(self.max_result_bytes),
            }),
        }
    }
}

/// Decodes the response to the call with this id.
fn decode_reply(id: &str, status: StatusCode, body: &[u8]) -> Result<ToolReply, ToolServerError> {
    let response: ToolResponse =
        serde_json::from_slice(body).map_err(|source| ToolServerError::InvalidResponse { status, source })?;
    if !response.is_response_to(id) {
        return Err(ToolServerError::MismatchedResponse);
    }
    match (response.result, response.error) {
        (Some(result), None) => Ok(ToolReply::Result(result.into())),
        (None, Some(error)) => Ok(ToolReply::Error(error.into())),
        _ => Err(ToolServerError::AmbiguousResponse),
    }
}
