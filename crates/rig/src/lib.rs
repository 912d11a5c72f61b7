//! Test rig that runs many real gateway processes on loopback, between an open-loop load generator and stand-ins for
//! the servers, discovery and the counter, and injects faults at scripted times. A [`scenario::Scenario`] describes a
//! run, [`fleet::run_scenario`] executes it, [`measure`] computes how evenly the load was spread over the servers
//! compared with two reference assignments of the same arrivals, and [`report`] writes tables and charts.
//! `docs/rig.md` documents the scenario format and the figures.
//!
//! All figures are measured in real time. Each run reports how late its own load generator was; the run is void if
//! that lateness exceeds [`load_generator::MAX_LATENESS`].
#![deny(missing_docs)]

pub mod fleet;
pub mod load_generator;
mod loopback;
pub mod measure;
pub mod report;
pub mod rollouts;
pub mod scenario;
pub mod soak;

pub use standins::{MS, Nanos, SEC, nanos};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Consumers of random numbers. Each draws from its own stream of the scenario's seed; the discriminant is the stream's
/// number.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals and customers.
    Arrivals = 1,
    /// Service times.
    Servers = 2,
    /// Packet loss and reordering on links.
    Links = 3,
    /// The gateways and servers that a fault affects.
    Script = 4,
    /// The reference assignment that a run is compared with.
    References = 5,
    /// The gateways' seeds and clock offsets.
    Seeds = 6,
}

/// Returns the random number generator of one stream.
pub fn stream_rng(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream as u64);
    rng
}
