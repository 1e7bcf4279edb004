//! Bytes that are read from a client's socket while its active request awaits a response.
//!
//! The close of a connection arrives behind everything that the client has sent before. If a client sends
//! more than the kernel's receive buffer holds, its close stays in the client's own send buffer until the
//! router reads. So bytes are read ahead when so many have arrived that the receive window may be closed. Fewer
//! bytes stay in the kernel, where they count as unread.
//!
//! How many bytes are unread does not tell whether the window is open: the kernel opens it again only when a
//! whole segment fits the buffer, which on some links is as large as the buffer. So bytes are counted from when
//! the socket was last empty, and all are read ahead if any are.

use crate::net::memory::BLOCK_BYTES;
use crate::net::memory_budget::{MemoryBudget, MemoryReservation};
use crate::net::server::socket_probe;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The number of bytes that an empty socket receives whose receive window stays open: half of the window with
/// which Linux begins.
const OPEN_WINDOW_BYTES: usize = 32 * 1024;

/// Whether a close of the connection would have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseVisibility {
    /// The receive window is open, so that a close is received.
    Visible,
    /// Bytes were read ahead just now; more of them may be on their way, and a close behind them.
    CatchingUp,
    /// The client has sent more than may be read ahead.
    Hidden,
}

/// The bytes read ahead of a connection, first in, first out.
pub struct ReadAhead {
    blocks: VecDeque<Vec<u8>>,
    /// The number of bytes of the first block that have been consumed.
    consumed: usize,
    /// The number of bytes that have been read from the socket since it was last seen empty.
    read_since_empty: usize,
    reservation: MemoryReservation,
}

impl ReadAhead {
    /// Creates an empty buffer, whose memory is reserved from a budget of all connections.
    pub fn new(budget: Rc<MemoryBudget>) -> Self {
        ReadAhead {
            blocks: VecDeque::new(),
            consumed: 0,
            read_since_empty: 0,
            reservation: MemoryReservation::new(budget),
        }
    }

    /// Records bytes that were read from the socket, but not ahead.
    pub fn record_read(&mut self, length: usize) {
        self.read_since_empty += length;
    }

    /// Whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.front().is_empty()
    }

    /// The first bytes; all of them may be consumed at once.
    pub fn front(&self) -> &[u8] {
        self.blocks.front().map_or(&[], |block| &block[self.consumed..])
    }

    /// Removes this many bytes of [`front`](Self::front).
    pub fn consume(&mut self, length: usize) {
        self.consumed += length;
        if self.blocks.front().is_some_and(|block| block.len() == self.consumed) {
            self.blocks.pop_front();
            self.consumed = 0;
            self.reservation.shrink(BLOCK_BYTES);
        }
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        self.reservation.shrink(self.blocks.len() * BLOCK_BYTES);
        self.blocks.clear();
        self.consumed = 0;
    }

    /// Copies the first bytes, followed by received bytes that have not been read, into `bytes` without
    /// consuming them. Returns their number.
    pub fn peek(&self, stream: &TcpStream, bytes: &mut [u8]) -> usize {
        let mut copied = 0;
        let mut skipped = self.consumed;
        for block in &self.blocks {
            let available = &block[skipped..];
            let length = available.len().min(bytes.len() - copied);
            bytes[copied..copied + length].copy_from_slice(&available[..length]);
            copied += length;
            skipped = 0;
        }
        copied + socket_probe::peek(stream, &mut bytes[copied..])
    }

    /// Reads all received bytes ahead if a close could be hidden behind them.
    pub fn read_available(&mut self, stream: &TcpStream) -> CloseVisibility {
        if !self.may_hide_close(stream) {
            return CloseVisibility::Visible;
        }
        while socket_probe::has_unread_bytes(stream) {
            let Some(block) = self.block_with_room() else { return CloseVisibility::Hidden };
            if socket_probe::receive(stream, block) == 0 {
                break;
            }
        }
        CloseVisibility::CatchingUp
    }

    /// Whether bytes are unread, and so many have arrived that the receive window may be closed.
    fn may_hide_close(&mut self, stream: &TcpStream) -> bool {
        if !socket_probe::has_unread_bytes(stream) {
            self.read_since_empty = 0;
            return false;
        }
        let length = OPEN_WINDOW_BYTES.saturating_sub(self.read_since_empty);
        socket_probe::peek(stream, &mut [0; OPEN_WINDOW_BYTES][..length]) == length
    }

    /// The last block if it has room, else a new one; `None` if the budget has no room for it.
    fn block_with_room(&mut self) -> Option<&mut Vec<u8>> {
        if self.blocks.back().is_none_or(|block| block.len() == block.capacity()) {
            self.reservation.grow_within_share(BLOCK_BYTES).ok()?;
            self.blocks.push_back(Vec::with_capacity(BLOCK_BYTES));
        }
        self.blocks.back_mut()
    }
}

#[cfg(test)]
mod tests;
