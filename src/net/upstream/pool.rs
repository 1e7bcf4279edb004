//! The connection pool: bounds the number of connections and reuses idle ones until their idle timeout.
//!
//! The pool never retries a request on another connection: retries are decided by the policy.

use crate::interface::WorkerId;
use crate::net::LocalBoxFuture;
use crate::net::buffer_limit::BufferLimit;
use crate::net::socket::connect;
use crate::runtime::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

pub use super::connection::{ConnectError, Connection, UpstreamBody};
pub use super::write_progress::WriteProgress;

/// The limit on idle connections to each worker. It is enough for a burst of requests; more would only occupy
/// sockets.
const MAX_IDLE_PER_WORKER: usize = 32;
/// The minimum time between a response and the reuse of its connection. Surplus bytes that a worker writes
/// after the response arrive within this time. On a reused connection they would be taken for the response to
/// the next request.
pub const REUSE_DELAY: Duration = Duration::from_millis(25);
/// How long no connection is reused after a stale one was found.
const REUSE_SUSPENSION: Duration = Duration::from_secs(60);

/// The destination of a connection.
#[derive(Clone, Debug)]
pub struct Target {
    /// The worker. Idle connections are pooled by its id.
    pub worker: WorkerId,
    /// The worker's address.
    pub address: SocketAddr,
}

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The maximum number of open connections, including idle ones.
    pub max_connections: usize,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The idle time after which a connection is no longer reused.
    pub idle_timeout: Duration,
    /// The minimum idle time before a connection is reused, see [`REUSE_DELAY`].
    pub reuse_delay: Duration,
    /// The limit of the buffers of each connection.
    pub buffer_limit: BufferLimit,
}

/// A connection pool, as a tower service that makes a [`Connection`] for a [`Target`]. Clones share the same
/// connections.
#[derive(Clone)]
pub struct Pool {
    shared: Rc<PoolState>,
}

/// The state shared by the clones of a pool.
struct PoolState {
    /// The idle connections to each worker, in the order in which they became idle.
    idle: RefCell<HashMap<WorkerId, Vec<IdleConnection>>>,
    /// One permit for each connection that may still be opened.
    permits: Arc<Semaphore>,
    limits: PoolLimits,
    /// The end of the last [`REUSE_SUSPENSION`], if there was one.
    reuse_suspended_until: Cell<Option<Instant>>,
    counters: Rc<Counters>,
}

struct IdleConnection {
    connection: Connection,
    /// The peer's address. The connection is not reused after the worker has changed its address.
    address: SocketAddr,
    /// When the connection was returned to the pool.
    since: Instant,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits, counters: Rc<Counters>) -> Self {
        let shared = PoolState {
            idle: RefCell::default(),
            permits: Arc::new(Semaphore::new(limits.max_connections)),
            limits,
            reuse_suspended_until: Cell::default(),
            counters,
        };
        Pool { shared: Rc::new(shared) }
    }

    /// Records that a connection failed before its response arrived.
    ///
    /// A reused connection that is reset as soon as a request is written to it was stale: its peer had closed
    /// it without notice, and has probably closed other idle connections too. A request written to one of
    /// them counts as possibly run, and so fails if it is not idempotent. Therefore all idle connections are
    /// closed and none is reused for `REUSE_SUSPENSION`; a new connection costs only a few round trips.
    pub fn record_failure(&self, connection: &Connection) {
        if !connection.was_stale() {
            return;
        }
        self.shared.counters.stale_connections.increment();
        if !self.is_reuse_suspended() {
            log::warn!(
                "connection pool: a reused connection had probably been closed by its peer; \
                 closing all idle connections and reusing none for {} s",
                REUSE_SUSPENSION.as_secs()
            );
        }
        self.shared.reuse_suspended_until.set(Some(Instant::now() + REUSE_SUSPENSION));
        self.close_all_idle();
    }

    fn is_reuse_suspended(&self) -> bool {
        self.shared.reuse_suspended_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    pub fn put_back(&self, target: &Target, connection: Connection) {
        if self.is_reuse_suspended() {
            return;
        }
        let mut idle = self.shared.idle.borrow_mut();
        let connections = idle.entry(target.worker.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_WORKER && !connection.is_closed() {
            connections.push(IdleConnection { connection, address: target.address, since: Instant::now() });
        }
    }

    /// The number of connections that may still be opened.
    pub fn available_connections(&self) -> usize {
        self.shared.permits.available_permits()
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle_connections(&self, worker: &WorkerId) {
        self.shared.idle.borrow_mut().remove(worker);
    }

    /// Closes idle connections that have reached the idle timeout or were closed by their peer.
    pub fn close_expired(&self) {
        let idle_timeout = self.shared.limits.idle_timeout;
        self.shared.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < idle_timeout && !idle.connection.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.shared.idle.borrow_mut().clear();
    }

    /// Takes the most recently used connection that is reusable, and closes unusable ones found before it.
    fn take_idle(&self, target: &Target) -> Option<Connection> {
        let mut idle = self.shared.idle.borrow_mut();
        let connections = idle.get_mut(&target.worker)?;
        let reuse_delay = self.shared.limits.reuse_delay;
        // The longest idle connections come first, so those past the reuse delay are at the start.
        let eligible = connections.iter().take_while(|idle| idle.since.elapsed() >= reuse_delay).count();
        for index in (0..eligible).rev() {
            let candidate = connections.remove(index);
            if self.is_reusable(&candidate, target) {
                return Some(candidate.connection.into_reused());
            }
        }
        None
    }

    /// Whether an idle connection may carry a request to `target`. The idle timeout applies because workers
    /// close connections after a longer idle time, and a request written to a closed one results in a
    /// reset.
    fn is_reusable(&self, idle: &IdleConnection, target: &Target) -> bool {
        idle.address == target.address
            && idle.since.elapsed() < self.shared.limits.idle_timeout
            && idle.connection.is_usable()
    }

    /// Acquires a permit for a new connection. If none is left, all idle connections are closed to free some.
    fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        let permits = &self.shared.permits;
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.close_all_idle();
        permits.clone().try_acquire_owned().map_err(|_| ConnectError::PoolExhausted)
    }

    /// Reuses an idle connection to the target, or establishes a new one.
    async fn connect(self, target: Target) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(&target) {
            return Ok(connection);
        }
        let permit = self.acquire_permit()?;
        self.shared.counters.upstream_connections.increment();
        let deadline = Instant::now() + self.shared.limits.connect_timeout;
        let connected = tokio::time::timeout_at(deadline, connect(target.address, deadline)).await;
        let stream = connected.map_err(|_| ConnectError::TimedOut)??;
        Connection::handshake(target.worker, stream, permit, self.shared.limits.buffer_limit).await
    }
}

impl tower::Service<Target> for Pool {
    type Response = Connection;
    type Error = ConnectError;
    type Future = LocalBoxFuture<Result<Connection, ConnectError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Poll::Ready(Ok(()))
    }

    /// Dropping the future aborts a connect in progress and returns its permit.
    fn call(&mut self, target: Target) -> Self::Future {
        Box::pin(self.clone().connect(target))
    }
}
