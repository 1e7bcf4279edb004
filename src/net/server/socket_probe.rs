//! Queries of the kernel's state of a client's socket. They bypass the readiness that the runtime caches.

use crate::net::socket::retry_on_interrupt;
use rustix::buffer::spare_capacity;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, recv};
use std::os::fd::AsFd;
use tokio::net::TcpStream;

/// Whether the peer has closed the connection, or at least its sending side, even if unread bytes precede the
/// close.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    // A failed call says nothing about the peer.
    let _ = retry_on_interrupt(|| Ok(poll(&mut fds, Some(&NO_WAIT))?));
    fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Copies received bytes into `bytes` without consuming them. Returns their number.
pub fn peek(stream: &TcpStream, bytes: &mut [u8]) -> usize {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    let received = retry_on_interrupt(|| Ok(recv(stream.as_fd(), &mut *bytes, flags)?));
    received.map_or(0, |(received, _)| received)
}

/// Reads received bytes into the spare capacity of `block`. Returns their number; 0 if there are none or the
/// call failed, which the next regular read of the connection reports.
pub fn receive(stream: &TcpStream, block: &mut Vec<u8>) -> usize {
    let received = retry_on_interrupt(|| {
        let (received, _) = recv(stream.as_fd(), spare_capacity(block), RecvFlags::DONTWAIT)?;
        Ok(received)
    });
    received.unwrap_or(0)
}

/// Whether received bytes have not been read yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream, &mut [0]) > 0
}
