//! Command line of `martenramp lab`: runs a scenario, sweeps a parameter, or draws charts from stored tables.

use crate::policies::PolicyKind;
use crate::report::{self, Summary};
use crate::scenario::Scenario;
use lexopt::prelude::*;
use std::path::PathBuf;

/// Text of `martenramp lab --help`.
pub const HELP: &str = "\
martenramp lab: emulates a fleet of gateways; all results except wall times are emulated

usage: martenramp lab run SCENARIO.toml [--policy P] [--seed N] [--out DIR]
           runs the scenario with each policy (design, plain, late; or only P), writes
           DIR/summary.csv and DIR/NAME-POLICY.csv (a row per time bucket), and prints the summary
       martenramp lab sweep SCENARIO.toml --set PATH=V1,V2,... [--policy P] [--out DIR]
           runs the scenario with the field PATH (dotted, e.g. gateways or servers.count) set to each
           value, and writes DIR/sweep.csv
       martenramp lab report DIR
           draws SVG charts from the tables in DIR (summary.csv and its runs, or sweep.csv)

DIR defaults to lab-out. The scenario format is documented in docs/lab.md.
";

/// Parsed command-line options.
#[derive(Default)]
struct Options {
    command: Option<String>,
    /// Scenario file, or the directory of tables for `report`.
    target: Option<PathBuf>,
    policy: Option<String>,
    seed: Option<u64>,
    out: Option<PathBuf>,
    set: Option<String>,
}

impl Options {
    fn parse(args: Vec<std::ffi::OsString>) -> Result<Options, String> {
        let message = |e: lexopt::Error| e.to_string();
        let mut parser = lexopt::Parser::from_args(args);
        let mut options = Options::default();
        while let Some(arg) = parser.next().map_err(message)? {
            match arg {
                Short('h') | Long("help") => options.command = Some("help".to_string()),
                Long("policy") => {
                    let policy = parser
                        .value()
                        .map_err(message)?
                        .string()
                        .map_err(|_| "the value of --policy is not valid UTF-8")?;
                    options.policy = Some(policy);
                }
                Long("seed") => {
                    options.seed = Some(parser.value().map_err(message)?.parse().map_err(message)?);
                }
                Long("out") => options.out = Some(PathBuf::from(parser.value().map_err(message)?)),
                Long("set") => {
                    let set = parser
                        .value()
                        .map_err(message)?
                        .string()
                        .map_err(|_| "the value of --set is not valid UTF-8")?;
                    options.set = Some(set);
                }
                Value(value) if options.command.is_none() => {
                    options.command = Some(value.to_string_lossy().into_owned());
                }
                Value(value) if options.target.is_none() => options.target = Some(PathBuf::from(value)),
                arg => return Err(arg.unexpected().to_string()),
            }
        }
        Ok(options)
    }

    fn policies(&self) -> Result<Vec<PolicyKind>, String> {
        match self.policy.as_deref() {
            None | Some("all") => Ok(PolicyKind::ALL.to_vec()),
            Some(name) => Ok(vec![PolicyKind::parse(name)?]),
        }
    }

    /// Reads the scenario with the files that it extends merged in, as TOML text.
    fn scenario_text(&self) -> Result<String, String> {
        crate::scenario::read_text(self.target.as_ref().ok_or("missing scenario file; see --help")?)
    }

    fn out(&self) -> PathBuf {
        self.out.clone().unwrap_or_else(|| PathBuf::from("lab-out"))
    }
}

