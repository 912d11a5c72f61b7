//! The command line: `martenramp-rig run SCENARIO.toml`, `martenramp-rig check SCENARIO.toml`.

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
martenramp-rig: many real martenramp processes on loopback, with faults between them

usage: martenramp-rig run SCENARIO.toml [--program FILE] [--out DIR] [--set FIELD=VALUE]... [--logs]
       martenramp-rig soak [--set FIELD=VALUE]... [--without KIND]... [--program FILE]
                             [--faults LIBRARY] [--leave-one-out]
       martenramp-rig check SCENARIO.toml [--set FIELD=VALUE]...

FILE is the program played, the `martenramp` beside this one unless given. DIR gets the tables and charts, rig-out
unless given. `soak` plays random overlapping faults, one fleet a seed (fields: first, seeds, gateways, servers, seconds,
faults), and fails if an invariant is broken; --without leaves a kind of fault out, --faults
lets one system call in a hundred of the gateways fail by `crates/faults`; --leave-one-out plays a seed that broke something
once more without each kind of fault that it has, and says without which nothing broke. --set lays a field over the scenario's (gateways=100, load.rate=5.0); --logs keeps the gateways' log
lines there, too. `docs/rig.md` documents scenarios and figures.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("martenramp-rig: {why}");
            ExitCode::FAILURE
        }
    }
}

/// The share of system calls that fail in a soak with `--faults`.
const SYSTEM_CALLS_FAIL: f64 = 0.01;

/// The command line, as parsed.
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
        let text = |e: lexopt::Error| e.to_string();
        let mut args = lexopt::Parser::from_env();
        let mut options = Options::default();
        while let Some(arg) = args.next().map_err(text)? {
            match arg {
                Short('h') | Long("help") => options.command = Some("help".to_string()),
                Long("program") => options.program = Some(PathBuf::from(args.value().map_err(text)?)),
                Long("out") => options.out = Some(args.value().map_err(text)?.into()),
                Long("set") => {
                    options.set.push(args.value().map_err(text)?.to_string_lossy().into_owned());
                }
                Long("logs") => options.logs = true,
                Long("leave-one-out") => options.leave_one_out = true,
                Long("faults") => options.faults = Some(args.value().map_err(text)?.into()),
                Long("without") => {
                    options.without.push(args.value().map_err(text)?.to_string_lossy().into_owned());
                }
                Value(word) if options.command.is_none() => {
                    options.command = Some(word.to_string_lossy().into_owned());
                }
                Value(word) if options.scenario.is_none() => options.scenario = Some(PathBuf::from(word)),
                arg => return Err(arg.unexpected().to_string()),
            }
        }
        Ok(options)
    }

    fn scenario(&self) -> Result<Scenario, String> {
        Scenario::load(self.scenario.as_ref().ok_or("no scenario given")?, &self.set)
    }

    /// The program under test: the one told, or the one beside this.
    fn program(&self) -> Result<PathBuf, String> {
        let beside = || Some(std::env::current_exe().ok()?.parent()?.join("martenramp"));
        Ok(self.program.clone().or_else(beside).ok_or("no program given")?)
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
        Some(other) => Err(format!("no command '{other}'; try --help")),
    }
}

/// Plays a scenario, writes its tables and charts and prints its figures.
fn run_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let scenario = options.scenario()?;
    let out = options.out.clone().unwrap_or_else(|| PathBuf::from("rig-out"));
    let outcome = run_scenario(&scenario, &program)?;
    let figures = Figures::compute(&scenario, &outcome);
    figures.write(&out)?;
    if options.logs {
        for (gateway, lines) in outcome.log_lines.iter().enumerate() {
            let file = out.join(format!("n{gateway}.log"));
            std::fs::write(&file, lines.join("\n")).map_err(|e| format!("{}: {e}", file.display()))?;
        }
    }
    print!("{}", figures.summary_text());
    println!(
        "{} RPCs sent once more, since their connections were closed as they crossed",
        outcome.resent_rpcs
    );
    outcome.crashed.iter().for_each(|crashed| println!("{crashed}"));
    println!("wrote {}", out.display());
    if figures.run.void { Err("the front was too late: the run is void".to_string()) } else { Ok(()) }
}

/// Plays random overlapping faults, a fleet for each seed, and says what was broken and what happened.
fn soak_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let mut size = Size { gateways: 24, servers: 24, seconds: 25.0, faults: 12 };
    let (mut first, mut seeds) = (1_u64, 10_u64);
    for assignment in &options.set {
        let (name, number) = assigned(assignment)?;
        match name {
            "first" => first = number as u64,
            "seeds" => seeds = number as u64,
            "gateways" => size.gateways = number as usize,
            "servers" => size.servers = number as usize,
            "seconds" => size.seconds = number,
            "faults" => size.faults = number as usize,
            _ => return Err(format!("--set {assignment}: no such field")),
        }
    }
    let without: Vec<FaultKind> =
        options.without.iter().map(|name| FaultKind::parse(name)).collect::<Result<_, String>>()?;
    let faults = options.faults.clone();
    let system_calls = faults.map(|library| SystemCallFaults { library, rate: SYSTEM_CALLS_FAIL });
    let (mut happened, mut broken) = (BTreeMap::<String, usize>::new(), 0);
    let (mut sent, mut served, mut checked) = (0, 0, 0);
    for seed in first..first + seeds {
        let run = soak::run(seed, size, &without, system_calls.clone(), &program)?;
        print!("{}", run.summary());
        run.event_counts.iter().for_each(|(step, count)| *happened.entry(step.clone()).or_default() += count);
        broken += run.violations.len();
        if options.leave_one_out && !run.violations.is_empty() {
            for kind in FaultKind::ALL.into_iter().filter(|kind| !without.contains(kind)) {
                let fewer: Vec<FaultKind> = without.iter().copied().chain([kind]).collect();
                let left = soak::run(seed, size, &fewer, system_calls.clone(), &program)?;
                if left.scenario.faults.len() < run.scenario.faults.len() {
                    println!("  without {kind:?}: {} violations", left.violations.len());
                }
            }
        }
        sent += run.sent;
        served += run.served;
        checked += run.counts.checked;
    }
    println!(
        "{seeds} seeds, {sent} RPCs, {served} served, {checked} own checks, {broken} violations; what happened:"
    );
    happened.iter().for_each(|(step, count)| println!("  {step}: {count}"));
    if broken > 0 { Err(format!("{broken} violations")) } else { Ok(()) }
}

/// A field and its number.
fn assigned(assignment: &str) -> Result<(&str, f64), String> {
    let bad = || format!("--set {assignment}: no such field, or no number");
    let (name, value) = assignment.split_once('=').ok_or_else(bad)?;
    Ok((name, value.parse().map_err(|_| bad())?))
}

/// Plays rollouts of settings with versions and prints their figures.
fn rollouts_command(options: &Options) -> Result<(), String> {
    let program = options.program()?;
    let mut plan = FleetConfig { gateways: 20, lease: 1.0, clock: 0.25, seed: 1, skew_ms: 0 };
    let mut count = 40;
    for assignment in &options.set {
        let (name, number) = assigned(assignment)?;
        match name {
            "gateways" => plan.gateways = number as usize,
            "count" => count = number as usize,
            "lease" => plan.lease = number,
            "clock" => plan.clock = number,
            "seed" => plan.seed = number as u64,
            "skew_ms" => plan.skew_ms = number as u64,
            _ => return Err(format!("--set {assignment}: no such field")),
        }
    }
    print!("{}", rig::rollouts::run(&plan, count, &program)?);
    Ok(())
}
