//! Hollow gateways: the program's own state machines (the decision module with quotas and its part of the servers, the list
//! watch, the lines to the counter, the agreement on settings) without sockets, many in a process, on one emulated clock,
//! with every message for control encoded and counted.
//!
//! [`scenario`] says what is played, [`fleet`] plays it, [`tables`] writes what was found. The same scenario and seed give
//! the same tables byte for byte, but for `processor.csv`, which holds what the run took of this machine. Figures are
//! emulated. `docs/scale-hollow.md` says what each of them means.

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
    /// The scenario to play (TOML).
    pub scenario: PathBuf,
    /// Where tables go; the scenario's name is added.
    #[arg(long, default_value = "docs/scale-results/hollow")]
    pub out: PathBuf,
    /// Another seed than the scenario's.
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Plays a hollow fleet, writes its tables and prints its figures.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let mut scenario = Scenario::read(&args.scenario)?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let begun = Instant::now();
    let tables = play(&scenario);
    tables.write(&args.out.join(&scenario.name))?;
    print!("{}", tables.summary());
    println!("played in {:.0} s", begun.elapsed().as_secs_f64());
    Ok(())
}

/// Plays a checked scenario.
pub fn play(scenario: &Scenario) -> Tables {
    let mut fleet = fleet::Fleet::new(scenario);
    fleet.run();
    Tables::from_fleet(&fleet)
}
