//! The command line: `martenramp-scale slopes|hollow|added|report`.

use clap::{Parser, Subcommand};
use scale::{ScaleError, added, alloc, hollow, report, slopes};
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: alloc::CountingAllocator = alloc::CountingAllocator;

/// Scale tests of martenramp. `docs/scale.md` documents scenarios and figures.
#[derive(Parser)]
#[command(name = "martenramp-scale", version, about)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure each cost against its own size and fit how it grows.
    Slopes(slopes::Args),
    /// Play a fleet of gateways without sockets.
    Hollow(hollow::Args),
    /// Measure the time that one gateway adds to requests over loopback.
    Added(added::Args),
    /// Draw the charts of kept tables again.
    Report(report::Args),
}

fn run(command: Command) -> Result<(), ScaleError> {
    match command {
        Command::Slopes(args) => slopes::run(args),
        Command::Hollow(args) => hollow::run(args),
        Command::Added(args) => added::run(args),
        Command::Report(args) => report::run(args),
    }
}

fn main() -> ExitCode {
    match run(CommandLine::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("martenramp-scale: {why}");
            ExitCode::FAILURE
        }
    }
}
