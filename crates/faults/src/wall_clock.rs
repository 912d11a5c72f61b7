//! Steps the wall clock of a process: `MARTENRAMP_WALL` names a file with the number of milliseconds by which the real-time
//! clock is ahead. The file is read again at each call. The monotonic clock is not changed.

use libc::{c_int, clockid_t, timespec};
use std::path::PathBuf;
use std::sync::OnceLock;

const MS_PER_SECOND: i64 = 1000;
const NS_PER_MS: i64 = 1_000_000;

/// How far the real-time clock is ahead; 0 without the variable or with an unreadable file.
fn ahead_ms() -> i64 {
    static FILE: OnceLock<Option<PathBuf>> = OnceLock::new();
    let file = FILE.get_or_init(|| std::env::var_os("MARTENRAMP_WALL").map(PathBuf::from));
    let text = file.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// The C library's `clock_gettime`, with the real-time clock shifted.
///
/// # Safety
/// `time` points to a `timespec` that may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real =
        crate::calls::real!("clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the caller's arguments are passed on.
    let result = unsafe { real(clock, time) };
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    // SAFETY: the caller's pointer is valid, and the C library has filled in what it points to.
    let time = unsafe { &mut *time };
    let ns = time.tv_nsec + (ahead_ms() % MS_PER_SECOND) * NS_PER_MS;
    time.tv_sec += ahead_ms() / MS_PER_SECOND + ns.div_euclid(MS_PER_SECOND * NS_PER_MS);
    time.tv_nsec = ns.rem_euclid(MS_PER_SECOND * NS_PER_MS);
    result
}
