//! Added time: open-loop load through one gateway over loopback, against the same load sent straight to the servers.
//!
//! An RPC's latency counts from the moment at which it was due, whether or not the generator was late, so that a stall
//! counts for every RPC that was due in it (no coordinated omission).

mod fleet;

use crate::ScaleError;
use crate::report::{prepare_folder, write_csv};
use fleet::{Path as LoadPath, Run, Scene};
use hdrhistogram::Histogram;
use rig::load_generator::RpcOutcome;
use serde::Serialize;
use standins::Nanos;
use std::path::PathBuf;

/// RPCs a second: a gateway's share of the operators' peak, three and nine times of it.
const RATES: [f64; 3] = [570.0, 1_700.0, 5_000.0];
/// The generator's timers are whole milliseconds, on both paths alike. A run in which it was later than this for one RPC
/// in a hundred tells nothing of added time.
const LATE_AT_MOST: Nanos = 2_500_000;
/// A histogram's values are within a thousandth.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Arguments of `martenramp-scale added`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The gateway's program.
    #[arg(long, default_value = "target/release/martenramp")]
    pub program: PathBuf,
    /// Where the table goes.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
    /// Seconds of load that count, in each run.
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// The seed of all chance.
    #[arg(long, default_value_t = 37)]
    pub seed: u64,
}

/// One run of one load on one path.
#[derive(Clone, Debug, Serialize)]
pub struct AddedRow {
    /// What happens meanwhile.
    pub scene: &'static str,
    /// RPCs a second.
    pub rate: f64,
    /// `direct` or `gateway`.
    pub path: &'static str,
    /// RPCs that were due, and those answered ok.
    pub rpcs: usize,
    /// Those answered ok; the latencies are theirs.
    pub ok: usize,
    /// Milliseconds from due to answered.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
    /// How late the generator was for one RPC in a hundred, milliseconds.
    pub late_p99_ms: f64,
    /// The generator was too late: the figures tell nothing.
    pub void: bool,
}

/// Measures the time that a gateway adds.
pub fn run(args: Args) -> Result<(), ScaleError> {
    if !(1.0..=120.0).contains(&args.seconds) {
        return Err(ScaleError::bad_key("seconds", "must be from 1 to 120"));
    }
    if !args.program.is_file() {
        return Err(ScaleError::bad_key("program", format!("{} is no file", args.program.display())));
    }
    prepare_folder(&args.out)?;
    let mut rows = Vec::new();
    for scene in [Scene::Quiet, Scene::ListChanges, Scene::ZoneGone] {
        for rate in RATES {
            let direct = measure(&args, scene, rate, LoadPath::Direct)?;
            let through = measure(&args, scene, rate, LoadPath::Gateway)?;
            println!("{}", shown(&direct, &through));
            rows.extend([direct, through]);
        }
    }
    write_csv(&args.out.join("added.csv"), &rows)
}

fn measure(args: &Args, scene: Scene, rate: f64, path: LoadPath) -> Result<AddedRow, ScaleError> {
    let run = Run { program: &args.program, scene, rate, path, seconds: args.seconds, seed: args.seed };
    let calls = run.play()?;
    let mut latencies = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
        .map_err(|why| ScaleError::Measurement { what: "a histogram".to_string(), why: why.to_string() })?;
    let answered = calls.iter().filter(|call| call.outcome == RpcOutcome::Ok);
    answered.for_each(|call| latencies += call.ended_at.saturating_sub(call.scheduled_at));
    let milliseconds = |share: f64| latencies.value_at_quantile(share) as f64 / 1e6;
    let late = rig::load_generator::lateness(&calls).1;
    Ok(AddedRow {
        scene: scene.name(),
        rate,
        path: path.name(),
        rpcs: calls.len(),
        ok: latencies.len() as usize,
        p50_ms: milliseconds(0.5),
        p99_ms: milliseconds(0.99),
        p999_ms: milliseconds(0.999),
        late_p99_ms: late as f64 / 1e6,
        void: late > LATE_AT_MOST,
    })
}

fn shown(direct: &AddedRow, through: &AddedRow) -> String {
    format!(
        "{:<13} {:>5} RPCs/s  added p50 {:.2} p99 {:.2} p99.9 {:.2} ms  ok {} of {}{}",
        direct.scene,
        direct.rate,
        through.p50_ms - direct.p50_ms,
        through.p99_ms - direct.p99_ms,
        through.p999_ms - direct.p999_ms,
        through.ok,
        through.rpcs,
        if direct.void || through.void { "  VOID: the generator was late" } else { "" }
    )
}
