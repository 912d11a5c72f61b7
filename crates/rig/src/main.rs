//! Command line of the rig: runs scenarios, soak tests and rollouts, and checks scenario files.

use lexopt::prelude::*;
use rig::fleet::run_scenario;
use rig::report::Figures;
use rig::rollouts::FleetConfig;
use rig::scenario::{Scenario, SystemCallFaults};
use rig::soak;
use rig::soak::draw::{FaultKind, Size};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
martenramp-rig: runs many real martenramp processes on loopback and injects faults between them

usage: martenramp-rig run SCENARIO.toml [--program FILE] [--out DIR] [--set FIELD=VALUE]... [--logs]
       martenramp-rig soak [--set FIELD=VALUE]... [--without KIND]... [--program FILE]
                             [--faults LIBRARY] [--leave-one-out]
       martenramp-rig check SCENARIO.toml [--set FIELD=VALUE]...

FILE is the program under test, by default the `martenramp` in this program's directory. DIR receives the tables and
charts and defaults to rig-out. --set overrides a field of the scenario (gateways=100, load.rate=5.0). --logs writes the
gateways' log lines to DIR, too. `soak` runs one fleet per seed under random overlapping faults (fields: first, seeds,
gateways, servers, seconds, faults) and fails if an invariant is broken. --without leaves out a kind of fault. --faults
makes one in a hundred system calls of the gateways fail by means of `crates/faults`. --leave-one-out runs a seed that
broke an invariant again without each kind of fault in turn, and prints how many violations remain.
`docs/rig.md` documents scenarios and figures.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("martenramp-rig: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Share of system calls that fail in a soak with `--faults`.
const SYSTEM_CALL_FAULT_RATE: f64 = 0.01;

/// The parsed command line.
#[derive(Default)]
struct Options {
    command: Option<String>,
    scenario: Option<PathBuf>,
    program: Option<PathBuf>,
    out: Option<PathBuf>,
    set: Vec<String>,
    logs: bool,
    without: Vec<String>,
    faults: Option<PathBuf>,
    leave_one_out: bool,
}

impl Options {
    fn parse() -> Result<Options, String> {
        let to_text = |e: lexopt::Error| e.to_string();
        let mut args = lexopt::Parser::from_env();
        let mut options = Options::default();
        while let Some(arg) = args.next().map_err(to_text)? {
            match arg {
                Short('h') | Long("help") => options.command = Some("help".to_string()),
                Long("program") => options.program = Some(PathBuf::from(args.value().map_err(to_text)?)),
                Long("out") => options.out = Some(args.value().map_err(to_text)?.into()),
                Long("set") => {
                    options.set.push(args.value().map_err(to_text)?.to_string_lossy().into_owned());
                }
                Long("logs") => options.logs = true,
                Long("leave-one-out") => options.leave_one_out = true,
                Long("faults") => options.faults = Some(args.value().map_err(to_text)?.into()),
                Long("without") => {
                    options.without.push(args.value().map_err(to_text)?.to_string_lossy().into_owned());
                }
                Value(argument) if options.command.is_none() => {
                    options.command = Some(argument.to_string_lossy().into_owned());
                }
                Value(argument) if options.scenario.is_none() => {
                    options.scenario = Some(PathBuf::from(argument))
                }
                arg => return Err(arg.unexpected().to_string()),
            }
        }
        Ok(options)
    }

    fn scenario(&self) -> Result<Scenario, String> {
        Scenario::load(self.scenario.as_ref().ok_or("no scenario given")?, &self.set)
    }

    /// Returns the program under test: the one given by `--program`, or `martenramp` in this program's directory.
    fn program(&self) -> Result<PathBuf, String> {
        let sibling = || Some(std::env::current_exe().ok()?.parent()?.join("martenramp"));
        Ok(self.program.clone().or_else(sibling).ok_or("no program given")?)
    }
}

fn run() -> Result<(), String> {
    let options = Options::parse()?;
    match options.command.as_deref() {
        Some("run") => run_command(&options),
        Some("rollouts") => rollouts_command(&options),
        Some("soak") => soak_command(&options),
        Some("check") => {
            let scenario = options.scenario()?;
            println!("{}: {} gateways, {} faults", scenario.name, scenario.gateways, scenario.faults.len());
            Ok(())
        }
        Some("help") | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("unknown command '{other}'; try --help")),
    }
}

