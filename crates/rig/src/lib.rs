//! The rig: many real processes of the program on loopback, between an open-loop front and stand-in servers, discovery
//! and counter, with faults put between them by a script. A [`scenario::Scenario`] says what is played,
//! [`fleet::play`] plays it, [`measure`] works out how evenly the load came to the servers beside two references for
//! the same arrivals, and [`report`] writes tables and charts. `docs/rig.md` documents the format and the figures.
//!
//! Figures of the rig are measured, in real time; a run says how late its own load generator was and is void when
//! that was too late.
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

/// What draws chance, each from its own stream of the scenario's seed.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals and customers.
    Arrivals = 1,
    /// Service times.
    Servers = 2,
    /// Losses and reordering on links.
    Links = 3,
    /// Whom a fault hits.
    Script = 4,
    /// The references that a run is compared with.
    References = 5,
    /// The gateways' seeds and clocks.
    Seeds = 6,
}

/// The stream of one part of the rig.
pub fn stream_rng(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    chance.set_stream(stream as u64);
    chance
}
