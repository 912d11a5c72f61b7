//! Writes the tables and charts of a run: `summary.csv` (one row per phase of the run, window width and quantity),
//! `run.csv` (one row of counts), `windows.csv` (time series), `servers.csv` and `gateways.csv`, and SVG charts drawn from
//! them.

use crate::fleet::RunResult;
use crate::load_generator::{MAX_LATENESS, RpcOutcome as ClientOutcome, lateness};
use crate::measure::{
    Quantity, ServerRpc, Spread, Window, WindowSeries, accepted_rpcs, assign_at_random,
    assign_to_least_loaded, count_idle_servers, gateways_per_server,
};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SEC};
use lab::report::{draw_line_chart, write_csv};
use serde::Serialize;
use standins::servers::RpcOutcome;
use std::collections::BTreeMap;
use std::path::Path;

/// Number of random assignments over which the medians of the random reference are taken.
const RANDOM_DRAWS: u64 = 11;
/// Servers without RPCs count as idle in windows of 5 s in which the mean server gets more than this many RPCs per second.
const IDLE_MIN_RATE: f64 = 2.0;

/// The spread of one quantity over the servers, in one phase of the run, for one window width.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadRow {
    /// Name of the scenario.
    pub scenario: String,
    /// `health` before the first fault, `fault` after it.
    #[serde(rename = "part")]
    pub phase: &'static str,
    /// Window width in seconds.
    pub window_s: f64,
    /// Name of the quantity.
    pub quantity: &'static str,
    /// Number of windows.
    pub windows: usize,
    /// The mean over servers and windows.
    pub mean: f64,
    /// Median of the highest value over the mean.
    pub peak: f64,
    /// Maximum of the highest value over the mean.
    pub peak_worst: f64,
    /// Median of the 99th percentile over the mean.
    pub p99: f64,
    /// Median of the lowest value over the mean.
    pub least: f64,
    /// Minimum of the lowest value over the mean.
    pub least_worst: f64,
    /// `peak` if each RPC goes to a server drawn at random by weight.
    #[serde(rename = "chance_peak")]
    pub random_peak: f64,
    /// `peak_worst` of the random assignment.
    #[serde(rename = "chance_peak_worst")]
    pub random_peak_worst: f64,
    /// `least` of the random assignment.
    #[serde(rename = "chance_least")]
    pub random_least: f64,
    /// `least_worst` of the random assignment.
    #[serde(rename = "chance_least_worst")]
    pub random_least_worst: f64,
    /// `peak` if a central dispatcher sends each RPC to the least loaded server.
    #[serde(rename = "centre_peak")]
    pub central_peak: f64,
    /// `peak_worst` of the central dispatcher.
    #[serde(rename = "centre_peak_worst")]
    pub central_peak_worst: f64,
}

/// Counts of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunRow {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Gateways over the run, including those added during it.
    pub gateways: usize,
    /// Servers over the run, including those added during it.
    pub servers: usize,
    /// RPCs in the measured part of the run.
    pub rpcs: usize,
    /// RPCs answered with 200.
    pub ok: usize,
    /// RPCs rejected with 429 or 503.
    #[serde(rename = "pushed_back")]
    pub rejected: usize,
    /// RPCs answered with any other status.
    pub failed: usize,
    /// RPCs whose connection was closed after the request had been written.
    pub cut: usize,
    /// RPCs for which no gateway accepted the connection.
    pub unreached: usize,
    /// RPCs without an answer.
    pub lost: usize,
    /// Answers that arrived when no RPC was waiting for one.
    #[serde(rename = "extra_answers")]
    pub unexpected_answers: u64,
    /// RPCs that may run only once and ran more than once.
    #[serde(rename = "twice")]
    pub executed_twice: usize,
    /// Attempts that reached servers.
    #[serde(rename = "call_outs")]
    pub attempts: usize,
    /// Attempts that a full server refused.
    #[serde(rename = "turned_away")]
    pub refused_attempts: usize,
    /// Cases of a ready server without an RPC in a 5 s window whose mean was above 2 RPCs per second.
    #[serde(rename = "idle")]
    pub idle_server_windows: usize,
    /// Minimum number of gateways that sent to a server before the first fault.
    #[serde(rename = "parts_least")]
    pub gateways_per_server_min: usize,
    /// Mean number of gateways that sent to a server before the first fault.
    #[serde(rename = "parts_mean")]
    pub gateways_per_server_mean: f64,
    /// Maximum number of gateways that sent to a server before the first fault.
    #[serde(rename = "parts_most")]
    pub gateways_per_server_max: usize,
    /// RPCs of the busiest gateway over the mean.
    pub gateway_peak: f64,
    /// Median latency of RPCs answered with 200, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency, milliseconds.
    pub p99_ms: f64,
    /// Calls that the counter received.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Bytes of lists and changes that discovery sent.
    pub list_bytes: u64,
    /// Gateways that exited without SIGTERM, with a non-zero status or too late.
    pub crashed: usize,
    /// Median lateness of the load generator, milliseconds.
    pub late_p50_ms: f64,
    /// 99th percentile of the load generator's lateness, milliseconds.
    pub late_p99_ms: f64,
    /// Maximum lateness of the load generator, milliseconds.
    #[serde(rename = "late_most_ms")]
    pub late_max_ms: f64,
    /// Whether the load generator was too late, which makes the figures invalid.
    pub void: bool,
}

