//! Classification of failed system calls: whether an error concerns one connection, this machine or the peer.
//!
//! Every error number that accept(2), connect(2), recv(2) and send(2) document is classified here and nowhere
//! else.

use rustix::io::Errno;
use std::io;

/// What a failed accept(2) concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// A connection that was gone before it was accepted, or a signal. The next accept may succeed at once.
    Connection,
    /// This process: it has no file descriptor left and has to close one of its own.
    OwnDescriptors,
    /// This machine: it is short of a resource for a moment. This process can only wait.
    Machine,
}

/// Classifies the error of a failed accept(2).
pub fn classify_accept_error(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => AcceptFailure::OwnDescriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Machine,
        // Linux also reports pending network errors of the connection that would have been accepted.
        _ => AcceptFailure::Connection,
    }
}

/// What a failed socket(2) or connect(2) concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// A signal: the call is repeated at once.
    Interrupted,
    /// This machine or its network interface: the condition may pass in a moment, and says nothing about the
    /// peer.
    Machine,
    /// The peer, or the network path to it.
    OtherSide,
}

/// Classifies the error of a failed socket(2) or connect(2).
pub fn classify_connect_error(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ConnectFailure::Interrupted,
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::AGAIN
            | Errno::NETDOWN
            | Errno::NETUNREACH,
        ) => ConnectFailure::Machine,
        _ => ConnectFailure::OtherSide,
    }
}

/// What a failed read or write on a connection concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferFailure {
    /// A signal: the call is repeated at once.
    Interrupted,
    /// Nothing is wrong: there is nothing to read, or no buffer space to write to.
    NotReady,
    /// This machine: it is short of memory for a moment, and the call is repeated after a pause.
    Machine,
    /// The connection, which can't be used any more.
    Connection,
}

/// Classifies the error of a failed recv(2) or send(2).
pub fn classify_transfer_error(error: &io::Error) -> TransferFailure {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => TransferFailure::Interrupted,
        Some(Errno::NOBUFS | Errno::NOMEM) => TransferFailure::Machine,
        _ if error.kind() == io::ErrorKind::WouldBlock => TransferFailure::NotReady,
        _ => TransferFailure::Connection,
    }
}

#[cfg(test)]
mod tests;
