//! The C library's definitions of the functions that this library replaces.

use libc::{c_int, c_void, iovec, nfds_t, pollfd, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Defines functions that forward to the next definition of the same name in the dynamic linker's search
/// order, which is the C library's.
macro_rules! forward {
    ($($name:ident($($argument:ident: $kind:ty),*) -> $result:ty;)*) => {$(
        pub unsafe fn $name($($argument: $kind),*) -> $result {
            type Function = unsafe extern "C" fn($($kind),*) -> $result;
            static NEXT: OnceLock<Function> = OnceLock::new();
            const NAME: &CStr = match CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a function name contains no NUL"),
            };
            let next = NEXT.get_or_init(|| {
                // SAFETY: the C library defines a function with this name and type.
                unsafe { std::mem::transmute::<*mut c_void, Function>(libc::dlsym(libc::RTLD_NEXT, NAME.as_ptr())) }
            });
            // SAFETY: the caller upholds the contract of the function.
            unsafe { next($($argument),*) }
        }
    )*};
}

forward! {
    accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t;
    send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t;
    writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t;
    poll(fds: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int;
    read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t;
    write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t;
    clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int;
}
