//! Measures added latency: open-loop load through one gateway over loopback, compared to the same load sent directly
//! to the servers.
//!
//! Latency is measured from the scheduled time of an RPC, even if the generator was late. A stall therefore counts for
//! every RPC scheduled during it, which avoids coordinated omission.

mod fleet;

use crate::ScaleError;
use crate::report::{prepare_folder, write_csv};
use fleet::{Route, Run, Scenario};
use hdrhistogram::Histogram;
use rig::load_generator::RpcOutcome;
use serde::Serialize;
use standins::Nanos;
use std::path::PathBuf;

/// RPCs a second: one gateway's share of the operators' peak load, and three and nine times that.
const RATES: [f64; 3] = [570.0, 1_700.0, 5_000.0];
/// A run is void if the generator's 99th percentile of lateness exceeds this. Its timers have a resolution of one
/// millisecond on both paths.
const MAX_LATE_P99: Nanos = 2_500_000;
/// Precision of histogram values: three digits, an error of at most 0.1 %.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Arguments of `martenramp-scale added`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The gateway program.
    #[arg(long, default_value = "target/release/martenramp")]
    pub program: PathBuf,
    /// The folder for the table.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
    /// Measured seconds of load in each run.
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Seed of all random streams.
    #[arg(long, default_value_t = 37)]
    pub seed: u64,
    /// The number of servers.
    #[arg(long, default_value_t = 24)]
    pub servers: usize,
    /// The number of gateways that the gateway is told of, itself included.
    #[arg(long, default_value_t = 1)]
    pub fleet: usize,
}

/// The largest number of servers of a run.
const MAX_SERVERS: usize = 3_200;
/// The largest fleet that a gateway is told of.
const MAX_FLEET: usize = 900;

/// The result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct AddedRow {
    /// What happens during the load.
    pub scene: &'static str,
    /// RPCs a second.
    pub rate: f64,
    /// `direct` or `gateway`.
    pub path: &'static str,
    /// RPCs scheduled in the measured part.
    pub rpcs: usize,
    /// RPCs answered successfully; latencies are over these.
    pub ok: usize,
    /// Median latency from scheduled time to answer, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of latency, milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of latency, milliseconds.
    pub p999_ms: f64,
    /// Connections to servers that were opened in the measured part.
    pub opened_connections: u64,
    /// Connections to servers that were open at its end.
    pub open_connections: usize,
    /// 99th percentile of the generator's lateness, milliseconds.
    pub late_p99_ms: f64,
    /// The generator was too late, so the latencies are not valid.
    pub void: bool,
}

/// Measures the latency that a gateway adds, and writes the table.
pub fn run(args: Args) -> Result<(), ScaleError> {
    if !(1.0..=120.0).contains(&args.seconds) {
        return Err(ScaleError::bad_key("seconds", "must be from 1 to 120"));
    }
    if !(1..=MAX_SERVERS).contains(&args.servers) {
        return Err(ScaleError::bad_key("servers", format!("must be from 1 to {MAX_SERVERS}")));
    }
    if !(1..=MAX_FLEET).contains(&args.fleet) {
        return Err(ScaleError::bad_key("fleet", format!("must be from 1 to {MAX_FLEET}")));
    }
    if !args.program.is_file() {
        return Err(ScaleError::bad_key("program", format!("{} is not a file", args.program.display())));
    }
    prepare_folder(&args.out)?;
    let mut rows = Vec::new();
    for scenario in [Scenario::Quiet, Scenario::ListChanges, Scenario::ZoneDrains] {
        for rate in RATES {
            let direct = measure(&args, scenario, rate, Route::Direct)?;
            let through = measure(&args, scenario, rate, Route::Gateway)?;
            println!("{}", summary(&direct, &through));
            rows.extend([direct, through]);
        }
    }
    write_csv(&args.out.join("added.csv"), &rows)
}

fn measure(args: &Args, scenario: Scenario, rate: f64, route: Route) -> Result<AddedRow, ScaleError> {
    let Args { servers, fleet, seconds, seed, .. } = *args;
    let run = Run { program: &args.program, scenario, rate, route, servers, fleet, seconds, seed };
    let record = run.execute()?;
    let rpcs = &record.rpcs;
    let mut latencies = Histogram::<u64>::new(SIGNIFICANT_DIGITS).map_err(|why| ScaleError::Measurement {
        what: "creating a histogram".to_string(),
        why: why.to_string(),
    })?;
    let answered = rpcs.iter().filter(|rpc| rpc.outcome == RpcOutcome::Ok);
    answered.for_each(|rpc| latencies += rpc.ended_at.saturating_sub(rpc.scheduled_at));
    let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e6;
    let late_p99 = rig::load_generator::lateness(rpcs).1;
    Ok(AddedRow {
        scene: scenario.name(),
        rate,
        path: route.name(),
        rpcs: rpcs.len(),
        ok: latencies.len() as usize,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        opened_connections: record.opened_connections,
        open_connections: record.open_connections,
        late_p99_ms: late_p99 as f64 / 1e6,
        void: late_p99 > MAX_LATE_P99,
    })
}

fn summary(direct: &AddedRow, through: &AddedRow) -> String {
    format!(
        "{:<13} {:>5} RPCs/s  added p50 {:.2} p99 {:.2} p99.9 {:.2} ms  ok {} of {}  connections opened {} open {}{}",
        direct.scene,
        direct.rate,
        through.p50_ms - direct.p50_ms,
        through.p99_ms - direct.p99_ms,
        through.p999_ms - direct.p999_ms,
        through.ok,
        through.rpcs,
        through.opened_connections,
        through.open_connections,
        if direct.void || through.void { "  VOID: the generator was late" } else { "" }
    )
}
