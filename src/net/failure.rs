//! What failed system calls say, and of whom: of one connection, of this machine, or of the other side. Every error number
//! that accept(2), connect(2), recv(2) and send(2) document is decided on here and nowhere else.

use rustix::io::Errno;
use std::io;

/// Of whom a failed accept(2) speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// Of a connection that was gone before it was accepted, or of a signal. The next one may be there.
    Connection,
    /// Of this process: it has no descriptor left. One of its own has to go.
    OwnDescriptors,
    /// Of this machine: it is short of something for a moment. Nothing here can be done about it.
    Machine,
}

/// Decides on a failed accept(2).
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => AcceptFailure::OwnDescriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Machine,
        // Linux also reports here what the network says of the connection that would have been accepted.
        _ => AcceptFailure::Connection,
    }
}

/// Of whom a failed socket(2) or connect(2) speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Of a signal: the call is made again at once.
    Interrupted,
    /// Of this machine, or of its way into the network: it may be over in a moment, and says nothing of the other side.
    Machine,
    /// Of the other side, or of the way to it.
    OtherSide,
}

/// Decides on a failed socket(2) or connect(2).
pub fn connect_failure(error: &io::Error) -> ConnectFailure {
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

/// Of whom a failed read or write of a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferFailure {
    /// Of a signal: the call is made again at once.
    Interrupted,
    /// Of nobody: there is nothing to read, or no room to write.
    NotReady,
    /// Of this machine: it is short of memory for a moment, and the call is made again after one.
    Machine,
    /// Of the connection, which is of no more use.
    Connection,
}

/// Decides on a failed recv(2) or send(2).
pub fn transfer_failure(error: &io::Error) -> TransferFailure {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => TransferFailure::Interrupted,
        Some(Errno::NOBUFS | Errno::NOMEM) => TransferFailure::Machine,
        _ if error.kind() == io::ErrorKind::WouldBlock => TransferFailure::NotReady,
        _ => TransferFailure::Connection,
    }
}

#[cfg(test)]
mod tests;
