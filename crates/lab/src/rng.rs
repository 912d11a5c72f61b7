//! Seeded random number generators for the lab: one ChaCha stream for each model, so that an additional draw in one
//! model doesn't change the draws of another.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The models that draw random numbers, each from its own stream of the scenario's seed.
#[derive(Clone, Copy, Debug)]
pub enum Stream {
    /// Arrivals and clients.
    Arrivals = 1,
    /// Service times and errors.
    Servers = 3,
    /// Delays and losses.
    Network = 4,
    /// The gateways and servers that a fault affects.
    Faults = 5,
}

/// The generator of one model. The same seed and model give the same draws on every platform.
pub fn stream(seed: u64, model: Stream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(model as u64);
    rng
}

/// The seed of the admission controller of one incarnation of a gateway. It depends on the scenario's seed, the
/// gateway and the incarnation only.
pub fn gateway_seed(seed: u64, gateway: u32, incarnation: u32) -> u64 {
    let mixed =
        seed ^ (u64::from(gateway) << 32 | u64::from(incarnation)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
