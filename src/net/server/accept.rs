//! Accepts client connections within a limit.

use crate::net::failure::{AcceptFailure, classify_accept_error};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection::serve;
use crate::net::server::connection_handler::{ConnectionHandler, LimitedHandler};
use crate::net::server::connections::{Connections, EvictionResult};
use crate::net::server::handler::RequestHandler;
use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::counters::Counters;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceBuilder;

/// Connections beyond the limit whose requests are still answered, with a rejection. Beyond these too, each accepted
/// connection evicts one that is not being answered.
pub const RESERVED_CONNECTIONS: usize = 16;
/// How long an evicted connection may take to close before another one is evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// The pause after an accept that failed for lack of a descriptor, in which the evicted connection closes, and after
/// every [`MAX_FAILURES_WITHOUT_PAUSE`] failures of another kind.
const ACCEPT_FAILED_PAUSE: Duration = Duration::from_millis(5);
/// How many accepts in a row may fail before there is a pause.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 16;
/// How many accepts in a row may fail before the rest of the system's queue is given up on.
const MAX_CONSECUTIVE_FAILURES: u32 = 1_600;

/// How many accepts have failed in a row.
#[derive(Default)]
struct ConsecutiveFailures(u32);

impl ConsecutiveFailures {
    fn is_empty(&self) -> bool {
        self.0 == 0
    }

    /// Whether the failures seem to have no end.
    fn are_too_many(&self) -> bool {
        self.0 >= MAX_CONSECUTIVE_FAILURES
    }

    /// Counts a failure. It costs no time, since the next connection may be there already and others wait behind it;
    /// only a failure that lasts must not keep other tasks from running, and an evicted connection needs time to close.
    async fn record_and_pause(&mut self, failure: AcceptFailure) {
        self.0 += 1;
        if failure == AcceptFailure::OwnDescriptors || self.0.is_multiple_of(MAX_FAILURES_WITHOUT_PAUSE) {
            tokio::time::sleep(ACCEPT_FAILED_PAUSE).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

/// Accepts client connections and serves each in a task of its own, until a graceful shutdown closes the listener.
pub struct Listener<H> {
    /// Answers requests.
    pub handler: H,
    /// The most client connections; the requests of [`RESERVED_CONNECTIONS`] more are rejected.
    pub max_connections: usize,
    /// The most requests that wait for the head of their response; more are rejected.
    pub max_waiting_requests: usize,
    /// How far a graceful shutdown has progressed.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// The open connections.
    pub connections: Rc<Connections>,
    /// Where connections, rejected requests and failed accepts are counted.
    pub counters: Rc<Counters>,
}

impl<H: RequestHandler> Listener<H> {
    /// Accepts connections until the shutdown's closing phase, and then those that already wait in the system's queue:
    /// closing the listener over them would reset them. Resolves when they have been accepted; their tasks run on.
    ///
    /// Dropped early, it closes the listener and leaves the accepted connections running.
    pub async fn accept(self, listener: TcpListener) {
        // Over its concurrency limit the handler is not ready; load shedding turns that into an error, which the
        // connection's handler answers with a rejection.
        let limited = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(self.max_waiting_requests)
            .service(self.handler.clone());
        let mut shutdown = self.shutdown.clone();
        tokio::select! {
            // The shutdown first: connections that arrive faster than they are accepted must not delay it.
            biased;
            _ = shutdown.wait_for(|phase| *phase == ShutdownPhase::Closing) => {}
            () = self.accept_all(&listener, &limited) => {}
        }
        self.drain_backlog(listener, &limited).await;
    }

    /// Accepts one connection after another, over the limit too: none is left to wait in the system's queue.
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

    /// Makes the next accept possible, as far as this process can.
    async fn handle_accept_error(&self, error: &io::Error, failures: &mut ConsecutiveFailures) {
        self.counters.accept_errors.increment();
        let failure = classify_accept_error(error);
        if failures.is_empty() {
            log::warn!("accept: {error} ({failure:?})");
        }
        if failure == AcceptFailure::OwnDescriptors {
            self.connections.evict_at_once(&self.counters);
        }
        failures.record_and_pause(failure).await;
    }

    /// Evicts connections until they are within the limit and its reserve. Those over the limit are rejected as soon as
    /// they send a request, so one of them can always be evicted.
    async fn enforce_hard_limit(&self) {
        while self.connections.count() > self.max_connections + RESERVED_CONNECTIONS {
            self.connections.evict_at_once(&self.counters);
            // An evicted connection whose request arrives at this moment is answered first: then another one is evicted.
            let _ = tokio::time::timeout(EVICTION_TIMEOUT, self.connections.slot_released()).await;
        }
    }

    /// Accepts the connections that already wait in the system's queue.
    async fn drain_backlog(&self, listener: TcpListener, limited: &LimitedHandler<H>) {
        // The system is asked directly: the runtime may not have polled the listener since the last connection arrived.
        let Ok(listener) = listener.into_std() else { return };
        let accept = || {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        self.drain(accept, limited).await;
    }

    /// Accepts until nothing waits any more. Only failures without end stop it earlier.
    async fn drain(&self, mut accept: impl FnMut() -> io::Result<TcpStream>, limited: &LimitedHandler<H>) {
        let mut failures = ConsecutiveFailures::default();
        loop {
            match accept() {
                Ok(stream) => {
                    failures = ConsecutiveFailures::default();
                    self.spawn_connection(stream, limited);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if failures.are_too_many() => return,
                Err(error) => self.handle_accept_error(&error, &mut failures).await,
            }
        }
    }

    /// Registers a connection and serves it in a task of its own.
    fn spawn_connection(&self, stream: TcpStream, limited: &LimitedHandler<H>) {
        self.counters.client_connections.increment();
        let client = ClientSocket::new(self.connections.next_number(), Rc::new(stream));
        let slot = self.connections.register(client.clone());
        let eviction = self.evict_ahead_of_need();
        let is_over_limit = self.is_over_limit(eviction);
        log::debug!("connection {}: accepted, {} are open", client.number(), self.connections.count());
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
        tokio::task::spawn_local(async move {
            // Kept until the connection has ended, also if serving it panics.
            let _slot = slot;
            serve(handler).await;
        });
    }

    /// Evicts a settled connection for the one that was registered last, from three quarters of the limit on: clients
    /// that keep their connections open for good would otherwise leave nothing for a burst.
    fn evict_ahead_of_need(&self) -> EvictionResult {
        if self.connections.count() <= self.max_connections * 3 / 4 {
            return EvictionResult::NotNeeded;
        }
        self.connections.evict_early(&self.counters)
    }

    /// Whether the requests of the connection that was registered last are to be rejected: it is over the limit, and
    /// no other connection could be evicted for it.
    fn is_over_limit(&self, eviction: EvictionResult) -> bool {
        eviction == EvictionResult::NoCandidate && self.connections.count() > self.max_connections
    }
}

#[cfg(test)]
mod tests;
