//! Stand-ins on loopback for whoever a gateway speaks with, written from the operators' protocol page alone: servers,
//! discovery, the counter, links with faults between any two of them, and (in [`scripted`]) peers that a single test
//! scripts message by message. The large ones share one [`reactor`]: one thread and one poll for hundreds of servers.
//!
//! Everything binds 127.0.0.0/8 and nothing else. All but the scripted peers sit at addresses other than 127.0.0.1,
//! so that no outgoing connection can be given a port that a stand-in closed and wants back.
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

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SEC: Nanos = 1_000 * MS;

/// A span given in seconds, in whole nanoseconds; what is below nought is nought.
pub fn nanos(secs: f64) -> Nanos {
    (secs.clamp(0.0, 1e6) * 1e9) as Nanos
}