/// Runs a scenario, writes its tables and charts and prints its figures.
fn run_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let scenario = options.scenario()?;
    let out = options.out.clone().unwrap_or_else(|| PathBuf::from("rig-out"));
    let result = run_scenario(&scenario, &program)?;
    let figures = Figures::compute(&scenario, &result);
    figures.write(&out)?;
    if options.logs {
        for (gateway, lines) in result.log_lines.iter().enumerate() {
            let file = out.join(format!("n{gateway}.log"));
            std::fs::write(&file, lines.join("\n")).map_err(|e| format!("{}: {e}", file.display()))?;
        }
    }
    print!("{}", figures.summary_text());
    println!(
        "{} RPCs resent because their connection was closed while the request was in flight",
        result.resent_rpcs
    );
    result.crashed.iter().for_each(|crashed| println!("{crashed}"));
    println!("wrote {}", out.display());
    if figures.run.void {
        Err("the load generator was too late: the run is void".to_string())
    } else {
        Ok(())
    }
}

/// Runs a fleet per seed under random overlapping faults, and prints the violations and the counts of events.
fn soak_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let mut size = Size { gateways: 24, servers: 24, seconds: 25.0, faults: 12 };
    let (mut first, mut seeds) = (1_u64, 10_u64);
    for assignment in &options.set {
        let (name, value) = parse_assignment(assignment)?;
        match name {
            "first" => first = value as u64,
            "seeds" => seeds = value as u64,
            "gateways" => size.gateways = value as usize,
            "servers" => size.servers = value as usize,
            "seconds" => size.seconds = value,
            "faults" => size.faults = value as usize,
            _ => return Err(format!("--set {assignment}: unknown field")),
        }
    }
    let without: Vec<FaultKind> =
        options.without.iter().map(|name| FaultKind::parse(name)).collect::<Result<_, String>>()?;
    let faults = options.faults.clone();
    let system_calls = faults.map(|library| SystemCallFaults { library, rate: SYSTEM_CALL_FAULT_RATE });
    let (mut event_counts, mut violations) = (BTreeMap::<String, usize>::new(), 0);
    let (mut sent, mut served, mut checked) = (0, 0, 0);
    for seed in first..first + seeds {
        let run = soak::run(seed, size, &without, system_calls.clone(), &program)?;
        print!("{}", run.summary());
        run.event_counts
            .iter()
            .for_each(|(step, count)| *event_counts.entry(step.clone()).or_default() += count);
        violations += run.violations.len();
        if options.leave_one_out && !run.violations.is_empty() {
            for kind in FaultKind::ALL.into_iter().filter(|kind| !without.contains(kind)) {
                let excluded: Vec<FaultKind> = without.iter().copied().chain([kind]).collect();
                let rerun = soak::run(seed, size, &excluded, system_calls.clone(), &program)?;
                if rerun.scenario.faults.len() < run.scenario.faults.len() {
                    println!("  without {kind:?}: {} violations", rerun.violations.len());
                }
            }
        }
        sent += run.sent;
        served += run.served;
        checked += run.counts.checked;
    }
    println!(
        "{seeds} seeds, {sent} RPCs, {served} served, {checked} own checks, {violations} violations; events:"
    );
    event_counts.iter().for_each(|(step, count)| println!("  {step}: {count}"));
    if violations > 0 { Err(format!("{violations} violations")) } else { Ok(()) }
}

/// Splits an assignment into the field's name and its number.
fn parse_assignment(assignment: &str) -> Result<(&str, f64), String> {
    let invalid = || format!("--set {assignment}: expected FIELD=NUMBER");
    let (name, value) = assignment.split_once('=').ok_or_else(invalid)?;
    Ok((name, value.parse().map_err(|_| invalid())?))
}

/// Runs rollouts of versioned settings and prints their figures.
fn rollouts_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let mut config = FleetConfig { gateways: 20, lease: 1.0, clock: 0.25, seed: 1, skew_ms: 0 };
    let mut count = 40;
    for assignment in &options.set {
        let (name, value) = parse_assignment(assignment)?;
        match name {
            "gateways" => config.gateways = value as usize,
            "count" => count = value as usize,
            "lease" => config.lease = value,
            "clock" => config.clock = value,
            "seed" => config.seed = value as u64,
            "skew_ms" => config.skew_ms = value as u64,
            _ => return Err(format!("--set {assignment}: unknown field")),
        }
    }
    print!("{}", rig::rollouts::run(&config, count, &program)?);
    Ok(())
}
