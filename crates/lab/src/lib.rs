//! martenramp's lab: a deterministic discrete-event emulator of what the gateway serves, driving the real decision
//! module through its `Host` interface, with a load and experiment tool on top. Figures from it are *emulated*.
//!
//! A [`scenario::Scenario`] describes the fleet, the load and the troubles; [`world::World`] plays it on one clock
//! in whole nanoseconds with chance from seeded streams, so that the same scenario and seed give the same
//! [`record::Record`] bit for bit. [`report`] turns records into CSV tables and SVG charts, [`sweep`] plays a
//! scenario over a range of one parameter, and [`cli`] is `martenramp lab`.
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

/// A time or a span in whole nanoseconds, as everywhere in martenramp.
pub use martenramp::host::Nanos;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SEC: Nanos = 1_000 * MS;

/// Seconds as given in scenarios, to nanoseconds; negative and non-finite values are nought.
pub fn nanos(seconds: f64) -> Nanos {
    if seconds.is_finite() && seconds > 0.0 { (seconds * SEC as f64).round() as Nanos } else { 0 }
}
