//! Unit tests of the classification of error numbers.

use super::*;
use rstest::rstest;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[rstest]
#[case::connection_aborted(Errno::CONNABORTED, AcceptFailure::Connection)]
#[case::interrupted(Errno::INTR, AcceptFailure::Connection)]
#[case::protocol(Errno::PROTO, AcceptFailure::Connection)]
#[case::network_error_of_the_connection(Errno::NETUNREACH, AcceptFailure::Connection)]
#[case::firewall(Errno::PERM, AcceptFailure::Connection)]
#[case::process_file_descriptors(Errno::MFILE, AcceptFailure::OwnDescriptors)]
#[case::system_file_table(Errno::NFILE, AcceptFailure::Machine)]
#[case::buffers(Errno::NOBUFS, AcceptFailure::Machine)]
#[case::memory(Errno::NOMEM, AcceptFailure::Machine)]
fn accept_errors_are_classified(#[case] errno: Errno, #[case] expected: AcceptFailure) {
    assert_eq!(classify_accept_error(&error(errno)), expected);
}

#[rstest]
#[case::interrupted(Errno::INTR, ConnectFailure::Interrupted)]
#[case::no_local_port(Errno::ADDRNOTAVAIL, ConnectFailure::Machine)]
#[case::no_route(Errno::NETUNREACH, ConnectFailure::Machine)]
#[case::buffers(Errno::NOBUFS, ConnectFailure::Machine)]
#[case::system_file_table(Errno::NFILE, ConnectFailure::Machine)]
#[case::process_file_descriptors(Errno::MFILE, ConnectFailure::Machine)]
#[case::refused(Errno::CONNREFUSED, ConnectFailure::OtherSide)]
#[case::timed_out(Errno::TIMEDOUT, ConnectFailure::OtherSide)]
#[case::host_unreachable(Errno::HOSTUNREACH, ConnectFailure::OtherSide)]
fn connect_errors_are_classified(#[case] errno: Errno, #[case] expected: ConnectFailure) {
    assert_eq!(classify_connect_error(&error(errno)), expected);
}

#[rstest]
#[case::interrupted(Errno::INTR, TransferFailure::Interrupted)]
#[case::not_ready(Errno::AGAIN, TransferFailure::NotReady)]
#[case::buffers(Errno::NOBUFS, TransferFailure::Machine)]
#[case::memory(Errno::NOMEM, TransferFailure::Machine)]
#[case::reset(Errno::CONNRESET, TransferFailure::Connection)]
#[case::broken_pipe(Errno::PIPE, TransferFailure::Connection)]
#[case::timed_out(Errno::TIMEDOUT, TransferFailure::Connection)]
#[case::host_unreachable(Errno::HOSTUNREACH, TransferFailure::Connection)]
fn transfer_errors_are_classified(#[case] errno: Errno, #[case] expected: TransferFailure) {
    assert_eq!(classify_transfer_error(&error(errno)), expected);
}
