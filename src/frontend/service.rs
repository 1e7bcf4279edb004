//! What clients ask of the router: paths, bounds of bodies, and requests on their way to the core and back.

pub use crate::frontend::context::ServiceContext;
use crate::frontend::jsonrpc;
use crate::frontend::platform::{self, ResponseBody, plain};
use crate::interface::Micros;
use crate::net::Local;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::framing::HeadFraming;
use crate::net::server::handler::{HandlerBody, RequestHandler};
use crate::net::server::memory_budget::MemoryReservation;
use crate::net::server::received_request::{MAX_BODY_BYTES, ReceivedRequest};
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::counters::Counters;
use crate::runtime::exchange::ForwardedRequest;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use std::any::Any;
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::watch;
use tower::Service;

/// Advice to clients that came when there was no room.
pub const RETRY_AFTER: Micros = 500_000;

/// An id in hand, free again when dropped.
struct IdInUse(Rc<ServiceContext>, String);

impl Drop for IdInUse {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

/// The tower service that clients reach.
#[derive(Clone)]
pub struct RequestService {
    /// What all connections share.
    pub shared: Rc<ServiceContext>,
    /// The tool-call front, if configured.
    pub tools: Option<Rc<jsonrpc::JsonRpcService>>,
}

impl RequestService {
    fn bad(&self, status: StatusCode, text: &'static str) -> Response<ResponseBody> {
        self.shared.counters.requests_malformed.increment();
        log::debug!("bad request: {text}");
        plain(status, text)
    }

    async fn respond(self, arrival: ReceivedRequest) -> Response<ResponseBody> {
        let ReceivedRequest { request, client, shutdown } = arrival;
        if client.next_head_framing() == HeadFraming::Ambiguous {
            return self.bad(StatusCode::BAD_REQUEST, "ambiguous framing\n");
        }
        let path = request.uri().path();
        if path == "/healthz" && request.method() == Method::GET {
            let ready = (self.shared.ready)();
            return if ready {
                plain(StatusCode::OK, "ready\n")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            };
        }
        if let Some(front) = self.tools.clone().filter(|f| f.path == path) {
            if request.method() != Method::POST {
                return self.bad(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            }
            return match self.body(request.into_body(), &client).await {
                Ok((body, _held)) => front.respond(body, &client).await,
                Err(response) => response,
            };
        }
        match (path, request.method()) {
            (platform::PATH, &Method::POST) => self.platform(request, &client, &shutdown).await,
            (platform::PATH | "/healthz", _) => self.bad(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n"),
            _ => self.bad(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn platform(
        self,
        request: Request<Incoming>,
        client: &Rc<ClientSocket>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) -> Response<ResponseBody> {
        let shared = self.shared.clone();
        let (head, body) = request.into_parts();
        let mut intake =
            match platform::decode(&head.headers, shared.driver.clock.ago(client.pipeline_wait())) {
                Ok(intake) => intake,
                Err(what) => return self.bad(StatusCode::BAD_REQUEST, what),
            };
        if !shared.classes.contains(&intake.ask.class) {
            return self.bad(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        let (body, held) = match self.body(body, client).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        if !intake.stated {
            // One token is four characters.
            intake.ask.prompt_tokens = body.len() as u64 / 4;
        }
        // Its request may have waited behind an earlier one, or to be accepted.
        if client.has_disconnected() {
            log::debug!("request {}: refused: its client has left", intake.id);
            shared.counters.client_disconnects.increment();
            return platform::refusal(None);
        }
        // The process may end before the deadline of what comes this late; nothing is lost if it is sent elsewhere.
        if *shutdown.borrow() == ShutdownPhase::Closing {
            log::debug!("request {}: refused: it came in the closing stage of a shutdown", intake.id);
            shared.counters.rejected_at_shutdown.increment();
            return platform::refusal(Some(RETRY_AFTER));
        }
        // Model hosts tell requests apart by their ids: two at once under one would share what is held. An id is in
        // hand until the last attempt and release of its request are over, or another client could send a second
        // copy of a request whose stream still runs.
        if !shared.ids.borrow_mut().insert(intake.id.clone()) {
            return self.bad(StatusCode::CONFLICT, "a request with this id is in hand\n");
        }
        log::debug!("request {}: taken on connection {}", intake.id, client.number());
        let in_hand = IdInUse(shared.clone(), intake.id.clone());
        let target = head.uri.path_and_query().map_or(platform::PATH, |p| p.as_str()).to_owned();
        let keeps: Option<Rc<dyn Any>> = Some(Rc::new((in_hand, held)));
        let headers = platform::end_to_end(head.headers);
        let call = ForwardedRequest {
            id: intake.id,
            target,
            headers,
            body,
            client: client.connection(),
            resources: keeps,
        };
        let answering = shared.driver.submit_request(intake.ask, call);
        let (answer, presence) = answering.response_unless_disconnected(client.disconnected()).await;
        platform::encode(answer, presence)
    }

    /// Reads a body whole, within the bounds of its length and of what all bodies may take. Its time is bounded
    /// by the connection's supervisor.
    async fn body(
        &self,
        mut body: Incoming,
        client: &ClientSocket,
    ) -> Result<(Bytes, MemoryReservation), Response<ResponseBody>> {
        let too_long = || self.bad(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_long());
        }
        let (mut whole, mut held) = (BytesMut::new(), MemoryReservation::new(self.shared.budget.clone()));
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(self.bad(StatusCode::BAD_REQUEST, "body broken\n")) };
            let Ok(data) = frame.into_data() else { continue };
            if whole.len() + data.len() > MAX_BODY_BYTES {
                return Err(too_long());
            }
            if held.grow(data.len()).is_err() {
                log::debug!("connection {}: a request is refused: no room for bodies", client.number());
                self.shared.counters.requests_shed.increment();
                return Err(platform::refusal(Some(RETRY_AFTER)));
            }
            whole.extend_from_slice(&data);
        }
        if client.has_excess_bytes() {
            return Err(self.bad(StatusCode::BAD_REQUEST, "more bytes than the length says\n"));
        }
        client.complete_request();
        Ok((whole.freeze(), held))
    }
}

impl Service<ReceivedRequest> for RequestService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = Local<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, arrival: ReceivedRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.respond(arrival).await) })
    }
}

impl RequestHandler for RequestService {
    type Body = ResponseBody;

    fn overload_response(&self) -> Response<ResponseBody> {
        platform::refusal(Some(RETRY_AFTER))
    }

    fn counters(&self) -> &Rc<Counters> {
        &self.shared.counters
    }
}

impl HandlerBody for ResponseBody {
    fn is_stream(&self) -> bool {
        !matches!(self, ResponseBody::Fixed(_))
    }
}
