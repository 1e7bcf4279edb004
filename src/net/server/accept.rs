//! The server side: accepts clients within its bounds, and passes answers on.

use crate::frontend::platform::{self, ResponseBody};
use crate::frontend::service::{RETRY_AFTER, ReceivedRequest, RequestService};
use crate::net::Local;
use crate::net::failure::{AcceptFailure, accept_failure};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection::serve;
use crate::net::server::connections::Connections;
use crate::runtime::counters::Counters;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::limit::ConcurrencyLimit;
use tower::load_shed::LoadShed;
use tower::{ServiceBuilder, ServiceExt};

/// Connections over the bound that are still told so; beyond them, one that is not being answered has to go at once for
/// each that comes.
pub const RESERVED_CONNECTIONS: usize = 16;
/// Within this an evicted connection is gone if it can go.
const EVICTION_TIME: Duration = Duration::from_millis(5);
/// After an accept that failed for want of a descriptor: by then the connection that had to go for it is closed.
const ACCEPT_FAILED_PAUSE: Duration = Duration::from_millis(5);
/// Accepts in a row that may fail without a pause.
const MAX_FAILURES_AT_ONCE: u32 = 16;
/// Accepts that fail in a row before the rest of the system's queue is given up.
const MAX_ACCEPT_FAILURES: u32 = 1_600;

/// Accepts that have failed in a row.
#[derive(Default)]
struct AcceptFailures(u32);

impl AcceptFailures {
    fn is_first(&self) -> bool {
        self.0 == 0
    }

    fn are_too_many(&self) -> bool {
        self.0 >= MAX_ACCEPT_FAILURES
    }

    /// A failure takes no time: the next connection may be there already, and others wait behind it. Only what lasts must
    /// not keep the rest of the program from its turn, and an evicted connection has to be closed first.
    async fn pause(&mut self, failure: AcceptFailure) {
        self.0 += 1;
        if failure == AcceptFailure::OwnDescriptors || self.0.is_multiple_of(MAX_FAILURES_AT_ONCE) {
            tokio::time::sleep(ACCEPT_FAILED_PAUSE).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

/// How far an orderly end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// In service.
    Open,
    /// Idle connections are closed, each other one after the answer under way, and what still comes is refused.
    Closing,
}

/// An answer's body that tells its connection when it is over.
pub struct TrackedBody {
    body: ResponseBody,
    client: Rc<ClientSocket>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.answered();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = platform::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, platform::Broken>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// Accepts clients until told to stop, at most `bound` at once.
pub struct Listener {
    /// The service.
    pub service: RequestService,
    /// Most client connections; [`RESERVED_CONNECTIONS`] more are told that there is no room.
    pub bound: usize,
    /// Most requests that wait for their first event.
    pub waiting: usize,
    /// How far the end has come.
    pub stage: watch::Receiver<ShutdownPhase>,
    /// Connections that are open.
    pub open: Rc<Connections>,
}

impl Listener {
    /// Accepts until the closing stage, and then what still waits in the system's queue: a listener closed over
    /// connections resets them.
    pub async fn accept(self, listener: TcpListener) {
        // Over its bound the service refuses: tower's shed turns a full limit into an error, answered below.
        let service =
            ServiceBuilder::new().load_shed().concurrency_limit(self.waiting).service(self.service.clone());
        let mut stage = self.stage.clone();
        tokio::select! {
            biased;
            _ = stage.wait_for(|s| *s == ShutdownPhase::Closing) => {}
            () = self.accept_next(&listener, &service) => {}
        }
        self.drain_backlog(listener, &service).await;
    }

    /// Accepts one after another, also in a full house: none is left to wait in the system's queue.
    async fn accept_next(&self, listener: &TcpListener, service: &BoundedService) {
        let mut failures = AcceptFailures::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failures = AcceptFailures::default();
                    self.admit(stream, service);
                    self.keep_reserve().await;
                }
                Err(error) => self.accept_failed(&error, &mut failures).await,
            }
        }
    }

    /// Makes the next accept possible, as far as anything can be done about it here.
    async fn accept_failed(&self, error: &io::Error, failures: &mut AcceptFailures) {
        self.counters().accept_errors.increment();
        let failure = accept_failure(error);
        if failures.is_first() {
            log::warn!("accept: {error} ({failure:?})");
        }
        if failure == AcceptFailure::OwnDescriptors {
            self.open.make_room_at_once(self.counters());
        }
        failures.pause(failure).await;
    }

