//! Stand-ins (substitutes for tests) on loopback for the processes that a gateway talks to, written from the
//! operators' protocol page alone: servers, discovery, the counter, relays that inject faults between any two
//! of them, and (in [`scripted`]) peers that a test scripts message by message. All but the scripted peers
//! run on a [`reactor`], which serves hundreds of servers with one thread and one poll.
//!
//! They bind addresses in 127.0.0.0/8 only. All but the scripted peers use addresses other than 127.0.0.1, so that the
//! system can't assign the port of a listener that is closed for a while to an outgoing connection.
#![deny(missing_docs)]

pub mod counter;
pub mod discovery;
pub mod http;
pub mod process;
pub mod reactor;
pub mod relay;
pub mod scripted;
pub mod servers;

pub use martenramp::host::Nanos;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SEC: Nanos = 1_000 * MS;

/// Converts seconds to whole nanoseconds; the result is clamped to between zero and 10^6 seconds.
pub fn nanos(secs: f64) -> Nanos {
    (secs.clamp(0.0, 1e6) * 1e9) as Nanos
}
