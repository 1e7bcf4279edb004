//! Accepts client connections within a limit.

use crate::net::buffer_limit::BufferLimit;
use crate::net::failure::{AcceptFailure, classify_accept_error};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection::serve;
use crate::net::server::connection_handler::{ConnectionHandler, LimitedHandler};
use crate::net::server::connections::{Connections, EvictionResult};
use crate::net::server::handler::RequestHandler;
use crate::net::server::read_limits::ReadLimits;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::counters::Counters;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceBuilder;

/// Connections above `max_connections` that are accepted only to reject their requests. Above this reserve,
/// each accepted connection evicts one that has no request in flight.
pub const RESERVED_CONNECTIONS: usize = 16;
/// The time limit for an evicted connection to close, after which another one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// The pause after an accept that failed for lack of a file descriptor, during which the evicted connection
/// closes, and after every [`MAX_FAILURES_WITHOUT_PAUSE`] consecutive failures of another kind.
const ACCEPT_FAILED_PAUSE: Duration = Duration::from_millis(5);
/// The number of consecutive accept failures after which the accept loop pauses.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 16;
/// The number of consecutive accept failures after which the draining of the listen backlog is abandoned.
const MAX_CONSECUTIVE_FAILURES: u32 = 1_600;

/// The number of accepts that have failed in a row.
#[derive(Default)]
struct ConsecutiveFailures(u32);

impl ConsecutiveFailures {
    fn is_empty(&self) -> bool {
        self.0 == 0
    }

    fn is_limit_reached(&self) -> bool {
        self.0 >= MAX_CONSECUTIVE_FAILURES
    }

    /// Counts a failure. Most failures only yield to other tasks, since further connections may be waiting in
    /// the listen backlog. Persistent failures pause, to leave other tasks time to run, and so does a lack of
    /// file descriptors, to let the evicted connection close.
    async fn record_and_pause(&mut self, failure: AcceptFailure) {
        self.0 += 1;
        if failure == AcceptFailure::OwnDescriptors || self.0.is_multiple_of(MAX_FAILURES_WITHOUT_PAUSE) {
            tokio::time::sleep(ACCEPT_FAILED_PAUSE).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

/// Accepts client connections and serves each in its own task, until a graceful shutdown closes the listener.
pub struct Listener<H> {
    /// The handler of all requests.
    pub handler: H,
    /// The maximum number of client connections; the requests of [`RESERVED_CONNECTIONS`] more are rejected.
    pub max_connections: usize,
    /// The maximum number of requests that await the head of their response; more are rejected.
    pub max_waiting_requests: usize,
    /// The limit of the buffers of each connection.
    pub buffer_limit: BufferLimit,
    /// The limits on what all connections read together.
    pub read_limits: ReadLimits,
    /// The current phase of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// The registry of open connections.
    pub connections: Rc<Connections>,
    /// The counters of connections, rejected requests and failed accepts.
    pub counters: Rc<Counters>,
}

impl<H: RequestHandler> Listener<H> {
    /// Accepts connections until the closing phase of a graceful shutdown, then drains the listen backlog:
    /// closing the listener would reset the connections that wait in it. Resolves when the backlog is empty;
    /// the tasks of the accepted connections continue.
    ///
    /// If the future is dropped early, the listener closes and the accepted connections continue.
    pub async fn accept(self, listener: TcpListener) {
        // At its concurrency limit the handler is not ready; load shedding turns that into an error, which
        // `ConnectionHandler` turns into a rejection.
        let limited = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(self.max_waiting_requests)
            .service(self.handler.clone());
        let mut shutdown = self.shutdown.clone();
        tokio::select! {
            // The shutdown is polled first: connections that arrive faster than they are accepted must not
            // delay it.
            biased;
            _ = shutdown.wait_for(|phase| *phase == ShutdownPhase::Closing) => {}
            () = self.accept_all(&listener, &limited) => {}
        }
        self.drain_backlog(listener, &limited).await;
    }

    /// Accepts connections without end, above the limit too, so that none waits in the listen backlog.
    async fn accept_all(&self, listener: &TcpListener, limited: &LimitedHandler<H>) {
        let mut failures = ConsecutiveFailures::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failures = ConsecutiveFailures::default();
                    self.spawn_connection(stream, limited);
                    self.enforce_hard_limit().await;
                }
                Err(error) => self.handle_accept_error(&error, &mut failures).await,
            }
        }
    }

