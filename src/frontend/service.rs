//! Handles the requests of clients: routes them by path, checks them, and submits them to the driver.

use crate::frontend::context::{ActiveRequestId, ServiceContext};
use crate::frontend::error::{RETRY_AFTER, RequestError};
use crate::frontend::jsonrpc::JsonRpcService;
use crate::frontend::platform::{self, ParsedRequest};
use crate::frontend::request_body::{RequestBody, read_body};
use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::net::Local;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::framing::HeadFraming;
use crate::net::server::handler::RequestHandler;
use crate::net::server::memory_budget::MemoryReservation;
use crate::net::server::received_request::ReceivedRequest;
use crate::net::server::request_label::RequestLabel;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::exchange::ForwardedRequest;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::any::Any;
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::watch;
use tower::Service;

/// The path of the health check.
const HEALTH_PATH: &str = "/healthz";

/// The tower service that answers the requests of all connections.
#[derive(Clone)]
pub struct RequestService {
    /// What all connections share.
    pub context: Rc<ServiceContext>,
    /// The JSON-RPC frontend, if one is configured.
    pub jsonrpc: Option<Rc<JsonRpcService>>,
}

/// What a request keeps for as long as an attempt or a release of it is outstanding, after its response too. Otherwise
/// another client could send a request with the same id while a worker still streams the first one.
struct RequestResources {
    _id: ActiveRequestId,
    _body_memory: MemoryReservation,
}

impl RequestService {
    /// Answers one request. What can't be submitted to the driver is answered, counted and logged here.
    async fn respond(self, received: ReceivedRequest) -> Response<ResponseBody> {
        let ReceivedRequest { request, client, shutdown } = received;
        let label = RequestLabel::new(&request);
        let result = match client.next_head_framing() {
            HeadFraming::Ambiguous => Err(RequestError::AmbiguousFraming),
            HeadFraming::Unambiguous => self.route(request, &client, &shutdown).await,
        };
        result.unwrap_or_else(|error| {
            let reason = error.to_string();
            let response = error.into_response(&self.context.counters);
            // Only a 503 is a rejection, which promises that a retry does no harm.
            match response.status() {
                StatusCode::SERVICE_UNAVAILABLE => {
                    log::debug!("connection {}: {label} rejected: {reason}", client.number());
                }
                status => {
                    let status = status.as_u16();
                    log::debug!("connection {}: {label} answered with {status}: {reason}", client.number());
                }
            }
            response
        })
    }

    /// Passes a request to the protocol that is served at its path.
    ///
    /// # Errors
    /// Nothing is served at its path with its method, or the request can't be submitted to the driver.
    async fn route(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientSocket>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let path = request.uri().path();
        if path == HEALTH_PATH && request.method() == Method::GET {
            return Ok(self.health());
        }
        if let Some(jsonrpc) = self.jsonrpc.clone().filter(|jsonrpc| jsonrpc.path == path) {
            if request.method() != Method::POST {
                return Err(RequestError::MethodNotAllowed);
            }
            let body = read_body(request.into_body(), client, &self.context.body_memory).await?;
            let RequestBody { bytes, reservation: _reservation } = body;
            return Ok(jsonrpc.respond(bytes, client).await);
        }
        match (path, request.method()) {
            (platform::PATH, &Method::POST) => self.complete_chat(request, client, shutdown).await,
            (platform::PATH | HEALTH_PATH, _) => Err(RequestError::MethodNotAllowed),
            _ => Err(RequestError::UnknownPath),
        }
    }

    /// The response to a health check.
    fn health(&self) -> Response<ResponseBody> {
        if (self.context.is_ready)() {
            plain_text(StatusCode::OK, "ready\n")
        } else {
            plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Answers a request of the platform's protocol.
    async fn complete_chat(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientSocket>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let driver = &self.context.driver;
        let (head, body) = request.into_parts();
        let mut parsed = platform::decode(&head.headers, driver.clock.ago(client.pipeline_wait()))?;
        if !self.context.request_classes.contains(&parsed.spec.class) {
            return Err(RequestError::UnknownClass);
        }
        let body = read_body(body, client, &self.context.body_memory).await?;
        parsed.complete_spec(body.bytes.len());
        check_can_be_submitted(client, shutdown)?;
        let active_id = self.context.active_ids.claim(&parsed.id);
        let active_id = active_id.ok_or(RequestError::DuplicateId)?;
        log::debug!("request {}: received on connection {}", parsed.id, client.number());
        let ParsedRequest { id, spec, .. } = parsed;
        let pending = driver.submit_request(spec, forwarded_request(id, head, body, active_id, client));
        let (response, disconnect_guard) = pending.response_unless_disconnected(client.disconnected()).await;
        Ok(platform::encode(response, disconnect_guard))
    }
}

/// Checks what may have changed while the request waited behind an earlier one, or to be accepted.
fn check_can_be_submitted(
    client: &ClientSocket,
    shutdown: &watch::Receiver<ShutdownPhase>,
) -> Result<(), RequestError> {
    if client.has_disconnected() {
        return Err(RequestError::ClientDisconnected);
    }
    // The process may end before the deadline of a request that arrives this late; sent elsewhere, nothing of it is lost.
    if *shutdown.borrow() == ShutdownPhase::Closing {
        return Err(RequestError::ShuttingDown);
    }
    Ok(())
}

/// The request as it is forwarded to workers.
fn forwarded_request(
    id: String,
    head: Parts,
    body: RequestBody,
    active_id: ActiveRequestId,
    client: &Rc<ClientSocket>,
) -> ForwardedRequest {
    let target = head.uri.path_and_query().map_or(platform::PATH, |target| target.as_str()).to_owned();
    let resources: Rc<dyn Any> = Rc::new(RequestResources { _id: active_id, _body_memory: body.reservation });
    ForwardedRequest {
        id,
        target,
        headers: platform::end_to_end_headers(head.headers),
        body: body.bytes,
        client: client.connection(),
        resources: Some(resources),
    }
}

impl Service<ReceivedRequest> for RequestService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = Local<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, received: ReceivedRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.respond(received).await) })
    }
}

impl RequestHandler for RequestService {
    type Body = ResponseBody;

    fn overload_response(&self) -> Response<ResponseBody> {
        platform::rejection(Some(RETRY_AFTER))
    }
}
