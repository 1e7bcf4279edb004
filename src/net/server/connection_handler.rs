//! The hyper service of one connection: passes requests to the request handler and decides which response is
//! the connection's last.

use crate::net::LocalBoxFuture;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::handler::{HandlerBody, RequestHandler};
use crate::net::server::received_request::ReceivedRequest;
use crate::net::server::request_label::RequestLabel;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::net::server::tracked_body::TrackedBody;
use crate::runtime::counters::Counters;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::watch;
use tower::ServiceExt;
use tower::limit::ConcurrencyLimit;
use tower::load_shed::LoadShed;

/// The request handler behind the limit on requests that await the head of their response. All connections
/// share the limit; above it a request is rejected instead of queued.
pub type LimitedHandler<H> = LoadShed<ConcurrencyLimit<H>>;

/// The hyper service of one connection.
#[derive(Clone)]
pub struct ConnectionHandler<H> {
    /// The request handler behind the concurrency limit that all connections share.
    pub limited: LimitedHandler<H>,
    /// The same handler without the limit, for the responses to rejected requests.
    pub handler: H,
    /// The state of the connection.
    pub client: Rc<ClientSocket>,
    /// The counters of rejected requests.
    pub counters: Rc<Counters>,
    /// Whether the connection was accepted above the connection limit, so that its requests are rejected.
    pub is_over_limit: bool,
    /// The current phase of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
}

impl<H: RequestHandler> ConnectionHandler<H> {
    /// Responds to a request, and marks the response with `Connection: close` if it is the connection's last.
    async fn respond(self, request: Request<Incoming>) -> Response<TrackedBody<H::Body>> {
        let mut response = self.handle(request).await;
        if self.is_last_response() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            self.client.mark_last_response();
        }
        if response.body().is_stream() {
            self.client.begin_streaming();
        }
        response.map(|body| TrackedBody::new(body, self.client))
    }

    /// Passes a request to the handler, or rejects it if the connection or the request is above a limit.
    async fn handle(&self, request: Request<Incoming>) -> Response<H::Body> {
        let client = &self.client;
        let label = RequestLabel::new(&request);
        if self.is_over_limit {
            log::debug!("connection {}: {label} rejected: too many connections", client.number());
            return self.handler.overload_response();
        }
        let received = ReceivedRequest { request, client: client.clone(), shutdown: self.shutdown.clone() };
        // The handler is infallible: an error can only come from load shedding.
        let Ok(response) = self.limited.clone().oneshot(received).await else {
            log::debug!(
                "connection {}: {label} rejected: too many requests await a response",
                client.number()
            );
            self.counters.requests_shed.increment();
            return self.handler.overload_response();
        };
        response
    }

    /// Whether the connection closes after this response. During a graceful shutdown it stays open if another
    /// request has been received, which is then rejected.
    fn is_last_response(&self) -> bool {
        let is_closing = *self.shutdown.borrow() == ShutdownPhase::Closing;
        self.is_over_limit
            || self.client.is_within_body()
            || self.client.has_closed()
            || is_closing && !self.client.has_pending_bytes()
    }
}

impl<H: RequestHandler> hyper::service::Service<Request<Incoming>> for ConnectionHandler<H> {
    type Response = Response<TrackedBody<H::Body>>;
    type Error = Infallible;
    type Future = LocalBoxFuture<Result<Self::Response, Infallible>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let handler = self.clone();
        Box::pin(async move { Ok(handler.respond(request).await) })
    }
}
