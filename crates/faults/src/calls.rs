//! Wrappers around C library calls that inject faults. Each exports the name and signature of the original and forwards to
//! it, unless this call is drawn to fail.

use crate::random::{choose, draw, draw_wakeup};
use crate::report::count;
use libc::{c_char, c_int, c_void, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Descriptors below this limit are tracked: whether each is a connection that the process opened itself, by `connect`.
const TRACKED_DESCRIPTORS: usize = 65_536;
static OUTGOING: [AtomicU64; TRACKED_DESCRIPTORS / 64] =
    [const { AtomicU64::new(0) }; TRACKED_DESCRIPTORS / 64];
/// The share of faults on an outgoing connection that break it for good, in percent.
const BREAK_PERCENT: u64 = 20;

fn set_outgoing(fd: c_int, outgoing: bool) {
    let Some(word) = OUTGOING.get(fd as usize / 64) else { return };
    let bit = 1 << (fd as usize % 64);
    if outgoing {
        word.fetch_or(bit, Ordering::Relaxed);
    } else {
        word.fetch_and(!bit, Ordering::Relaxed);
    }
}

fn is_outgoing(fd: c_int) -> bool {
    let word = OUTGOING.get(fd as usize / 64);
    word.is_some_and(|word| word.load(Ordering::Relaxed) & (1 << (fd as usize % 64)) != 0)
}

fn fail(call: &str, error: c_int) {
    count(call, errno_name(error));
    // SAFETY: `errno` is thread-local, and its address is valid for as long as the thread runs.
    unsafe { *libc::__errno_location() = error };
}

fn errno_name(error: c_int) -> &'static str {
    match error {
        libc::EINTR => "EINTR",
        libc::EAGAIN => "EAGAIN",
        libc::ECONNABORTED => "ECONNABORTED",
        libc::ENFILE => "ENFILE",
        libc::EMFILE => "EMFILE",
        libc::ENOBUFS => "ENOBUFS",
        libc::ENOMEM => "ENOMEM",
        libc::EPROTO => "EPROTO",
        libc::EPERM => "EPERM",
        libc::ENETDOWN => "ENETDOWN",
        libc::EADDRNOTAVAIL => "EADDRNOTAVAIL",
        libc::ENETUNREACH => "ENETUNREACH",
        libc::EHOSTUNREACH => "EHOSTUNREACH",
        libc::ETIMEDOUT => "ETIMEDOUT",
        libc::ECONNRESET => "ECONNRESET",
        libc::EPIPE => "EPIPE",
        libc::EIO => "EIO",
        libc::ENOSPC => "ENOSPC",
        _ => "other",
    }
}

/// Returns the C library's own function of this name. The address is looked up once for each place of use.
macro_rules! real {
    ($name:literal as $signature:ty) => {{
        static FOUND: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let found = *FOUND.get_or_init(|| {
            // SAFETY: the name is NUL-terminated, and the C library, loaded after this one, defines the function.
            unsafe {
                libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<libc::c_char>()) as usize
            }
        });
        // SAFETY: the C library's function has this signature, and `found` is its address.
        unsafe { std::mem::transmute::<usize, $signature>(found) }
    }};
}

pub(crate) use real;

/// The fault injected into a `recv` or `send`: an error, or a length to cut the transfer to.
enum TransferFault {
    Fail(c_int),
    Short(size_t),
}

/// Draws the fault of one `recv` or `send`, or none. An outgoing connection may be broken with one of `break_errors`; any
/// other call is interrupted or shortened.
fn draw_transfer_fault(
    call: &str,
    fd: c_int,
    length: size_t,
    break_errors: &[c_int],
) -> Option<TransferFault> {
    let draw = draw()?;
    if is_outgoing(fd) && draw % 100 < BREAK_PERCENT {
        // SAFETY: shutting down a descriptor touches no memory. The peer sees the connection end.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        return Some(TransferFault::Fail(choose(draw / 100, break_errors)));
    }
    if draw % 2 == 0 || length < 2 {
        return Some(TransferFault::Fail(libc::EINTR));
    }
    count(call, "short");
    Some(TransferFault::Short(1 + (draw / 100) as usize % (length - 1)))
}

