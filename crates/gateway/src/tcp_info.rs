//! What the system knows of a TCP connection beyond what it carries.

use martenramp::host::Nanos;
use std::mem::{MaybeUninit, size_of};
use std::os::fd::{AsFd, AsRawFd};

const MS: Nanos = 1_000_000;

/// States of a connection on which data may have come in, as Linux numbers them.
const ESTABLISHED: u8 = 1;
const CLOSE_WAIT: u8 = 8;

/// How long ago data came in last, or the connection came up if none did; to some milliseconds. Nothing where the system
/// does not tell, or knows no such connection.
pub fn time_since_last_data(stream: &impl AsFd) -> Option<Nanos> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    let descriptor = stream.as_fd().as_raw_fd();
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and the system writes at most `length` bytes to
    // `info`, which is as long; all of its fields are integers, so that zeroes are a value of each.
    let info = unsafe {
        let got = libc::getsockopt(
            descriptor,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        );
        (got == 0).then(|| info.assume_init())
    };
    let told = info.filter(|info| matches!(info.tcpi_state, ESTABLISHED | CLOSE_WAIT));
    told.map(|info| Nanos::from(info.tcpi_last_data_recv) * MS)
}
