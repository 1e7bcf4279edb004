//! A library for `LD_PRELOAD` that injects faults into the system calls of a process under test. Each fault
//! is a result that the Linux manual pages document for the call.
//!
//! The control block of [`fault_plan`] selects the faults. The environment variable
//! [`fault_plan::CONTROL_FILE_VARIABLE`] holds its path. Without a control block, the library only forwards
//! calls. Of all descriptors, faults affect only IPv4 and IPv6 sockets, regular files and standard error. A
//! `poll` may be interrupted whatever it waits for.

mod control;
mod real;

use control::{should_inject, wall_clock_offset_us};
use fault_plan::SystemCallFault;
use libc::{c_int, c_void, iovec, pollfd, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// A short read returns a third of at most this many bytes, so that even small messages arrive in pieces.
const MAX_SHORT_READ_BYTES: size_t = 64;
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
const NANOSECONDS_PER_MICROSECOND: i64 = 1_000;

/// Sets `errno` and returns the result of a failed call.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the pointer is to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The error number of the first listed fault that is injected into the current call. The fault is counted
/// even if the caller then skips it because the descriptor is not an IPv4 or IPv6 socket.
fn first_failure(faults: &[(SystemCallFault, c_int)]) -> Option<c_int> {
    faults.iter().find(|(fault, _)| should_inject(*fault)).map(|(_, errno)| *errno)
}

/// Whether a descriptor is an IPv4 or IPv6 socket.
fn is_internet_socket(fd: c_int) -> bool {
    let (mut domain, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: both pointers are to live locals of the sizes that the option requires.
    let result = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    result == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
}

/// Whether a descriptor is a regular file.
fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: `stat` is plain data, for which all zeros are a valid value; fstat fills it.
    let mut stat: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer is to a live local.
    unsafe { libc::fstat(fd, &raw mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG }
}

/// The number of bytes that a short read or write transfers: a third, but at least one.
fn short_length(length: size_t) -> size_t {
    length.div_ceil(3).max(1)
}

/// Replaces accept4(2).
///
/// # Safety
/// The caller upholds the contract of accept4(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let failure = first_failure(&[
        (SystemCallFault::AcceptAborted, libc::ECONNABORTED),
        (SystemCallFault::AcceptFileTableFull, libc::ENFILE),
        (SystemCallFault::AcceptNoBuffers, libc::ENOBUFS),
    ]);
    match failure.filter(|_| is_internet_socket(fd)) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments, unchanged.
        None => unsafe { real::accept4(fd, address, length, flags) },
    }
}

/// Replaces socket(2).
///
/// # Safety
/// The caller upholds the contract of socket(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && should_inject(SystemCallFault::SocketFileTableFull) {
        return fail(libc::ENFILE);
    }
    // SAFETY: the caller's arguments, unchanged.
    unsafe { real::socket(domain, kind, protocol) }
}

/// Replaces connect(2).
///
/// # Safety
/// The caller upholds the contract of connect(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let failure = first_failure(&[
        (SystemCallFault::ConnectNoAddress, libc::EADDRNOTAVAIL),
        (SystemCallFault::ConnectUnreachable, libc::ENETUNREACH),
        (SystemCallFault::ConnectNoBuffers, libc::ENOBUFS),
    ]);
    match failure.filter(|_| is_internet_socket(fd)) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments, unchanged.
        None => unsafe { real::connect(fd, address, length) },
    }
}

/// Replaces recv(2).
///
/// # Safety
/// The caller upholds the contract of recv(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_inject(SystemCallFault::ReadInterrupted) && is_internet_socket(fd) {
        return fail(libc::EINTR) as ssize_t;
    }
    let is_consuming = flags & libc::MSG_PEEK == 0;
    let is_short =
        is_consuming && length > 1 && should_inject(SystemCallFault::ShortRead) && is_internet_socket(fd);
    let length = if is_short { short_length(length.min(MAX_SHORT_READ_BYTES)) } else { length };
    // SAFETY: the caller's buffer, of which no more is used than the caller passed.
    unsafe { real::recv(fd, buffer, length, flags) }
}