    /// Waits until there are no more connections than there may be. Those over the bound are refused as soon as they
    /// ask, so among them there is always one that can go.
    async fn keep_reserve(&self) {
        while self.open.count() > self.bound + RESERVED_CONNECTIONS {
            self.open.make_room_at_once(self.counters());
            // One whose request came in this moment is answered first: then another has to go.
            let _ = tokio::time::timeout(EVICTION_TIME, self.open.freed()).await;
        }
    }

    /// Takes in what waits in the system's queue, and no more.
    async fn drain_backlog(&self, listener: TcpListener, service: &BoundedService) {
        // Asked directly: the runtime may not have looked at the listener since the last connection came.
        let Ok(listener) = listener.into_std() else { return };
        let accept = || {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        self.drain(accept, service).await;
    }

    /// Takes in what `accept` gives until nothing waits any more. A failure ends it only when it lasts.
    async fn drain(&self, mut accept: impl FnMut() -> io::Result<TcpStream>, service: &BoundedService) {
        let mut failures = AcceptFailures::default();
        loop {
            match accept() {
                Ok(stream) => {
                    failures = AcceptFailures::default();
                    self.admit(stream, service);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if failures.are_too_many() => return,
                Err(error) => self.accept_failed(&error, &mut failures).await,
            }
        }
    }

    fn counters(&self) -> &Rc<Counters> {
        &self.service.shared.counters
    }

    /// Takes a connection in, and serves it beside the others.
    fn admit(&self, stream: TcpStream, service: &BoundedService) {
        let counters = self.counters().clone();
        counters.client_connections.increment();
        let client = ClientSocket::new(self.open.next_number(), Rc::new(stream));
        let place = self.open.enter(client.clone());
        // Room is made before there is none: clients that keep their connections for good must not leave a burst
        // to those that are refused.
        let crowded = self.open.count() > self.bound * 3 / 4;
        let over = crowded && !self.open.make_room(&counters) && self.open.count() > self.bound;
        log::debug!("connection {}: accepted, {} are open", client.number(), self.open.count());
        if over {
            counters.connections_rejected.increment();
        }
        let answering = Answerer {
            service: service.clone(),
            client: client.clone(),
            counters: counters.clone(),
            over,
            stage: self.stage.clone(),
        };
        let stage = self.stage.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            let answer = move |request| -> Local<Result<Response<TrackedBody>, Infallible>> {
                Box::pin(answering.clone().answer(request))
            };
            serve(hyper::service::service_fn(answer), stage, &client, &counters).await;
        });
    }
}

/// The edge behind the bound on requests that wait.
type BoundedService = LoadShed<ConcurrencyLimit<RequestService>>;

/// Answers the requests of one connection.
#[derive(Clone)]
struct Answerer {
    service: BoundedService,
    client: Rc<ClientSocket>,
    counters: Rc<Counters>,
    /// Whether the connection came when there was no room.
    over: bool,
    stage: watch::Receiver<ShutdownPhase>,
}

impl Answerer {
    async fn answer(self, request: Request<Incoming>) -> Result<Response<TrackedBody>, Infallible> {
        let client = self.client.clone();
        let arrival = ReceivedRequest { request, client: client.clone(), stage: self.stage.clone() };
        let mut response = if self.over {
            log::debug!("connection {}: a request is refused: too many connections", client.number());
            platform::refusal(Some(RETRY_AFTER))
        } else {
            match self.service.clone().oneshot(arrival).await {
                Ok(response) => response,
                Err(_) => {
                    log::debug!("connection {}: a request is refused: too many wait", client.number());
                    self.counters.requests_shed.increment();
                    platform::refusal(Some(RETRY_AFTER))
                }
            }
        };
        if self.is_last() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            client.answers_last();
        }
        if response.body().is_stream() {
            client.streams();
        }
        Ok(response.map(|body| TrackedBody { body, client }))
    }

    /// Whether the connection ends with this answer. A graceful shutdown still refuses what has arrived behind it.
    fn is_last(&self) -> bool {
        let closing = *self.stage.borrow() == ShutdownPhase::Closing;
        self.over || self.client.is_spent() || self.client.has_left() || closing && !self.client.has_unread()
    }
}

#[cfg(test)]
mod tests;
