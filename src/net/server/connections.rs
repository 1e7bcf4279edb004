//! The client connections that are open, and which of them go when places are short.

use crate::net::server::client_socket::ClientSocket;
use crate::rules::close::{Eviction, Phase};
use crate::runtime::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Where places are short, a connection may have to go that has been idle for this long: a client that has just
/// connected gets to send its request.
const MIN_IDLE: Duration = Duration::from_millis(50);
/// The same for a request that is still not whole.
const MIN_ARRIVAL: Duration = Duration::from_millis(400);

/// The client connections that are open.
#[derive(Default)]
pub struct Connections {
    all: RefCell<BTreeMap<u64, Rc<ClientSocket>>>,
    next: Cell<u64>,
    /// A place was given back.
    freed: Notify,
}

impl Connections {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }

    /// Resolves when a slot has been given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// The number of the next connection.
    pub fn next_number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }

    /// Enters a connection, for as long as its slot is kept.
    pub fn enter(self: &Rc<Self>, client: Rc<ClientSocket>) -> ConnectionSlot {
        let number = client.number();
        self.all.borrow_mut().insert(number, client);
        ConnectionSlot(self.clone(), number)
    }

    /// Makes room before there is none: the longest idle connection goes, else the one that takes longest to send its
    /// request. Guards against clients that connect by the hundred and say nothing, or never all.
    pub fn make_room(&self, counters: &Counters) -> bool {
        let settled = |phase| match phase {
            Phase::Idle(since) | Phase::Closing(since) => since.elapsed() >= MIN_IDLE,
            Phase::Arriving(since) => since.elapsed() >= MIN_ARRIVAL,
            Phase::InHand | Phase::Streaming => false,
        };
        self.evict(Eviction::Soon, settled, counters)
    }

    /// Makes room where there is none: whatever is not being answered goes, those first that have their answer.
    pub fn make_room_at_once(&self, counters: &Counters) -> bool {
        self.evict(Eviction::AtOnce, |_| true, counters)
    }

    fn evict(&self, eviction: Eviction, may_go: impl Fn(Phase) -> bool, counters: &Counters) -> bool {
        let rank = |client: &ClientSocket| match client.phase() {
            phase if !may_go(phase) => None,
            Phase::Closing(since) if eviction == Eviction::AtOnce => Some((0, since)),
            Phase::Idle(since) | Phase::Closing(since) => Some((1, since)),
            Phase::Arriving(since) => Some((2, since)),
            Phase::InHand | Phase::Streaming => None,
        };
        let all = self.all.borrow();
        let staying = all.values().filter(|c| c.eviction() < eviction && !c.is_write_blocked());
        let found = staying.filter_map(|c| rank(c).map(|rank| (rank, c))).min_by_key(|(rank, _)| *rank);
        let Some((_, client)) = found else { return false };
        client.evict(eviction);
        counters.connections_evicted.increment();
        true
    }
}

/// A connection's place among them, given back when dropped.
pub struct ConnectionSlot(Rc<Connections>, u64);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.all.borrow_mut().remove(&self.1);
        self.0.freed.notify_one();
    }
}
