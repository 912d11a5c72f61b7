//! Emulates a fleet of hollow gateways: many gateways without sockets, in one process and on one
//! emulated clock.
//!
//! A hollow gateway runs the product's own state machines: the admission controller with quotas and
//! the gateway's subset of the servers, the list watch, the connections to the counter, and the
//! agreement on settings. Every control message is encoded and counted.
//!
//! [`scenario`] reads the scenario, [`fleet`] runs it, and [`tables`] writes the results. The same
//! scenario and seed give the same tables byte for byte, except for `processor.csv`, which holds
//! the processor time and memory that the run took on this machine. All other figures come from the
//! emulated clock. `docs/scale-hollow.md` explains each of them.

mod discovery;
mod fleet;
mod gateway;
mod rpcs;
pub mod scenario;
mod settings_agreement;
mod stats;
mod steps;
mod tables;
mod traffic;

use crate::ScaleError;
use std::path::PathBuf;
use std::time::Instant;

pub use lab::{Nanos, SEC, nanos};
pub use scenario::Scenario;
pub use tables::Tables;

/// Arguments of `martenramp-scale hollow`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The scenario file (TOML).
    pub scenario: PathBuf,
    /// Directory for the tables, which are written to a subdirectory named after the scenario.
    #[arg(long, default_value = "docs/scale-results/hollow")]
    pub out: PathBuf,
    /// Overrides the scenario's seed.
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Runs a scenario, writes its tables and prints a summary.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let mut scenario = Scenario::read(&args.scenario)?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let started = Instant::now();
    let tables = simulate(&scenario);
    tables.write(&args.out.join(&scenario.name))?;
    print!("{}", tables.summary());
    println!("finished in {:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// Runs a validated scenario and returns its tables.
pub fn simulate(scenario: &Scenario) -> Tables {
    let mut fleet = fleet::Fleet::new(scenario);
    fleet.run();
    Tables::from_fleet(&fleet)
}
