//! Tests of the decisions on error numbers.

use super::*;
use rstest::rstest;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[rstest]
#[case::connection_gone(Errno::CONNABORTED, AcceptFailure::Connection)]
#[case::interrupted(Errno::INTR, AcceptFailure::Connection)]
#[case::protocol(Errno::PROTO, AcceptFailure::Connection)]
#[case::network_of_the_connection(Errno::NETUNREACH, AcceptFailure::Connection)]
#[case::firewall(Errno::PERM, AcceptFailure::Connection)]
#[case::own_descriptors(Errno::MFILE, AcceptFailure::OwnDescriptors)]
#[case::file_table(Errno::NFILE, AcceptFailure::Machine)]
#[case::buffers(Errno::NOBUFS, AcceptFailure::Machine)]
#[case::memory(Errno::NOMEM, AcceptFailure::Machine)]
fn of_an_accept(#[case] errno: Errno, #[case] wanted: AcceptFailure) {
    assert_eq!(accept_failure(&error(errno)), wanted);
}

#[rstest]
#[case::interrupted(Errno::INTR, ConnectFailure::Interrupted)]
#[case::no_local_port(Errno::ADDRNOTAVAIL, ConnectFailure::Machine)]
#[case::no_route(Errno::NETUNREACH, ConnectFailure::Machine)]
#[case::buffers(Errno::NOBUFS, ConnectFailure::Machine)]
#[case::file_table(Errno::NFILE, ConnectFailure::Machine)]
#[case::own_descriptors(Errno::MFILE, ConnectFailure::Machine)]
#[case::refused(Errno::CONNREFUSED, ConnectFailure::OtherSide)]
#[case::timed_out(Errno::TIMEDOUT, ConnectFailure::OtherSide)]
#[case::host_unreachable(Errno::HOSTUNREACH, ConnectFailure::OtherSide)]
fn of_a_connect(#[case] errno: Errno, #[case] wanted: ConnectFailure) {
    assert_eq!(connect_failure(&error(errno)), wanted);
}

#[rstest]
#[case::interrupted(Errno::INTR, TransferFailure::Interrupted)]
#[case::not_ready(Errno::AGAIN, TransferFailure::NotReady)]
#[case::buffers(Errno::NOBUFS, TransferFailure::Machine)]
#[case::memory(Errno::NOMEM, TransferFailure::Machine)]
#[case::reset(Errno::CONNRESET, TransferFailure::Connection)]
#[case::pipe(Errno::PIPE, TransferFailure::Connection)]
#[case::timed_out(Errno::TIMEDOUT, TransferFailure::Connection)]
#[case::host_unreachable(Errno::HOSTUNREACH, TransferFailure::Connection)]
fn of_a_transfer(#[case] errno: Errno, #[case] wanted: TransferFailure) {
    assert_eq!(transfer_failure(&error(errno)), wanted);
}