    /// Counts and logs an accept error, evicts a connection if file descriptors have run out, and pauses or
    /// yields before the next accept.
    async fn handle_accept_error(&self, error: &io::Error, failures: &mut ConsecutiveFailures) {
        self.counters.accept_errors.increment();
        let failure = classify_accept_error(error);
        if failures.is_empty() {
            log::warn!("accept failed: {error} ({failure:?})");
        }
        if failure == AcceptFailure::OwnDescriptors {
            self.connections.evict_immediately(&self.counters);
        }
        failures.record_and_pause(failure).await;
    }

    /// Evicts connections until they are within `max_connections` and the reserve. Requests on connections
    /// above `max_connections` are rejected at once, so one of these can always be evicted.
    async fn enforce_hard_limit(&self) {
        while self.connections.count() > self.max_connections + RESERVED_CONNECTIONS {
            self.connections.evict_immediately(&self.counters);
            // An evicted connection that receives a request before it closes responds first; after the
            // timeout another one is evicted.
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, self.connections.slot_released()).await;
        }
    }

    /// Accepts the connections that wait in the listen backlog, and then closes the listener.
    async fn drain_backlog(&self, listener: TcpListener, limited: &LimitedHandler<H>) {
        // The standard library's listener bypasses the runtime's cached readiness, which may not include the
        // connections that arrived last.
        let Ok(listener) = listener.into_std() else { return };
        let accept = || {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        self.accept_pending(accept, limited).await;
    }

    /// Accepts until no connection is pending, or until [`MAX_CONSECUTIVE_FAILURES`] accepts have failed.
    async fn accept_pending(
        &self,
        mut accept: impl FnMut() -> io::Result<TcpStream>,
        limited: &LimitedHandler<H>,
    ) {
        let mut failures = ConsecutiveFailures::default();
        loop {
            match accept() {
                Ok(stream) => {
                    failures = ConsecutiveFailures::default();
                    self.spawn_connection(stream, limited);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if failures.is_limit_reached() => return,
                Err(error) => self.handle_accept_error(&error, &mut failures).await,
            }
        }
    }

    /// Registers a connection and serves it in its own task.
    fn spawn_connection(&self, stream: TcpStream, limited: &LimitedHandler<H>) {
        self.counters.client_connections.increment();
        let number = self.connections.next_number();
        let client = ClientSocket::new(number, Rc::new(stream), self.read_limits.clone());
        let slot = self.connections.register(client.clone());
        let eviction = self.evict_near_limit();
        let is_over_limit = self.is_over_limit(eviction);
        log::debug!("connection {}: accepted, {} open", client.number(), self.connections.count());
        if is_over_limit {
            self.counters.connections_rejected.increment();
        }
        let handler = ConnectionHandler {
            limited: limited.clone(),
            handler: self.handler.clone(),
            client,
            counters: self.counters.clone(),
            is_over_limit,
            shutdown: self.shutdown.clone(),
        };
        let buffer_limit = self.buffer_limit;
        tokio::task::spawn_local(async move {
            // Held until the connection has ended, even if serving it panics.
            let _slot = slot;
            serve(handler, buffer_limit).await;
        });
    }

    /// Evicts an idle, closing or slow connection when more than three quarters of `max_connections` are
    /// open: clients that never close their connections would otherwise leave no capacity for a burst.
    fn evict_near_limit(&self) -> EvictionResult {
        if self.connections.count() <= self.max_connections * 3 / 4 {
            return EvictionResult::NotNeeded;
        }
        self.connections.evict_gracefully(&self.counters)
    }

    /// Whether the requests of the connection registered last are to be rejected: it is above the limit, and
    /// no connection could be evicted for it.
    fn is_over_limit(&self, eviction: EvictionResult) -> bool {
        eviction == EvictionResult::NoCandidate && self.connections.count() > self.max_connections
    }
}

#[cfg(test)]
mod tests;
