//! Deterministic discrete-event emulator of a gateway fleet, with a command line for experiments.
//!
//! The emulator drives the real decision module through its `Host` interface; its results are *emulated* except wall
//! times. A [`scenario::Scenario`] describes the fleet, the load and the faults. [`world::World`] runs it on a
//! single clock in integer nanoseconds with seeded random streams, so the same scenario and seed produce an
//! identical [`record::Record`]. [`report`] turns records into CSV tables and SVG charts, [`sweep`] runs a scenario
//! over several values of a parameter, and [`cli`] implements `martenramp lab`.
//!
//! ```
//! let text = lab::scenario::EXAMPLE;
//! let scenario = lab::scenario::Scenario::from_toml(text).unwrap();
//! let record = lab::world::run_scenario(&scenario, lab::policies::PolicyKind::Design, None);
//! assert!(record.total.arrived > 0);
//! assert_eq!(record.total.arrived, record.total.resolved() + record.total.abandoned + record.total.disconnected);
//! ```
#![deny(missing_docs)]

pub mod cli;
mod clients;
pub mod counter;
pub mod lifecycle;
mod network;
pub mod policies;
pub mod queue;
pub mod record;
pub mod report;
pub mod rng;
pub mod scenario;
pub mod servers;
pub mod sweep;
pub mod world;

/// A point in time or a duration, in nanoseconds.
pub use martenramp::host::Nanos;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const SEC: Nanos = 1_000 * MS;

/// Converts seconds to nanoseconds; negative and non-finite values become 0.
pub fn nanos(seconds: f64) -> Nanos {
    if seconds.is_finite() && seconds > 0.0 { (seconds * SEC as f64).round() as Nanos } else { 0 }
}
