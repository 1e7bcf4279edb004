//! The registry of open client connections, and the choice of connections to evict near or at the limit.

use crate::net::server::client_socket::ClientSocket;
use crate::rules::close::{ConnectionPhase, Eviction};
use crate::runtime::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The minimum idle time before graceful eviction. It leaves a client that has just connected time to send
/// its request.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// The minimum time since the first byte of an incomplete request before its connection is evicted
/// gracefully.
const MIN_RECEIVE_BEFORE_EVICTION: Duration = Duration::from_millis(400);

/// The registry of open client connections.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<ClientSocket>>>,
    next_number: Cell<u64>,
    slot_released: Notify,
}

/// The result of an attempt to evict a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionResult {
    /// A connection was evicted. If it receives a request before it closes, it responds first.
    Requested,
    /// No connection may be evicted.
    NoCandidate,
    /// Enough slots are free; no connection was considered.
    NotNeeded,
}

/// The order in which connections are evicted: by variant, then by the time in the phase, longest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The router has shut down its sending side, and the client has not closed yet.
    Closing(Instant),
    /// The connection is between two requests. Graceful eviction ranks closing connections here too, since
    /// they end without eviction.
    Idle(Instant),
    /// A request has been received in part.
    ReceivingRequest(Instant),
}

impl Connections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Resolves when a connection has ended and released its slot. Cancel safe; supports a single waiter.
    pub async fn slot_released(&self) {
        self.slot_released.notified().await;
    }

    /// Allocates the number that identifies the next connection in the log.
    pub fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Registers a connection until the returned slot is dropped.
    pub fn register(self: &Rc<Self>, client: Rc<ClientSocket>) -> ConnectionSlot {
        let number = client.number();
        self.open.borrow_mut().insert(number, client);
        ConnectionSlot { connections: self.clone(), number }
    }

    /// Evicts a connection before the limit is reached: the one that has been idle longest, or else the one
    /// that has been receiving a request longest. Protects against clients that open hundreds of connections
    /// and send nothing or only incomplete requests.
    pub fn evict_gracefully(&self, counters: &Counters) -> EvictionResult {
        let may_evict = |phase| match phase {
            ConnectionPhase::Idle(since) | ConnectionPhase::Closing(since) => {
                since.elapsed() >= MIN_IDLE_BEFORE_EVICTION
            }
            ConnectionPhase::ReceivingRequest(since) => since.elapsed() >= MIN_RECEIVE_BEFORE_EVICTION,
            ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming => false,
        };
        self.evict(Eviction::Graceful, may_evict, counters)
    }

    /// Evicts a connection without a request in flight because no slot is left; closing connections rank
    /// first.
    pub fn evict_immediately(&self, counters: &Counters) -> EvictionResult {
        self.evict(Eviction::Immediate, |_| true, counters)
    }

    /// Evicts the connection that ranks first, among those whose phase satisfies `may_evict`, that have no
    /// request in flight, have not been evicted with the same urgency before and have no pending output.
    fn evict(
        &self,
        eviction: Eviction,
        may_evict: impl Fn(ConnectionPhase) -> bool,
        counters: &Counters,
    ) -> EvictionResult {
        let rank = |client: &ClientSocket| match client.phase() {
            phase if !may_evict(phase) => None,
            ConnectionPhase::Closing(since) if eviction == Eviction::Immediate => {
                Some(EvictionRank::Closing(since))
            }
            ConnectionPhase::Idle(since) | ConnectionPhase::Closing(since) => Some(EvictionRank::Idle(since)),
            ConnectionPhase::ReceivingRequest(since) => Some(EvictionRank::ReceivingRequest(since)),
            ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming => None,
        };
        let open = self.open.borrow();
        let candidates = open.values().filter(|c| c.eviction() < eviction && !c.is_write_blocked());
        let ranked = candidates.filter_map(|client| rank(client).map(|rank| (rank, client)));
        let Some((_, client)) = ranked.min_by_key(|(rank, _)| *rank) else {
            return EvictionResult::NoCandidate;
        };
        client.evict(eviction);
        let urgency = if eviction == Eviction::Immediate { "immediately" } else { "gracefully" };
        log::debug!("connection {}: evicting {urgency}, {} open", client.number(), open.len());
        counters.connections_evicted.increment();
        EvictionResult::Requested
    }
}

/// A connection's entry in the registry. Dropping it removes the connection and wakes the waiter for a slot.
pub struct ConnectionSlot {
    connections: Rc<Connections>,
    number: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(client) = self.connections.open.borrow_mut().remove(&self.number) {
            // The client may outlive its connection, in the state of a request.
            client.discard_read_ahead();
        }
        self.connections.slot_released.notify_one();
    }
}
