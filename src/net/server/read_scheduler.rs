//! Limits what all client connections read in one round of the event loop.
//!
//! Everything runs on one thread. A request that is answered at once, such as a malformed one, costs CPU time
//! without a wait, so clients that send many of them would keep the thread from everything else: each event of
//! a stream takes several rounds. So connections read a limited number of times in a round, and wait for a later
//! round in the order in which they came.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The number of reads of all connections in one round. A request takes one for its head and one for each buffer
/// of its body.
const READS_PER_ROUND: usize = 64;
/// The number of waiting connections that are woken in one round: so few that each has several reads.
const WOKEN_PER_ROUND: usize = 16;

/// The reads of all client connections, counted by rounds.
#[derive(Default)]
pub struct ReadScheduler {
    /// The number of the current round. Without contention it lasts for many iterations of the event loop.
    round: Cell<u64>,
    /// The number of reads in the current round.
    reads: Cell<usize>,
    /// The connections that wait, in the order in which they came.
    waiting: RefCell<VecDeque<WaitingConnection>>,
    /// Whether a task begins further rounds.
    is_advancing: Cell<bool>,
}

/// A connection that waits for a later round.
struct WaitingConnection {
    waker: Waker,
    /// Shared with the connection, so that it waits only once.
    is_waiting: Rc<Cell<bool>>,
}

impl WaitingConnection {
    fn wake(self) {
        self.is_waiting.set(false);
        self.waker.wake();
    }
}

impl ReadScheduler {
    /// Registers a connection to be woken in a later round.
    fn wait(self: &Rc<Self>, connection: WaitingConnection) {
        self.waiting.borrow_mut().push_back(connection);
        if !self.is_advancing.replace(true) {
            tokio::task::spawn_local(self.clone().advance());
        }
    }

    /// Begins further rounds, each after all other tasks that were ready have run, until no task waits.
    async fn advance(self: Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            tokio::task::yield_now().await;
            self.round.set(self.round.get() + 1);
            self.reads.set(0);
            let mut waiting = self.waiting.borrow_mut();
            let woken = waiting.len().min(WOKEN_PER_ROUND);
            waiting.drain(..woken).for_each(WaitingConnection::wake);
        }
        self.is_advancing.set(false);
    }
}

/// The reads of one connection.
pub struct ConnectionReads {
    scheduler: Rc<ReadScheduler>,
    is_waiting: Rc<Cell<bool>>,
    /// The round in which the connection has finished a response, until it is seen without received bytes.
    responded_in: Cell<Option<u64>>,
}

impl ConnectionReads {
    /// Creates the state of a connection that has not read anything.
    pub fn new(scheduler: Rc<ReadScheduler>) -> Self {
        ConnectionReads { scheduler, is_waiting: Rc::default(), responded_in: Cell::new(None) }
    }

    /// Records that a response is complete: a request that has been received already is read in a later round.
    pub fn record_response(&self) {
        self.responded_in.set(Some(self.scheduler.round.get()));
    }

    /// Records that no bytes are left to read: the client waited for its response, so its next request is not
    /// pipelined.
    pub fn record_drained(&self) {
        self.responded_in.set(None);
    }

    /// Records a read.
    pub fn record_read(&self) {
        self.scheduler.reads.set(self.scheduler.reads.get() + 1);
    }

    /// Ready if the connection may read in the current round; otherwise registers the task to be woken in a
    /// later one.
    pub fn poll_may_read(&self, cx: &Context<'_>) -> Poll<()> {
        let round = self.scheduler.round.get();
        let may_read = self.responded_in.get() != Some(round) && self.scheduler.reads.get() < READS_PER_ROUND;
        if may_read {
            return Poll::Ready(());
        }
        if !self.is_waiting.replace(true) {
            let is_waiting = self.is_waiting.clone();
            self.scheduler.wait(WaitingConnection { waker: cx.waker().clone(), is_waiting });
        }
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;
