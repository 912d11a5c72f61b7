//! Slopes: each cost of a gateway against its own size, with the others held.

use crate::ScaleError;
use std::path::PathBuf;

/// Arguments of `martenramp-scale slopes`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Sizes and bounds (TOML); what it leaves out takes its default.
    #[arg(long)]
    pub scenario: Option<PathBuf>,
    /// Where tables and charts go.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
}

/// Measures the slopes.
pub fn run(_args: Args) -> Result<(), ScaleError> {
    Err(ScaleError::NotBuilt { command: "slopes" })
}
