//! Chance for the lab: one seeded ChaCha stream for each model, so that adding draws to one model moves no other.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The models that draw, each from its own stream of the scenario's seed.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals and clients.
    Arrivals = 1,
    /// Service times and errors.
    Servers = 3,
    /// Delays and losses.
    Network = 4,
    /// Whom a trouble hits.
    Faults = 5,
}

/// The stream of one model: the same seed and model give the same draws on every platform.
pub fn stream(seed: u64, model: Stream) -> ChaCha8Rng {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    chance.set_stream(model as u64);
    chance
}

/// A seed for one incarnation of one gateway's module, drawn from the scenario's seed alone.
pub fn gateway_seed(seed: u64, gateway: u32, incarnation: u32) -> u64 {
    let mixed =
        seed ^ (u64::from(gateway) << 32 | u64::from(incarnation)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
