//! Hollow gateways: the program's own state machines without sockets, many in a process, with every message encoded and
//! counted.

use crate::ScaleError;
use std::path::PathBuf;

/// Arguments of `martenramp-scale hollow`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The scenario to play (TOML).
    pub scenario: PathBuf,
    /// Where tables and charts go.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
}

/// Plays a hollow fleet.
pub fn run(_args: Args) -> Result<(), ScaleError> {
    Err(ScaleError::NotBuilt { command: "hollow" })
}
