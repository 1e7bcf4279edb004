//! Classification of failed system calls: whether an error concerns one connection, the local host or the
//! peer.
//!
//! All error numbers documented for accept(2), connect(2), recv(2) and send(2) are classified here and
//! nowhere else.

use rustix::io::Errno;
use std::io;

/// The scope of an accept(2) failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection was aborted before it was accepted, or a signal interrupted the call. The next accept
    /// may succeed at once.
    Connection,
    /// The process has no file descriptor left and has to close one.
    OwnDescriptors,
    /// The local host is temporarily short of a resource. The process can only wait.
    Machine,
}

/// Classifies the error of a failed accept(2).
pub fn classify_accept_error(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => AcceptFailure::OwnDescriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Machine,
        // Includes the pending network errors of the new connection, which Linux also reports from accept(2).
        _ => AcceptFailure::Connection,
    }
}

/// The scope of a socket(2) or connect(2) failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// A signal interrupted the call, which is repeated at once.
    Interrupted,
    /// The local host or its network interface. The condition may be temporary, and says nothing about the
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

/// The scope of a recv(2) or send(2) failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferFailure {
    /// A signal interrupted the call, which is repeated at once.
    Interrupted,
    /// Not an error: the receive buffer is empty or the send buffer is full.
    NotReady,
    /// The local host is temporarily short of memory; the call is repeated after a pause.
    Machine,
    /// The connection, which is no longer usable.
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
