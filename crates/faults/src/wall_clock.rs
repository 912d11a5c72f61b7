//! A wall clock that is stepped: `MARTENRAMP_WALL` names a file that holds by how many milliseconds the process's real-time
//! clock is ahead, read anew at each look at it. The monotonic clock goes on as it does.

use libc::{c_int, clockid_t, timespec};
use std::path::PathBuf;
use std::sync::OnceLock;

const MS_A_SECOND: i64 = 1000;
const NS_A_MS: i64 = 1_000_000;

fn ahead_ms() -> i64 {
    static FILE: OnceLock<Option<PathBuf>> = OnceLock::new();
    let file = FILE.get_or_init(|| std::env::var_os("MARTENRAMP_WALL").map(PathBuf::from));
    let text = file.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// As the C library's.
///
/// # Safety
/// `time` points to a `timespec`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real =
        crate::calls::real!("clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the caller's.
    let got = unsafe { real(clock, time) };
    if got != 0 || clock != libc::CLOCK_REALTIME {
        return got;
    }
    // SAFETY: the caller's, and the C library has filled it in.
    let time = unsafe { &mut *time };
    let ns = time.tv_nsec + (ahead_ms() % MS_A_SECOND) * NS_A_MS;
    time.tv_sec += ahead_ms() / MS_A_SECOND + ns.div_euclid(MS_A_SECOND * NS_A_MS);
    time.tv_nsec = ns.rem_euclid(MS_A_SECOND * NS_A_MS);
    got
}
