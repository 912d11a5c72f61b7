//! Added time: open-loop load through one gateway over loopback, against the same load sent straight to the servers.

use crate::ScaleError;
use std::path::PathBuf;

/// Arguments of `martenramp-scale added`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The gateway's program.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Where tables and charts go.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
}

/// Measures the time that a gateway adds.
pub fn run(_args: Args) -> Result<(), ScaleError> {
    Err(ScaleError::NotBuilt { command: "added" })
}
