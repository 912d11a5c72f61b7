//! Socket information that Linux keeps about a TCP connection (`TCP_INFO`, `SIOCOUTQ`).

use martenramp::host::Nanos;
use std::mem::{MaybeUninit, size_of};
use std::os::fd::{AsFd, AsRawFd};

const MS: Nanos = 1_000_000;

/// States of a connection in which data may have arrived, as Linux numbers them.
const ESTABLISHED: u8 = 1;
const CLOSE_WAIT: u8 = 8;

/// Returns how long ago data last arrived, or the connection was established if none did, with a
/// precision of some milliseconds. `None` if the system gives no answer or the connection is in
/// another state.
pub fn time_since_last_data(stream: &impl AsFd) -> Option<Nanos> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    let descriptor = stream.as_fd().as_raw_fd();
    // SAFETY: the descriptor is open for as long as `stream` is borrowed. The kernel writes at most
    // `length` bytes to `info`, which is that long, and all of its fields are integers, for which
    // zero is a valid value.
    let info = unsafe {
        let result = libc::getsockopt(
            descriptor,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        );
        (result == 0).then(|| info.assume_init())
    };
    let valid_info = info.filter(|info| matches!(info.tcpi_state, ESTABLISHED | CLOSE_WAIT));
    valid_info.map(|info| Nanos::from(info.tcpi_last_data_recv) * MS)
}

/// Returns how many bytes the system has taken that the peer's system has not acknowledged, if the
/// system can tell.
pub fn unacknowledged_bytes(stream: &impl AsFd) -> Option<usize> {
    let mut bytes: libc::c_int = 0;
    let descriptor = stream.as_fd().as_raw_fd();
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and for a TCP socket the
    // request (SIOCOUTQ, of the same number) writes one integer to `bytes`.
    let result = unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &raw mut bytes) };
    usize::try_from(bytes).ok().filter(|_| result == 0)
}
