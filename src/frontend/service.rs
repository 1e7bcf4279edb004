//! The tower service for client requests: routes them by path, validates them and submits them to the driver.

use crate::frontend::chat_completions::{self, ParsedRequest};
use crate::frontend::context::ServiceContext;
use crate::frontend::error::{RETRY_AFTER, RequestError};
use crate::frontend::jsonrpc::JsonRpcService;
use crate::frontend::request_body::{RequestBody, read_body};
use crate::frontend::request_ids::ActiveRequestId;
use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::net::LocalBoxFuture;
use crate::net::framing::HeadFraming;
use crate::net::memory_budget::{BudgetExhausted, MemoryReservation};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::handler::RequestHandler;
use crate::net::server::received_request::ReceivedRequest;
use crate::net::server::request_label::RequestLabel;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::exchange::ForwardedRequest;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use std::any::Any;
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::watch;
use tower::Service;

const HEALTH_PATH: &str = "/healthz";

/// Handles the requests of all client connections.
#[derive(Clone)]
pub struct RequestService {
    /// The state shared by all connections.
    pub context: Rc<ServiceContext>,
    /// The JSON-RPC frontend, if one is configured.
    pub jsonrpc: Option<Rc<JsonRpcService>>,
}

/// Resources that a request holds until its last attempt or cache release has ended, which may be after its
/// response. Freed earlier, its id could be used by another client while a worker still streams the first
/// response.
struct RequestResources {
    _id: ActiveRequestId,
    _memory: MemoryReservation,
}

impl RequestService {
    /// Responds to one request. A request that can't be submitted to the driver gets an error response, and
    /// is counted and logged.
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
            // Only a 503 is a rejection, after which a retry is safe.
            match response.status() {
                StatusCode::SERVICE_UNAVAILABLE => {
                    log::debug!("connection {}: {label} rejected: {reason}", client.number());
                }
                status => {
                    let status = status.as_u16();
                    log::debug!("connection {}: {label} got status {status}: {reason}", client.number());
                }
            }
            response
        })
    }

    /// Dispatches a request to the protocol served at its path.
    ///
    /// # Errors
    /// The path or the method is not served, or the request can't be submitted to the driver.
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
            let reservation = MemoryReservation::new(self.context.request_memory.clone());
            let body = read_body(request.into_body(), client, reservation).await?;
            let RequestBody { bytes, reservation: _reservation } = body;
            return Ok(jsonrpc.respond(bytes.to_contiguous(), client).await);
        }
        match (path, request.method()) {
            (chat_completions::PATH, &Method::POST) => self.complete_chat(request, client, shutdown).await,
            (chat_completions::PATH | HEALTH_PATH, _) => Err(RequestError::MethodNotAllowed),
            _ => Err(RequestError::UnknownPath),
        }
    }

    /// Responds to a health check.
    fn health(&self) -> Response<ResponseBody> {
        if (self.context.is_ready)() {
            plain_text(StatusCode::OK, "ready\n")
        } else {
            plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Submits a chat completion request to the driver and responds with its result.
    async fn complete_chat(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientSocket>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let driver = &self.context.driver;
        let (head, body) = request.into_parts();
        let mut parsed =
            chat_completions::decode_headers(&head.headers, driver.clock.ago(client.pipeline_wait()))?;
        if !self.context.request_classes.contains(&parsed.spec.class) {
            return Err(RequestError::UnknownClass);
        }
        let mut reservation = MemoryReservation::new(self.context.request_memory.clone());
        let head = ForwardedHead::new(head, &parsed, &mut reservation)?;
        let body = read_body(body, client, reservation).await?;
        parsed.estimate_missing_prompt_length(body.bytes.len());
        check_can_be_submitted(client, shutdown)?;
        let active_id = self.context.request_ids.claim(&parsed.id)?;
        log::debug!("request {}: received on connection {}", parsed.id, client.number());
        let ParsedRequest { id, spec, .. } = parsed;
        let pending = driver.submit_request(spec, forwarded_request(id, head, body, active_id, client));
        let (response, disconnect_guard) = pending.wait_reporting_disconnect(client.disconnected()).await;
        Ok(chat_completions::encode_response(response, disconnect_guard))
    }
}

/// Checks conditions that may have changed while the request was pipelined behind an earlier one or its
/// connection waited to be accepted.
fn check_can_be_submitted(
    client: &ClientSocket,
    shutdown: &watch::Receiver<ShutdownPhase>,
) -> Result<(), RequestError> {
    let has_disconnected = client.has_disconnected();
    if client.is_close_hidden() {
        return Err(RequestError::TooManyPipelinedBytes);
    }
    if has_disconnected {
        return Err(RequestError::ClientDisconnected);
    }
    // The process may exit before the deadline of a request that arrives this late; another router can still
    // serve it.
    if *shutdown.borrow() == ShutdownPhase::Closing {
        return Err(RequestError::ShuttingDown);
    }
    Ok(())
}

/// The parts of a request's head that are forwarded to workers. They share no memory with the connection's
/// read buffer.
struct ForwardedHead {
    target: String,
    headers: HeaderMap,
    max_output_tokens: Option<u64>,
}

impl ForwardedHead {
    /// Copies the parts from a head, and adds their memory to `reservation`.
    fn new(
        head: Parts,
        parsed: &ParsedRequest,
        reservation: &mut MemoryReservation,
    ) -> Result<Self, BudgetExhausted> {
        let target = head.uri.path_and_query().map_or(chat_completions::PATH, |target| target.as_str());
        let target = target.to_owned();
        let headers = chat_completions::end_to_end_headers(head.headers);
        reservation.grow(target.len() + chat_completions::header_memory(&headers))?;
        let max_output_tokens = Some(parsed.spec.max_tokens).filter(|tokens| *tokens > 0);
        Ok(ForwardedHead { target, headers, max_output_tokens })
    }
}

/// Builds the request that is forwarded to workers.
fn forwarded_request(
    id: String,
    head: ForwardedHead,
    body: RequestBody,
    active_id: ActiveRequestId,
    client: &Rc<ClientSocket>,
) -> ForwardedRequest {
    let abandonment = active_id.abandonment();
    let resources: Rc<dyn Any> = Rc::new(RequestResources { _id: active_id, _memory: body.reservation });
    ForwardedRequest {
        id,
        target: head.target,
        headers: head.headers,
        body: body.bytes,
        max_output_tokens: head.max_output_tokens,
        client: client.connection(),
        abandonment,
        resources: Some(resources),
    }
}

impl Service<ReceivedRequest> for RequestService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<Result<Self::Response, Infallible>>;

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
        chat_completions::rejection(Some(RETRY_AFTER))
    }
}
