//! `martenramp lab`: run a scenario, sweep one of its parameters, or draw a report from kept tables.

use crate::gates::Kind;
use crate::report::{self, Summary};
use crate::scenario::Scenario;
use lexopt::prelude::*;
use std::path::PathBuf;

/// The text of `martenramp lab --help`.
pub const HELP: &str = "\
martenramp lab: the project's own emulator; its figures are emulated

usage: martenramp lab run SCENARIO.toml [--policy P] [--seed N] [--out DIR]
           plays the scenario with each policy (design, plain, late; or the one named) and writes
           DIR/summary.csv and DIR/NAME-POLICY.csv (rows over time); prints the summary
       martenramp lab sweep SCENARIO.toml --set PATH=V1,V2,... [--policy P] [--out DIR]
           plays it with PATH (a dotted field, e.g. gateways or servers.count) at each value; DIR/sweep.csv
       martenramp lab report DIR
           draws SVG charts from the tables in DIR (summary.csv and its runs, or sweep.csv)

DIR is lab-out unless given. The format of scenarios is in docs/lab.md.
";

/// Runs `lab` with the words after it.
pub fn main(args: Vec<std::ffi::OsString>) -> Result<(), String> {
    let mut parser = lexopt::Parser::from_args(args);
    let (mut verb, mut target, mut policy, mut seed, mut out, mut set) = (None, None, None, None, None, None);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Short('h') | Long("help") => verb = Some("help".to_string()),
            Long("policy") => {
                policy =
                    Some(parser.value().map_err(|e| e.to_string())?.string().map_err(|_| "bad --policy")?)
            }
            Long("seed") => {
                seed = Some(
                    parser.value().map_err(|e| e.to_string())?.parse::<u64>().map_err(|e| e.to_string())?,
                )
            }
            Long("out") => out = Some(PathBuf::from(parser.value().map_err(|e| e.to_string())?)),
            Long("set") => {
                set = Some(parser.value().map_err(|e| e.to_string())?.string().map_err(|_| "bad --set")?)
            }
            Value(word) if verb.is_none() => verb = Some(word.to_string_lossy().into_owned()),
            Value(word) if target.is_none() => target = Some(PathBuf::from(word)),
            arg => return Err(arg.unexpected().to_string()),
        }
    }
    let kinds = match policy.as_deref() {
        None | Some("all") => Kind::ALL.to_vec(),
        Some(name) => vec![Kind::parse(name)?],
    };
    let out = out.unwrap_or_else(|| PathBuf::from("lab-out"));
    let read = |target: &Option<PathBuf>| -> Result<String, String> {
        crate::scenario::read_text(target.as_ref().ok_or("no scenario named; try --help")?)
    };
    match verb.as_deref() {
        Some("run") => {
            let text = read(&target)?;
            let mut scenario = Scenario::from_toml(&text).map_err(|e| format!("{}: {e}", shown(&target)))?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            run(&scenario, &kinds, &out)
        }
        Some("sweep") => {
            let text = read(&target)?;
            let set = set.ok_or("sweep needs --set PATH=V1,V2,...")?;
            let (path, values) = set.split_once('=').ok_or("--set wants PATH=V1,V2,...")?;
            let values: Vec<String> = values.split(',').map(str::to_string).collect();
            std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
            println!(
                "{:>10} {:>7} {:>10} {:>8} {:>8} {:>8} {:>10} {:>12}",
                path, "policy", "arrived", "service", "lost", "over5%", "wall ms", "events/s"
            );
            let points = crate::sweep::sweep(&text, path, &values, &kinds, |point| {
                let summary = point;
                println!(
                    "{:>10} {:>7} {:>10} {:>8.3} {:>8} {:>8} {:>10} {:>12}",
                    point.value,
                    summary.policy,
                    summary.arrived,
                    summary.service,
                    summary.lost,
                    summary.overshoot_over_5,
                    point.wall_ms,
                    point.events_per_s
                );
            })?;
            report::write_csv(&out.join("sweep.csv"), &points)?;
            println!("wrote {}", out.join("sweep.csv").display());
            Ok(())
        }
        Some("report") => {
            let dir = target.unwrap_or(out);
            let made = if dir.join("sweep.csv").exists() {
                crate::sweep::chart(&dir)?
            } else {
                report::chart_runs(&dir)?
            };
            made.iter().for_each(|path| println!("wrote {}", path.display()));
            Ok(())
        }
        Some("help") | None => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("no lab command '{other}'; try --help")),
    }
}

fn shown(target: &Option<PathBuf>) -> String {
    target.as_ref().map(|path| path.display().to_string()).unwrap_or_default()
}

/// Plays one scenario with each policy, writes its tables and prints each run's line with ratios to the baselines.
pub fn run(scenario: &Scenario, kinds: &[Kind], out: &std::path::Path) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut summaries = Vec::new();
    for &kind in kinds {
        let bar = indicatif::ProgressBar::new(scenario.seconds.ceil() as u64);
        bar.set_message(kind.name());
        let started = std::time::Instant::now();
        let record = crate::world::play(scenario, kind, Some(&bar));
        bar.finish_and_clear();
        let wall = started.elapsed();
        report::write_csv(&report::run_path(out, &scenario.name, kind), &report::rows(&record))?;
        let summary = Summary::of(scenario, kind, &record);
        println!(
            "{:<7} arrived {:>9}  ok {:>9}  pushed back {:>8}  aborted {:>6}  lost {:>5}  service {:.3}  \
             p99 {:>8.1} ms  over 5% {:>5}/{:<5}  {} events in {} ms",
            kind.name(),
            summary.arrived,
            summary.ok,
            summary.pushed_back,
            summary.aborted,
            summary.lost,
            summary.service,
            summary.p99_ms,
            summary.overshoot_over_5,
            summary.overshoot_windows,
            summary.events,
            wall.as_millis()
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
