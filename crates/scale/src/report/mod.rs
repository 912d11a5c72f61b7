//! Tables and charts of what was measured.

use crate::ScaleError;
use std::path::PathBuf;

/// Arguments of `martenramp-scale report`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The folder whose tables are drawn again.
    #[arg(default_value = "docs/scale-results")]
    pub folder: PathBuf,
}

/// Draws the charts of kept tables again.
pub fn run(_args: Args) -> Result<(), ScaleError> {
    Err(ScaleError::NotBuilt { command: "report" })
}
