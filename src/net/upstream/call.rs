//! Single calls to workers beside the attempts: a small request, and a response that is read completely.

use crate::interface::WorkerId;
use crate::net::LocalBoxFuture;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::pool::ConnectError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::task::{Context, Poll};
use tower::Service;

/// The `host` header of every request to a worker.
pub(super) const WORKER_HOST: &str = "model-host";
/// The longest response body that is read completely.
const MAX_CALL_RESPONSE_BYTES: usize = 64 * 1024;

/// A small request to a worker.
pub struct UnaryCall {
    worker: WorkerId,
    request: Request<Full<Bytes>>,
    body_length: usize,
}

impl UnaryCall {
    /// A call without a body.
    ///
    /// # Errors
    /// The path is invalid.
    pub(super) fn new(worker: WorkerId, method: Method, path: &str) -> hyper::http::Result<Self> {
        let request = Request::builder().method(method).uri(path).header("host", WORKER_HOST);
        Ok(UnaryCall { worker, request: request.body(Full::default())?, body_length: 0 })
    }

    /// A `POST` of a JSON document.
    ///
    /// # Errors
    /// The path is invalid.
    pub(super) fn post_json(worker: WorkerId, path: &str, body: Bytes) -> hyper::http::Result<Self> {
        let request = Request::post(path).header("host", WORKER_HOST);
        let request = request.header("content-type", "application/json");
        let body_length = body.len();
        Ok(UnaryCall { worker, request: request.body(Full::new(body))?, body_length })
    }
}

/// The response to a [`UnaryCall`].
pub struct UnaryResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its complete body.
    pub body: Bytes,
}

/// Why a call has no response. It may have reached the worker all the same, unless it could not connect.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The endpoint list has no address of the worker.
    #[error("calling {}: no address is known", .0.0)]
    UnknownAddress(WorkerId),
    /// There is no connection to the worker.
    #[error("calling {}: connecting: {source}", worker.0)]
    Connect {
        /// The worker.
        worker: WorkerId,
        /// What went wrong.
        source: ConnectError,
    },
    /// The connection broke before a complete head of the response.
    #[error("calling {}: waiting for the response: {source}", worker.0)]
    Exchange {
        /// The worker.
        worker: WorkerId,
        /// What went wrong.
        source: hyper::Error,
    },
    /// The response's body is too long or incomplete.
    #[error("calling {}: reading the response body: {source}", worker.0)]
    Body {
        /// The worker.
        worker: WorkerId,
        /// What went wrong.
        source: BodyError,
    },
}

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection broke, or the body's framing is invalid.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The body is longer than any that is expected.
    #[error("longer than {MAX_CALL_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// Reads a body of limited length completely.
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    match Limited::new(body, MAX_CALL_RESPONSE_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.downcast().map_or(BodyError::TooLong, |broken| BodyError::Broken(*broken))),
    }
}

impl UpstreamClient {
    async fn unary(self, call: UnaryCall) -> Result<UnaryResponse, CallError> {
        let UnaryCall { worker, request, body_length } = call;
        let Some(target) = self.target(&worker) else { return Err(CallError::UnknownAddress(worker)) };
        let mut connection = match self.connect(&target).await {
            Ok(connection) => connection,
            Err(source) => return Err(CallError::Connect { worker, source }),
        };
        let response = match connection.send(request, body_length).await {
            Ok(response) => response,
            Err(source) => return Err(CallError::Exchange { worker, source }),
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

    /// Dropping the future closes the call's connection. The worker may have received the call.
    fn call(&mut self, call: UnaryCall) -> Self::Future {
        Box::pin(self.clone().unary(call))
    }
}
