//! The calls that fail. Each has the name and form of the C library's, and goes on to that one unless it is drawn to fail.

use crate::random::{draw, draw_wake, one_of};
use crate::report::count;
use libc::{c_char, c_int, c_void, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Descriptors up to this are remembered as connections that the process made itself.
const DESCRIPTORS: usize = 65_536;
static CONNECTED: [AtomicU64; DESCRIPTORS / 64] = [const { AtomicU64::new(0) }; DESCRIPTORS / 64];
/// Of a hundred faults on a connection that the process made, so many break it.
const BREAKS: u64 = 20;

fn set_connected(fd: c_int, connected: bool) {
    let Some(word) = CONNECTED.get(fd as usize / 64) else { return };
    let bit = 1 << (fd as usize % 64);
    if connected {
        word.fetch_or(bit, Ordering::Relaxed);
    } else {
        word.fetch_and(!bit, Ordering::Relaxed);
    }
}

fn is_connected(fd: c_int) -> bool {
    let word = CONNECTED.get(fd as usize / 64);
    word.is_some_and(|word| word.load(Ordering::Relaxed) & (1 << (fd as usize % 64)) != 0)
}

fn fail(call: &str, error: c_int) {
    count(call, name(error));
    // SAFETY: `errno` is the calling thread's own.
    unsafe { *libc::__errno_location() = error };
}

fn name(error: c_int) -> &'static str {
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

/// The C library's own function of this name.
macro_rules! real {
    ($name:literal as $form:ty) => {{
        static FOUND: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let found = *FOUND.get_or_init(|| {
            // SAFETY: the name is a C string; the C library, loaded after this one, has the function.
            unsafe {
                libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<libc::c_char>()) as usize
            }
        });
        // SAFETY: the C library's function has this form.
        unsafe { std::mem::transmute::<usize, $form>(found) }
    }};
}

pub(crate) use real;

/// What becomes of a transfer that is drawn to fail: an error, or so many bytes at most.
enum Transfer {
    Fails(c_int),
    Short(size_t),
}

fn transfer(call: &str, fd: c_int, length: size_t, breaks: &[c_int]) -> Option<Transfer> {
    let draw = draw()?;
    if is_connected(fd) && draw % 100 < BREAKS {
        // SAFETY: shutting down a descriptor touches no memory; the other side sees the connection end.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        return Some(Transfer::Fails(one_of(draw / 100, breaks)));
    }
    if draw % 2 == 0 || length < 2 {
        return Some(Transfer::Fails(libc::EINTR));
    }
    count(call, "short");
    Some(Transfer::Short(1 + (draw / 100) as usize % (length - 1)))
}

/// # Safety
/// As for the C library's `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    let errors = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    let length = match transfer("recv", fd, length, &errors) {
        Some(Transfer::Fails(error)) => {
            fail("recv", error);
            return -1;
        }
        Some(Transfer::Short(length)) => length,
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
    // A signal handler wakes its process by one byte that is not waited for.
    if length == 1 && flags & libc::MSG_DONTWAIT != 0 {
        if draw_wake().is_some() {
            fail("send", libc::ENOBUFS);
            return -1;
        }
        // SAFETY: the caller's buffer holds a byte.
        return unsafe { real(fd, from, length, flags) };
    }
    let errors = [libc::EPIPE, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    let length = match transfer("send", fd, length, &errors) {
        Some(Transfer::Fails(error)) => {
            fail("send", error);
            return -1;
        }
        Some(Transfer::Short(length)) => length,
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
    type Form = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let real = real!("accept4" as Form);
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
        fail("accept4", one_of(draw, &errors));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    let accepted = unsafe { real(fd, address, length, flags) };
    if accepted >= 0 {
        set_connected(accepted, false);
    }
    accepted
}

/// # Safety
/// As for the C library's `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // The first one is the listener: without it the process rightly ends.
    static LATER: AtomicBool = AtomicBool::new(false);
    let is_later = LATER.swap(true, Ordering::Relaxed);
    if let Some(draw) = draw().filter(|_| is_later) {
        fail("socket", one_of(draw, &[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]));
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
    set_connected(fd, true);
    let errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
        libc::EAGAIN,
        libc::EINTR,
    ];
    if let Some(draw) = draw() {
        fail("connect", one_of(draw, &errors));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, address, length) }
}

/// # Safety
/// As for the C library's `epoll_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, wait: c_int) -> c_int {
    let real = real!("epoll_wait" as unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    if draw().is_some() {
        fail("epoll_wait", libc::EINTR);
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, events, most, wait) }
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
    type Form = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
    let real = real!("setsockopt" as Form);
    // What is set before the process listens is the listener's.
    if let Some(draw) = draw().filter(|_| option == libc::TCP_NODELAY && level == libc::IPPROTO_TCP) {
        fail("setsockopt", one_of(draw, &[libc::ENOBUFS, libc::ENOMEM]));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(fd, level, option, value, length) }
}

/// # Safety
/// As for the C library's `open64`; the mode is passed on whether or not it is looked at.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let real = real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int);
    // The first time it is read the configuration has to be there: without it the process rightly ends.
    static READ: AtomicBool = AtomicBool::new(false);
    // SAFETY: the caller's path is a C string.
    let is_configuration = unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes().ends_with(b".json");
    if is_configuration
        && READ.swap(true, Ordering::Relaxed)
        && let Some(draw) = draw()
    {
        fail("open", one_of(draw, &[libc::EMFILE, libc::ENFILE, libc::EIO, libc::ENOMEM]));
        return -1;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { real(path, flags, mode) }
}
