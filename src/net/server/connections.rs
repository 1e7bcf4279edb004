//! The registry of open client connections, and the choice of those that are evicted when connections run short.

use crate::net::server::client_socket::ClientSocket;
use crate::rules::close::{ConnectionPhase, Eviction};
use crate::runtime::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection idle for less than this is not evicted early: a client that has just connected gets to send its
/// request.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// The same for a connection whose request has not arrived completely.
const MIN_ARRIVAL_BEFORE_EVICTION: Duration = Duration::from_millis(400);

/// The open client connections.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<ClientSocket>>>,
    next_number: Cell<u64>,
    slot_released: Notify,
}

/// What became of an attempt to evict a connection for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionResult {
    /// A connection was told to close. It may still be answered first, if a request arrives at this moment.
    Requested,
    /// There is no connection that may be closed.
    NoCandidate,
    /// There are slots enough: no connection was considered.
    NotNeeded,
}

/// The order in which connections are evicted: by variant, then the longest in its phase first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its sending side is shut down, and only its client has yet to close.
    ClosingAlready(Instant),
    /// Between two requests. An early eviction ranks closing connections here too: they end by themselves.
    Idle(Instant),
    /// Its request is arriving.
    RequestArriving(Instant),
}

impl Connections {
    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Resolves when a connection has ended and its slot is free. Cancel-safe; for a single waiter.
    pub async fn slot_released(&self) {
        self.slot_released.notified().await;
    }

    /// The number of the next connection in the log.
    pub fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Registers a connection for as long as the returned slot lives.
    pub fn register(self: &Rc<Self>, client: Rc<ClientSocket>) -> ConnectionSlot {
        let number = client.number();
        self.open.borrow_mut().insert(number, client);
        ConnectionSlot { connections: self.clone(), number }
    }

    /// Evicts a connection ahead of need: the one that has been idle longest, else the one whose request has been
    /// arriving longest. Guards against clients that connect by the hundred and send nothing, or never a complete
    /// request.
    pub fn evict_gracefully(&self, counters: &Counters) -> EvictionResult {
        let may_evict = |phase| match phase {
            ConnectionPhase::Idle(since) | ConnectionPhase::Closing(since) => {
                since.elapsed() >= MIN_IDLE_BEFORE_EVICTION
            }
            ConnectionPhase::ReceivingRequest(since) => since.elapsed() >= MIN_ARRIVAL_BEFORE_EVICTION,
            ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming => false,
        };
        self.evict(Eviction::Graceful, may_evict, counters)
    }

    /// Evicts any connection that is not being answered, since there is no slot left; first those that are closing
    /// already.
    pub fn evict_immediately(&self, counters: &Counters) -> EvictionResult {
        self.evict(Eviction::Immediate, |_| true, counters)
    }

    /// Tells the connection that ranks first to close: among those whose phase satisfies `may_evict`, that are not
    /// being answered, have not been told as urgently before, and have written out their last response.
    fn evict(
        &self,
        eviction: Eviction,
        may_evict: impl Fn(ConnectionPhase) -> bool,
        counters: &Counters,
    ) -> EvictionResult {
        let rank = |client: &ClientSocket| match client.phase() {
            phase if !may_evict(phase) => None,
            ConnectionPhase::Closing(since) if eviction == Eviction::Immediate => {
                Some(EvictionRank::ClosingAlready(since))
            }
            ConnectionPhase::Idle(since) | ConnectionPhase::Closing(since) => Some(EvictionRank::Idle(since)),
            ConnectionPhase::ReceivingRequest(since) => Some(EvictionRank::RequestArriving(since)),
            ConnectionPhase::AwaitingResponse | ConnectionPhase::Streaming => None,
        };
        let open = self.open.borrow();
        let candidates = open.values().filter(|c| c.eviction() < eviction && !c.is_write_blocked());
        let ranked = candidates.filter_map(|client| rank(client).map(|rank| (rank, client)));
        let Some((_, client)) = ranked.min_by_key(|(rank, _)| *rank) else {
            return EvictionResult::NoCandidate;
        };
        client.evict(eviction);
        let urgency = if eviction == Eviction::Immediate { "at once" } else { "early" };
        log::debug!("connection {}: to be evicted {urgency}, {} open", client.number(), open.len());
        counters.connections_evicted.increment();
        EvictionResult::Requested
    }
}

/// A connection's entry in the registry. Dropping it removes the connection and wakes whoever waits for a slot.
pub struct ConnectionSlot {
    connections: Rc<Connections>,
    number: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
        self.connections.slot_released.notify_one();
    }
}