#[derive(Clone, Debug, Serialize)]
struct WindowRow {
    t_s: f64,
    quantity: &'static str,
    mean: f64,
    peak: f64,
    least: f64,
    #[serde(rename = "chance_peak")]
    random_peak: f64,
    #[serde(rename = "centre_peak")]
    central_peak: f64,
}

#[derive(Clone, Debug, Serialize)]
struct ServerRow {
    server: usize,
    weight: f64,
    rpcs: usize,
    #[serde(rename = "turned_away")]
    refused_attempts: usize,
    gateways: usize,
}

#[derive(Clone, Debug, Serialize)]
struct GatewayRow {
    gateway: usize,
    rpcs: usize,
    #[serde(rename = "call_outs")]
    attempts: usize,
    servers: usize,
}

fn ms(span: Nanos) -> f64 {
    round(span as f64 / MS as f64)
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// The RPCs in service as measured, and as the two reference assignments would have placed them.
struct Arrivals {
    measured: Vec<ServerRpc>,
    random: Vec<Vec<ServerRpc>>,
    central: Vec<ServerRpc>,
}

impl Arrivals {
    fn compute(scenario: &Scenario, result: &RunResult) -> Arrivals {
        let measured = accepted_rpcs(&result.server_rpcs, result.measured_until + 10 * SEC);
        let central = assign_to_least_loaded(&result.servers, &measured);
        let random_assignment =
            |draw| assign_at_random(&result.servers, &measured, scenario.seed ^ draw << 32);
        let random = (0..RANDOM_DRAWS).map(random_assignment).collect();
        Arrivals { measured, random, central }
    }
}

/// Returns the row for a phase, window width and quantity, or `None` if the phase has no whole window.
fn spread_row(
    scenario: &Scenario,
    result: &RunResult,
    arrivals: &Arrivals,
    phase: &'static str,
    window_series: WindowSeries,
    quantity: Quantity,
) -> Option<SpreadRow> {
    let windows = |rpcs: &[ServerRpc]| window_series.windows(&result.servers, rpcs, quantity);
    let has_references = quantity != Quantity::Connections;
    let measured = match has_references {
        true => windows(&arrivals.measured),
        false => window_series.connections(&result.servers, &result.open_connections),
    };
    if measured.is_empty() {
        return None;
    }
    let reference = |assignments: &[Vec<ServerRpc>]| {
        if !has_references {
            return Spread::default();
        }
        let spreads: Vec<Spread> = assignments.iter().map(|rpcs| Spread::of(&windows(rpcs))).collect();
        Spread::median(&spreads)
    };
    let random = reference(&arrivals.random);
    let central = reference(std::slice::from_ref(&arrivals.central));
    let spread = Spread::of(&measured);
    let mean = measured.iter().map(Window::mean).sum::<f64>() / measured.len() as f64;
    Some(SpreadRow {
        scenario: scenario.name.clone(),
        phase,
        window_s: window_series.width as f64 / SEC as f64,
        quantity: quantity.name(),
        windows: measured.len(),
        mean: round(mean),
        peak: round(spread.peak),
        peak_worst: round(spread.peak_worst),
        p99: round(spread.p99),
        least: round(spread.least),
        least_worst: round(spread.least_worst),
        random_peak: round(random.peak),
        random_peak_worst: round(random.peak_worst),
        random_least: round(random.least),
        random_least_worst: round(random.least_worst),
        central_peak: round(central.peak),
        central_peak_worst: round(central.peak_worst),
    })
}

/// Returns a row for each window, with both references.
fn window_rows(
    result: &RunResult,
    arrivals: &Arrivals,
    window_series: WindowSeries,
    quantity: Quantity,
) -> Vec<WindowRow> {
    let windows = |rpcs: &[ServerRpc]| window_series.windows(&result.servers, rpcs, quantity);
    let references = windows(&arrivals.random[0]).into_iter().zip(windows(&arrivals.central));
    let rows = windows(&arrivals.measured).into_iter().zip(references);
    let row = |(measured, (random, central)): (Window, (Window, Window))| {
        let spread = measured.spread()?;
        Some(WindowRow {
            t_s: round((measured.from - result.measured_from) as f64 / SEC as f64),
            quantity: quantity.name(),
            mean: round(measured.mean()),
            peak: round(spread[0]),
            least: round(spread[2]),
            random_peak: round(random.spread()?[0]),
            central_peak: round(central.spread()?[0]),
        })
    };
    rows.filter_map(row).collect()
}

/// All figures of a run.
pub struct Figures {
    /// Counts of the run.
    pub run: RunRow,
    /// Spread of the load by phase, window width and quantity.
    pub spreads: Vec<SpreadRow>,
    windows: Vec<WindowRow>,
    servers: Vec<ServerRow>,
    gateways: Vec<GatewayRow>,
}

impl Figures {
    /// Returns the row for a phase (`health` or `fault`), window width in seconds and quantity.
    pub fn spread(&self, phase: &str, window_s: f64, quantity: Quantity) -> Option<&SpreadRow> {
        let is = |row: &&SpreadRow| {
            row.phase == phase && row.window_s == window_s && row.quantity == quantity.name()
        };
        self.spreads.iter().find(is)
    }

    /// Computes the figures of a run.
    pub fn compute(scenario: &Scenario, result: &RunResult) -> Figures {
        let arrivals = Arrivals::compute(scenario, result);
        let health_until = result.first_fault_at.unwrap_or(result.measured_until);
        let mut spreads = Vec::new();
        for (phase, from, to) in
            [("health", result.measured_from, health_until), ("fault", health_until, result.measured_until)]
        {
            for width in [SEC, 5 * SEC] {
                let window_series = WindowSeries { from, to, width };
                let row = |quantity| spread_row(scenario, result, &arrivals, phase, window_series, quantity);
                spreads.extend(Quantity::ALL.into_iter().filter_map(row));
            }
        }
        let whole = WindowSeries { from: result.measured_from, to: result.measured_until, width: 5 * SEC };
        let idle = count_idle_servers(
            &whole.windows(&result.servers, &arrivals.measured, Quantity::Rpcs),
            IDLE_MIN_RATE * 5.0,
        );
        let seconds = WindowSeries { width: SEC, ..whole };
        let windows = [Quantity::Rpcs, Quantity::Held].into_iter();
        Figures {
            run: run_row(scenario, result, health_until, idle),
            spreads,
            windows: windows.flat_map(|quantity| window_rows(result, &arrivals, seconds, quantity)).collect(),
            servers: server_rows(result),
            gateways: gateway_rows(result),
        }
    }

    /// Writes all tables and charts into a directory, which is created if it does not exist.
    pub fn write(&self, dir: &Path) -> Result<(), String> {
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        write_csv(&dir.join("summary.csv"), &self.spreads)?;
        write_csv(&dir.join("run.csv"), std::slice::from_ref(&self.run))?;
        write_csv(&dir.join("windows.csv"), &self.windows)?;
        write_csv(&dir.join("servers.csv"), &self.servers)?;
        write_csv(&dir.join("gateways.csv"), &self.gateways)?;
        for quantity in ["rpcs", "held"] {
            let line = |name: &str, pick: fn(&WindowRow) -> f64| {
                let rows = self.windows.iter().filter(|row| row.quantity == quantity);
                (name.to_string(), rows.map(|row| (row.t_s, pick(row))).collect::<Vec<_>>())
            };
            let lines = [
                line("measured, busiest", |row| row.peak),
                line("measured, least busy", |row| row.least),
                line("random assignment, busiest", |row| row.random_peak),
                line("central dispatcher, busiest", |row| row.central_peak),
            ];
            let title =
                format!("{}: {quantity} of a server over the mean, windows of 1 s", self.run.scenario);
            draw_line_chart(
                &dir.join(format!("{quantity}.svg")),
                &title,
                "seconds",
                "over the mean",
                &lines,
            )?;
        }
        let mut shares: Vec<f64> = self.servers.iter().map(|row| row.rpcs as f64 / row.weight).collect();
        shares.sort_by(f64::total_cmp);
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        let line: Vec<(f64, f64)> =
            shares.iter().enumerate().map(|(at, share)| (at as f64, share / mean.max(1e-9))).collect();
        let title = format!("{}: servers by RPCs over the mean, the whole run", self.run.scenario);
        draw_line_chart(
            &dir.join("servers.svg"),
            &title,
            "servers in order",
            "over the mean",
            &[("measured".into(), line)],
        )
    }

    /// Formats the figures as text.
    pub fn summary_text(&self) -> String {
        let run = &self.run;
        let mut text = format!(
            "{}: {} gateways, {} servers, {} RPCs: {} ok, {} rejected, {} failed, {} cut, {} unreached, {} lost; \
             {} attempts, {} refused by servers, {} ran twice; p50 {} ms, p99 {} ms\n\
             gateways per server {} / {:.1} / {}, idle servers {}, busiest gateway {:.2} of the mean, crashed {}, \
             load generator late p99 {} ms, at most {} ms{}\n\
             phase   win quantity     mean | peak  worst | p99   | least worst | random peak worst least worst | central peak worst\n",
            run.scenario,
            run.gateways,
            run.servers,
            run.rpcs,
            run.ok,
            run.rejected,
            run.failed,
            run.cut,
            run.unreached,
            run.lost,
            run.attempts,
            run.refused_attempts,
            run.executed_twice,
            run.p50_ms,
            run.p99_ms,
            run.gateways_per_server_min,
            run.gateways_per_server_mean,
            run.gateways_per_server_max,
            run.idle_server_windows,
            run.gateway_peak,
            run.crashed,
            run.late_p99_ms,
            run.late_max_ms,
            if run.void { " VOID" } else { "" },
        );
        for row in &self.spreads {
            text += &format!(
                "{:<7} {:>2}s {:<11} {:>5.1} | {:<5.2} {:<5.2} | {:<5.2} | {:<5.2} {:<5.2} | \
                 {:>11.2} {:<5.2} {:<5.2} {:<5.2} | {:>11.2} {:<5.2}\n",
                row.phase,
                row.window_s,
                row.quantity,
                row.mean,
                row.peak,
                row.peak_worst,
                row.p99,
                row.least,
                row.least_worst,
                row.random_peak,
                row.random_peak_worst,
                row.random_least,
                row.random_least_worst,
                row.central_peak,
                row.central_peak_worst,
            );
        }
        text
    }
}

fn run_row(scenario: &Scenario, result: &RunResult, health_until: Nanos, idle: usize) -> RunRow {
    let rpcs: Vec<_> =
        result.client_rpcs.iter().filter(|rpc| rpc.scheduled_at >= result.measured_from).collect();
    let count = |rpc_outcome: ClientOutcome| rpcs.iter().filter(|rpc| rpc.outcome == rpc_outcome).count();
    let mut latencies: Vec<Nanos> = rpcs
        .iter()
        .filter(|rpc| rpc.outcome == ClientOutcome::Ok)
        .map(|rpc| rpc.ended_at - rpc.scheduled_at)
        .collect();
    latencies.sort_unstable();
    let quantile = |share: f64| {
        let index = ((latencies.len() as f64 * share) as usize).min(latencies.len().saturating_sub(1));
        ms(latencies.get(index).copied().unwrap_or(0))
    };
    // RPCs may run only once unless their class is idempotent. Attempts at a server that went down count as run, since
    // the work may have been done.
    let runs_once = |txn: u64| {
        let rpc = result.client_rpcs.get((txn & 0xffff_ffff_ffff) as usize);
        rpc.is_some_and(|rpc| !result.methods[rpc.method].1)
    };
    let mut executions: BTreeMap<u64, usize> = BTreeMap::new();
    for row in
        result.server_rpcs.iter().filter(|row| row.outcome != RpcOutcome::TurnedAway && runs_once(row.txn))
    {
        *executions.entry(row.txn).or_default() += 1;
    }
    let (min, mean, max) =
        gateways_per_server(&result.servers, &result.server_rpcs, result.measured_from, health_until);
    let (p50, p99, late_max) = lateness(&result.client_rpcs);
    let mut rpcs_by_gateway = vec![0usize; result.log_lines.len()];
    rpcs.iter().for_each(|rpc| rpcs_by_gateway[rpc.gateway.min(result.log_lines.len() - 1)] += 1);
    let busiest = rpcs_by_gateway.iter().max().copied().unwrap_or(0) as f64;
    RunRow {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        gateways: result.log_lines.len(),
        servers: result.servers.len(),
        rpcs: rpcs.len(),
        ok: count(ClientOutcome::Ok),
        rejected: count(ClientOutcome::PushedBack),
        failed: count(ClientOutcome::Failed),
        cut: count(ClientOutcome::Cut),
        unreached: count(ClientOutcome::Unreached),
        lost: count(ClientOutcome::Lost) + count(ClientOutcome::Open),
        unexpected_answers: result.unexpected_answers,
        executed_twice: executions.values().filter(|count| **count > 1).count(),
        attempts: result.server_rpcs.len(),
        refused_attempts: result
            .server_rpcs
            .iter()
            .filter(|row| row.outcome == RpcOutcome::TurnedAway)
            .count(),
        idle_server_windows: idle,
        gateways_per_server_min: min,
        gateways_per_server_mean: round(mean),
        gateways_per_server_max: max,
        gateway_peak: round(busiest * result.log_lines.len() as f64 / rpcs.len().max(1) as f64),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        counter_calls: result.counter_calls,
        list_bytes: result.list_bytes,
        crashed: result.crashed.len(),
        late_p50_ms: ms(p50),
        late_p99_ms: ms(p99),
        late_max_ms: ms(late_max),
        void: p99 > MAX_LATENESS,
    }
}

fn server_rows(result: &RunResult) -> Vec<ServerRow> {
    let rows = |index: usize| result.server_rpcs.iter().filter(move |row| row.server as usize == index);
    let row = |(index, server): (usize, &crate::measure::ServerHistory)| {
        let gateways: std::collections::BTreeSet<usize> = rows(index).map(|row| row.gateway()).collect();
        ServerRow {
            server: index,
            weight: server.weight,
            rpcs: rows(index).count(),
            refused_attempts: rows(index).filter(|row| row.outcome == RpcOutcome::TurnedAway).count(),
            gateways: gateways.len(),
        }
    };
    result.servers.iter().enumerate().map(row).collect()
}

fn gateway_rows(result: &RunResult) -> Vec<GatewayRow> {
    let mut gateways: Vec<(usize, std::collections::BTreeSet<u32>)> =
        vec![Default::default(); result.log_lines.len()];
    for row in &result.server_rpcs {
        if let Some(entry) = gateways.get_mut(row.gateway()) {
            entry.0 += 1;
            entry.1.insert(row.server);
        }
    }
    let mut rpcs = vec![0; result.log_lines.len()];
    result.client_rpcs.iter().for_each(|rpc| rpcs[rpc.gateway.min(result.log_lines.len() - 1)] += 1);
    let row = |(gateway, (attempts, servers)): (usize, (usize, std::collections::BTreeSet<u32>))| {
        GatewayRow { gateway, rpcs: rpcs[gateway], attempts, servers: servers.len() }
    };
    gateways.into_iter().enumerate().map(row).collect()
}
