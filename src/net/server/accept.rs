//! Accepts client connections within a limit.

use crate::net::failure::{AcceptFailure, accept_failure};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::connection::serve;
use crate::net::server::connection_handler::{ConnectionHandler, LimitedHandler};
use crate::net::server::connections::Connections;
use crate::net::server::handler::RequestHandler;
pub use crate::net::server::shutdown_phase::ShutdownPhase;
use crate::runtime::counters::Counters;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceBuilder;

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

/// Accepts clients until told to stop, at most `bound` at once.
pub struct Listener<H> {
    /// Answers requests.
    pub service: H,
    /// Most client connections; [`RESERVED_CONNECTIONS`] more are told that there is no room.
    pub bound: usize,
    /// Most requests that wait for their first event.
    pub waiting: usize,
    /// How far the end has come.
    pub stage: watch::Receiver<ShutdownPhase>,
    /// Connections that are open.
    pub open: Rc<Connections>,
}

impl<H: RequestHandler> Listener<H> {
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
    async fn accept_next(&self, listener: &TcpListener, service: &LimitedHandler<H>) {
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
    async fn drain_backlog(&self, listener: TcpListener, service: &LimitedHandler<H>) {
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
    async fn drain(&self, mut accept: impl FnMut() -> io::Result<TcpStream>, service: &LimitedHandler<H>) {
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
        self.service.counters()
    }

    /// Takes a connection in, and serves it beside the others.
    fn admit(&self, stream: TcpStream, service: &LimitedHandler<H>) {
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
        let handler = ConnectionHandler {
            limited: service.clone(),
            handler: self.service.clone(),
            client: client.clone(),
            is_over_limit: over,
            shutdown: self.stage.clone(),
        };
        let stage = self.stage.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            serve(handler, stage, &client, &counters).await;
        });
    }
}

#[cfg(test)]
mod tests;
