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
    /// Measure how each cost grows with its size and fit an exponent.
    Slopes(slopes::Args),
    /// Simulate a fleet of gateways without sockets.
    Hollow(hollow::Args),
    /// Measure the latency that one gateway adds to requests over loopback.
    Added(added::Args),
    /// Redraw the charts from existing tables.
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
        Err(error) => {
            eprintln!("martenramp-scale: {error}");
            ExitCode::FAILURE
        }
    }
}
