//! Unary calls to workers outside of attempts: a small request, and a response that is buffered completely.

use crate::interface::WorkerId;
use crate::net::LocalBoxFuture;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::connection::UpstreamBody;
use crate::net::upstream::pool::ConnectError;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::task::{Context, Poll};
use tower::Service;

/// The `host` header of every request to a worker.
pub(super) const WORKER_HOST: &str = "model-host";
/// The limit on response bodies that are buffered completely.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// A small request to a worker.
pub struct UnaryCall {
    worker: WorkerId,
    request: Request<UpstreamBody>,
    body_length: usize,
}

impl UnaryCall {
    /// A call without a body.
    ///
    /// # Errors
    /// `path` is not a valid path of an HTTP request.
    pub(super) fn new(worker: WorkerId, method: Method, path: &str) -> hyper::http::Result<Self> {
        let request = Request::builder().method(method).uri(path).header("host", WORKER_HOST);
        Ok(UnaryCall { worker, request: request.body(UpstreamBody::default())?, body_length: 0 })
    }

    /// A `POST` of a JSON document.
    ///
    /// # Errors
    /// `path` is not a valid path of an HTTP request.
    pub(super) fn post_json(worker: WorkerId, path: &str, body: Bytes) -> hyper::http::Result<Self> {
        let request = Request::post(path).header("host", WORKER_HOST);
        let request = request.header("content-type", "application/json");
        let body_length = body.len();
        Ok(UnaryCall { worker, request: request.body(UpstreamBody::new(body.into()))?, body_length })
    }
}

/// The response to a [`UnaryCall`].
pub struct UnaryResponse {
    /// The HTTP status of the worker's response.
    pub status: StatusCode,
    /// The body, complete and at most [`MAX_BUFFERED_BODY_BYTES`] long.
    pub body: Bytes,
}

/// Why a call failed. The worker may have processed it, unless there was no address or no connection.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The endpoint list has no address for the worker.
    #[error("call to {}: no address is known", .0.0)]
    UnknownAddress(WorkerId),
    /// The connection could not be established.
    #[error("call to {}: no connection: {source}", worker.0)]
    Connect {
        /// The worker that was called.
        worker: WorkerId,
        /// Why the pool could not provide a connection.
        source: ConnectError,
    },
    /// The connection failed before the complete response head arrived.
    #[error("call to {}: no response: {source}", worker.0)]
    NoResponse {
        /// The worker that was called.
        worker: WorkerId,
        /// How the connection failed.
        source: hyper::Error,
    },
    /// The response body is too long or incomplete.
    #[error("call to {}: invalid response body: {source}", worker.0)]
    Body {
        /// The worker that was called.
        worker: WorkerId,
        /// Why the body could not be buffered.
        source: BodyError,
    },
}

/// Why a response body could not be buffered.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the body's framing is invalid.
    #[error("{0}")]
    Incomplete(hyper::Error),
    /// The body exceeds [`MAX_BUFFERED_BODY_BYTES`].
    #[error("longer than {MAX_BUFFERED_BODY_BYTES} bytes")]
    TooLong,
}

/// Buffers a body of at most [`MAX_BUFFERED_BODY_BYTES`].
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    match Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.downcast().map_or(BodyError::TooLong, |error| BodyError::Incomplete(*error))),
    }
}

impl UpstreamClient {
    async fn send_unary(self, call: UnaryCall) -> Result<UnaryResponse, CallError> {
        let UnaryCall { worker, request, body_length } = call;
        let Some(target) = self.target(&worker) else { return Err(CallError::UnknownAddress(worker)) };
        let mut connection = match self.connect(&target).await {
            Ok(connection) => connection,
            Err(source) => return Err(CallError::Connect { worker, source }),
        };
        let response = match connection.send(request, body_length).await {
            Ok(response) => response,
            Err(source) => return Err(CallError::NoResponse { worker, source }),
        };
        let (head, body) = response.into_parts();
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(source) => return Err(CallError::Body { worker, source }),
        };
        self.pool.put_back(&target, connection);
        Ok(UnaryResponse { status: head.status, body })
    }
}

impl Service<UnaryCall> for UpstreamClient {
    type Response = UnaryResponse;
    type Error = CallError;
    type Future = LocalBoxFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    /// Dropping the future closes the connection of the call. The worker may already have processed the call.
    fn call(&mut self, call: UnaryCall) -> Self::Future {
        Box::pin(self.clone().send_unary(call))
    }
}