/// Replaces send(2).
///
/// # Safety
/// The caller upholds the contract of send(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(errno) = write_failure(fd) {
        return fail(errno) as ssize_t;
    }
    let is_short = length > 1 && should_inject(SystemCallFault::ShortWrite) && is_internet_socket(fd);
    let length = if is_short { short_length(length) } else { length };
    // SAFETY: the caller's buffer, of which no more is used than the caller passed.
    unsafe { real::send(fd, buffer, length, flags) }
}

/// Replaces writev(2).
///
/// # Safety
/// The caller upholds the contract of writev(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if let Some(errno) = write_failure(fd) {
        return fail(errno) as ssize_t;
    }
    if count > 0 && should_inject(SystemCallFault::ShortWrite) && is_internet_socket(fd) {
        // SAFETY: the caller passes `count` buffers, and `count` is at least one.
        let first = unsafe { *buffers };
        if first.iov_len > 1 {
            // SAFETY: a part of the caller's first buffer.
            return unsafe {
                real::send(fd, first.iov_base, short_length(first.iov_len), libc::MSG_NOSIGNAL)
            };
        }
    }
    // SAFETY: the caller's arguments, unchanged.
    unsafe { real::writev(fd, buffers, count) }
}

/// The error number of the fault that is injected into the current write to a socket.
fn write_failure(fd: c_int) -> Option<c_int> {
    let failure = first_failure(&[
        (SystemCallFault::WriteInterrupted, libc::EINTR),
        (SystemCallFault::WriteNoBuffers, libc::ENOBUFS),
    ]);
    failure.filter(|_| is_internet_socket(fd))
}

/// Replaces poll(2).
///
/// # Safety
/// The caller upholds the contract of poll(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn poll(fds: *mut pollfd, count: libc::nfds_t, timeout: c_int) -> c_int {
    if should_inject(SystemCallFault::PollInterrupted) {
        return fail(libc::EINTR);
    }
    // SAFETY: the caller's arguments, unchanged.
    unsafe { real::poll(fds, count, timeout) }
}

/// Replaces read(2).
///
/// # Safety
/// The caller upholds the contract of read(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if should_inject(SystemCallFault::FileReadFails) && is_regular_file(fd) {
        return fail(libc::EIO) as ssize_t;
    }
    let is_short = length > 1 && should_inject(SystemCallFault::FileShortRead) && is_regular_file(fd);
    let length = if is_short { short_length(length) } else { length };
    // SAFETY: the caller's buffer, of which no more is used than the caller passed.
    unsafe { real::read(fd, buffer, length) }
}

/// Replaces write(2).
///
/// # Safety
/// The caller upholds the contract of write(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if fd == libc::STDERR_FILENO && should_inject(SystemCallFault::LogFull) {
        return fail(libc::ENOSPC) as ssize_t;
    }
    // SAFETY: the caller's arguments, unchanged.
    unsafe { real::write(fd, buffer, length) }
}

/// Replaces clock_gettime(2). Adds the offset to the wall clock.
///
/// # Safety
/// The caller upholds the contract of clock_gettime(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments, unchanged.
    let result = unsafe { real::clock_gettime(clock, time) };
    let offset_us = wall_clock_offset_us();
    if result == 0 && clock == libc::CLOCK_REALTIME && offset_us != 0 {
        // SAFETY: the successful call has filled in the caller's structure.
        let now = unsafe { *time };
        let nanoseconds =
            now.tv_sec * NANOSECONDS_PER_SECOND + now.tv_nsec + offset_us * NANOSECONDS_PER_MICROSECOND;
        let (tv_sec, tv_nsec) =
            (nanoseconds.div_euclid(NANOSECONDS_PER_SECOND), nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND));
        // SAFETY: the caller's own structure.
        unsafe { *time = timespec { tv_sec, tv_nsec } };
    }
    result
}