/// # Safety
/// As for the C library's `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    let length = match draw_transfer_fault("recv", fd, length, &errors) {
        Some(TransferFault::Fail(error)) => {
            fail("recv", error);
            return -1;
        }
        Some(TransferFault::Short(length)) => length,
        None => length,
    };
    // SAFETY: the caller's buffer holds at least `length` bytes.
    unsafe { real(fd, to, length, flags) }
}

/// # Safety
/// As for the C library's `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // A signal handler wakes the event loop by a non-blocking send of one byte.
    if length == 1 && flags & libc::MSG_DONTWAIT != 0 {
        if draw_wakeup().is_some() {
            fail("send", libc::ENOBUFS);
            return -1;
        }
        // SAFETY: the caller's buffer holds one byte.
        return unsafe { real(fd, from, length, flags) };
    }
    let errors = [libc::EPIPE, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    let length = match draw_transfer_fault("send", fd, length, &errors) {
        Some(TransferFault::Fail(error)) => {
            fail("send", error);
            return -1;
        }
        Some(TransferFault::Short(length)) => length,
        None => length,
    };
    // SAFETY: the caller's buffer holds at least `length` bytes.
    unsafe { real(fd, from, length, flags) }
}

/// # Safety
/// As for the C library's `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let real = real!("accept4" as Signature);
    let errors = [
        libc::ECONNABORTED,
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::EINTR,
    ];
    if let Some(draw) = draw() {
        fail("accept4", choose(draw, &errors));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    let accepted = unsafe { real(fd, address, length, flags) };
    if accepted >= 0 {
        set_outgoing(accepted, false);
    }
    accepted
}

/// # Safety
/// As for the C library's `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // The first socket is the listener, without which the process is right to exit.
    static CALLED_BEFORE: AtomicBool = AtomicBool::new(false);
    let is_later_call = CALLED_BEFORE.swap(true, Ordering::Relaxed);
    if let Some(draw) = draw().filter(|_| is_later_call) {
        fail("socket", choose(draw, &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]));
        return -1;
    }
    // SAFETY: no memory is involved.
    unsafe { real(domain, kind, protocol) }
}

/// # Safety
/// As for the C library's `connect`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    set_outgoing(fd, true);
    let errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
        libc::EAGAIN,
        libc::EINTR,
    ];
    if let Some(draw) = draw() {
        fail("connect", choose(draw, &errors));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, address, length) }
}

/// # Safety
/// As for the C library's `epoll_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    let real = real!("epoll_wait" as unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    if draw().is_some() {
        fail("epoll_wait", libc::EINTR);
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, events, max_events, timeout_ms) }
}

/// # Safety
/// As for the C library's `setsockopt`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    option: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
    let real = real!("setsockopt" as Signature);
    // Only `TCP_NODELAY` fails: the options set before the process listens belong to the listener.
    if let Some(draw) = draw().filter(|_| option == libc::TCP_NODELAY && level == libc::IPPROTO_TCP) {
        fail("setsockopt", choose(draw, &[libc::ENOBUFS, libc::ENOMEM]));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, level, option, value, length) }
}

/// # Safety
/// As for the C library's `open64`. The mode is always passed on; the C library reads it only if `flags` asks for it.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let real = real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int);
    // The first read of the configuration never fails: without it the process is right to exit.
    static READ: AtomicBool = AtomicBool::new(false);
    // SAFETY: the caller's path is a C string.
    let is_configuration = unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes().ends_with(b".json");
    if is_configuration
        && READ.swap(true, Ordering::Relaxed)
        && let Some(draw) = draw()
    {
        fail("open", choose(draw, &[libc::EMFILE, libc::ENFILE, libc::EIO, libc::ENOMEM]));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(path, flags, mode) }
}
