//! Limits what all client connections read in one turn of the event loop.
//!
//! Everything runs on one thread. A request that is answered at once, such as a malformed one, costs CPU time
//! without a wait, so clients that send many of them would keep the thread from everything else: each event of
//! a stream takes several turns. So connections read a limited number of times in a turn, and wait for a later
//! turn in the order in which they came.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The number of reads of all connections in one turn. A request takes one for its head and one for each buffer
/// of its body.
const READS_PER_TURN: usize = 64;
/// The number of waiting connections that are woken in one turn: so few that each has several reads.
const WOKEN_PER_TURN: usize = 16;

/// The reads of all client connections, counted by turns of the event loop.
#[derive(Default)]
pub struct ReadTurns {
    /// The number of the current turn. A turn without contention may last for many iterations of the event loop.
    turn: Cell<u64>,
    /// The number of reads in the current turn.
    reads: Cell<usize>,
    /// The connections that wait, in the order in which they came.
    waiting: RefCell<VecDeque<WaitingConnection>>,
    is_next_scheduled: Cell<bool>,
}

/// A connection that waits for a later turn.
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

impl ReadTurns {
    /// Registers a connection to be woken in a later turn.
    fn wait(self: &Rc<Self>, connection: WaitingConnection) {
        self.waiting.borrow_mut().push_back(connection);
        if !self.is_next_scheduled.replace(true) {
            tokio::task::spawn_local(self.clone().advance());
        }
    }

    /// Begins further turns, each after all other tasks that were ready have run, until no task waits.
    async fn advance(self: Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            tokio::task::yield_now().await;
            self.turn.set(self.turn.get() + 1);
            self.reads.set(0);
            let mut waiting = self.waiting.borrow_mut();
            let woken = waiting.len().min(WOKEN_PER_TURN);
            waiting.drain(..woken).for_each(WaitingConnection::wake);
        }
        self.is_next_scheduled.set(false);
    }
}

/// The part of one connection in the turns.
pub struct ConnectionTurns {
    turns: Rc<ReadTurns>,
    is_waiting: Rc<Cell<bool>>,
    /// The turn in which the connection has finished a response, until it is seen without received bytes.
    responded_in: Cell<Option<u64>>,
}

impl ConnectionTurns {
    /// Creates the state of a connection that has not read anything.
    pub fn new(turns: Rc<ReadTurns>) -> Self {
        ConnectionTurns { turns, is_waiting: Rc::default(), responded_in: Cell::new(None) }
    }

    /// Records that a response is complete: a request that has been received already is read in a later turn.
    pub fn record_response(&self) {
        self.responded_in.set(Some(self.turns.turn.get()));
    }

    /// Records that no bytes are left to read: the client waited for its response, so its next request is not
    /// pipelined.
    pub fn record_drained(&self) {
        self.responded_in.set(None);
    }

    /// Records a read.
    pub fn record_read(&self) {
        self.turns.reads.set(self.turns.reads.get() + 1);
    }

    /// Ready if the connection may read in the current turn; otherwise registers the task to be woken in a
    /// later one.
    pub fn poll_may_read(&self, cx: &Context<'_>) -> Poll<()> {
        let turn = self.turns.turn.get();
        let may_read = self.responded_in.get() != Some(turn) && self.turns.reads.get() < READS_PER_TURN;
        if may_read {
            return Poll::Ready(());
        }
        if !self.is_waiting.replace(true) {
            let is_waiting = self.is_waiting.clone();
            self.turns.wait(WaitingConnection { waker: cx.waker().clone(), is_waiting });
        }
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;