/// Runs `martenramp lab` with the arguments that follow `lab`.
pub fn main(args: Vec<std::ffi::OsString>) -> Result<(), String> {
    let options = Options::parse(args)?;
    let kinds = options.policies()?;
    match options.command.as_deref() {
        Some("run") => {
            let text = options.scenario_text()?;
            let with_path = |e| format!("{}: {e}", target_path(&options.target));
            let mut scenario = Scenario::from_toml(&text).map_err(with_path)?;
            scenario.seed = options.seed.unwrap_or(scenario.seed);
            run(&scenario, &kinds, &options.out())
        }
        Some("sweep") => sweep(&options, &kinds),
        Some("report") => {
            let dir = options.target.clone().unwrap_or(options.out());
            let paths = if dir.join("sweep.csv").exists() {
                crate::sweep::draw_charts(&dir)?
            } else {
                report::draw_run_charts(&dir)?
            };
            paths.iter().for_each(|path| println!("wrote {}", path.display()));
            Ok(())
        }
        Some("help") | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("unknown lab command '{other}'; see --help")),
    }
}

/// Runs a scenario at each value of a parameter, and prints and writes the table.
fn sweep(options: &Options, kinds: &[PolicyKind]) -> Result<(), String> {
    let text = options.scenario_text()?;
    let set = options.set.as_ref().ok_or("sweep requires --set PATH=V1,V2,...")?;
    let (path, values) = set.split_once('=').ok_or("--set expects PATH=V1,V2,...")?;
    let values: Vec<String> = values.split(',').map(str::to_string).collect();
    let out = options.out();
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    println!(
        "{:>10} {:>7} {:>10} {:>8} {:>8} {:>8} {:>10} {:>12}",
        path, "policy", "arrived", "service", "lost", "over5%", "wall ms", "events/s"
    );
    let points = crate::sweep::sweep(&text, path, &values, kinds, |point| {
        println!(
            "{:>10} {:>7} {:>10} {:>8.3} {:>8} {:>8} {:>10} {:>12}",
            point.value,
            point.policy,
            point.arrived,
            point.service,
            point.lost,
            point.overshoot_over_5_percent,
            point.wall_ms,
            point.events_per_s
        );
    })?;
    report::write_csv(&out.join("sweep.csv"), &points)?;
    println!("wrote {}", out.join("sweep.csv").display());
    Ok(())
}

fn target_path(target: &Option<PathBuf>) -> String {
    target.as_ref().map(|path| path.display().to_string()).unwrap_or_default()
}

/// Runs a scenario with each policy, writes the tables, and prints a summary per run and the ratio of the design's
/// service to that of each baseline.
pub fn run(scenario: &Scenario, kinds: &[PolicyKind], out: &std::path::Path) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut summaries = Vec::new();
    for &kind in kinds {
        let progress_bar = indicatif::ProgressBar::new(scenario.seconds.ceil() as u64);
        progress_bar.set_message(kind.name());
        let started = std::time::Instant::now();
        let record = crate::world::run_scenario(scenario, kind, Some(&progress_bar));
        progress_bar.finish_and_clear();
        let wall_time = started.elapsed();
        report::write_csv(&report::run_table_path(out, &scenario.name, kind), &report::time_rows(&record))?;
        let summary = Summary::of(scenario, kind, &record);
        println!(
            "{:<7} arrived {:>9}  ok {:>9}  rejected {:>8}  aborted {:>6}  lost {:>5}  service {:.3}  \
             p99 {:>8.1} ms  over 5% {:>5}/{:<5}  {} events in {} ms",
            kind.name(),
            summary.arrived,
            summary.ok,
            summary.rejected,
            summary.aborted,
            summary.lost,
            summary.service,
            summary.p99_ms,
            summary.overshoot_over_5_percent,
            summary.overshoot_windows,
            summary.events,
            wall_time.as_millis()
        );
        summaries.push(summary);
    }
    let design = summaries.iter().find(|summary| summary.policy == "design").map(|summary| summary.service);
    for baseline in summaries.iter().filter(|summary| summary.policy != "design") {
        if let Some(design) = design.filter(|_| baseline.service > 0.0) {
            println!("design over {}: {:.3}", baseline.policy, design / baseline.service);
        }
    }
    report::write_csv(&out.join("summary.csv"), &summaries)?;
    println!("wrote {}", out.join("summary.csv").display());
    Ok(())
}
