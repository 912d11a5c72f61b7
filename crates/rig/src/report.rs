//! Tables and charts of a run: `summary.csv` (one row for each part of the run, window and quantity), `run.csv` (one row
//! of counts), `windows.csv` (over time), `servers.csv` and `gateways.csv`, and SVG charts drawn from them.

use crate::fleet::RunResult;
use crate::load_generator::{MAX_LATENESS, RpcOutcome as End, lateness};
use crate::measure::{
    Quantity, ServerRpc, Spread, Window, WindowSeries, accepted_rpcs, assign_at_random,
    assign_to_least_loaded, count_idle_servers, gateways_per_server,
};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SEC};
use lab::report::{chart, write_csv};
use serde::Serialize;
use standins::servers::RpcOutcome;
use std::collections::BTreeMap;
use std::path::Path;

/// How often chance is drawn for its middle figures.
const CHANCES: u64 = 11;
/// Servers count as idle in windows of 5 s with more than so many RPCs a second each.
const IDLE_ABOVE: f64 = 2.0;

/// Highest, p99 and lowest server over the mean, in one part of the run, for one width of window and one quantity.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadRow {
    /// The scenario's name.
    pub scenario: String,
    /// `health` or `fault`: before or after the first fault.
    #[serde(rename = "part")]
    pub phase: &'static str,
    /// Width of the windows, seconds.
    pub window_s: f64,
    /// What is looked at.
    pub quantity: &'static str,
    /// How many windows.
    pub windows: usize,
    /// The mean over servers and windows.
    pub mean: f64,
    /// Middle of the highest over the mean.
    pub peak: f64,
    /// The worst of it.
    pub peak_worst: f64,
    /// Middle of the 99th percentile over the mean.
    pub p99: f64,
    /// Middle of the lowest over the mean.
    pub least: f64,
    /// The worst of it.
    pub least_worst: f64,
    /// The peak where each RPC goes to a server drawn by weight.
    #[serde(rename = "chance_peak")]
    pub random_peak: f64,
    /// The worst of it.
    #[serde(rename = "chance_peak_worst")]
    pub random_peak_worst: f64,
    /// The least where each RPC goes to a server drawn by weight.
    #[serde(rename = "chance_least")]
    pub random_least: f64,
    /// The worst of it.
    #[serde(rename = "chance_least_worst")]
    pub random_least_worst: f64,
    /// The peak of a dispatcher that sees all.
    #[serde(rename = "centre_peak")]
    pub central_peak: f64,
    /// The worst of it.
    #[serde(rename = "centre_peak_worst")]
    pub central_peak_worst: f64,
}

/// Counts of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunRow {
    /// The scenario's name.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Gateways at the start.
    pub gateways: usize,
    /// Servers over the run.
    pub servers: usize,
    /// RPCs that were measured.
    pub rpcs: usize,
    /// Answered ok.
    pub ok: usize,
    /// Rejected: 429 or 503.
    #[serde(rename = "pushed_back")]
    pub rejected: usize,
    /// Any other answer.
    pub failed: usize,
    /// Their connection broke.
    pub cut: usize,
    /// No gateway took the connection.
    pub unreached: usize,
    /// Without an answer.
    pub lost: usize,
    /// Answers that no RPC waited for.
    #[serde(rename = "extra_answers")]
    pub unexpected_answers: u64,
    /// RPCs that may run once only and ran twice.
    #[serde(rename = "twice")]
    pub executed_twice: usize,
    /// Attempts at servers.
    #[serde(rename = "call_outs")]
    pub attempts: usize,
    /// Attempts that a full server turned away.
    #[serde(rename = "turned_away")]
    pub refused_attempts: usize,
    /// 5 s windows of single servers that were ready and got nothing while the mean was above 2 RPCs a second.
    #[serde(rename = "idle")]
    pub idle_server_windows: usize,
    /// Gateways that sent to a server before the first fault: lowest, mean and highest.
    #[serde(rename = "parts_least")]
    pub gateways_per_server_min: usize,
    /// The mean of it.
    #[serde(rename = "parts_mean")]
    pub gateways_per_server_mean: f64,
    /// The highest of it.
    #[serde(rename = "parts_most")]
    pub gateways_per_server_max: usize,
    /// The busiest gateway's RPCs over the mean.
    pub gateway_peak: f64,
    /// Median latency of ok answers, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// Calls that the counter got.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Bytes of lists that discovery sent.
    pub list_bytes: u64,
    /// Gateways that ended unasked, or badly.
    pub crashed: usize,
    /// How late the front sent, median, milliseconds.
    pub late_p50_ms: f64,
    /// 99th percentile of it.
    pub late_p99_ms: f64,
    /// The highest of it.
    #[serde(rename = "late_most_ms")]
    pub late_max_ms: f64,
    /// The front was too late: the figures are worth nothing.
    pub void: bool,
}

#[derive(Clone, Debug, Serialize)]
struct WindowRow {
    t_s: f64,
    quantity: &'static str,
    mean: f64,
    peak: f64,
    least: f64,
    chance_peak: f64,
    centre_peak: f64,
}

#[derive(Clone, Debug, Serialize)]
struct ServerRow {
    server: usize,
    weight: f64,
    rpcs: usize,
    turned_away: usize,
    gateways: usize,
}

#[derive(Clone, Debug, Serialize)]
struct GatewayRow {
    gateway: usize,
    rpcs: usize,
    call_outs: usize,
    servers: usize,
}

fn ms(span: Nanos) -> f64 {
    round(span as f64 / MS as f64)
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// The RPCs at the servers as they were, and where two references would have sent them.
struct Arrivals {
    seen: Vec<ServerRpc>,
    by_chance: Vec<Vec<ServerRpc>>,
    by_centre: Vec<ServerRpc>,
}

impl Arrivals {
    fn compute(scenario: &Scenario, outcome: &RunResult) -> Arrivals {
        let seen = accepted_rpcs(&outcome.server_rpcs, outcome.measured_until + 10 * SEC);
        let by_centre = assign_to_least_loaded(&outcome.servers, &seen);
        let drawn = |nth| assign_at_random(&outcome.servers, &seen, scenario.seed ^ nth << 32);
        let by_chance = (0..CHANCES).map(drawn).collect();
        Arrivals { seen, by_chance, by_centre }
    }
}

/// The row of a part of the run, a width of windows and a quantity; none where there is no window.
fn spread_row(
    scenario: &Scenario,
    outcome: &RunResult,
    arrivals: &Arrivals,
    part: &'static str,
    frame: WindowSeries,
    quantity: Quantity,
) -> Option<SpreadRow> {
    let windows = |visits: &[ServerRpc]| frame.windows(&outcome.servers, visits, quantity);
    let has_references = quantity != Quantity::Connections;
    let seen = match has_references {
        true => windows(&arrivals.seen),
        false => frame.connections(&outcome.servers, &outcome.open_connections),
    };
    if seen.is_empty() {
        return None;
    }
    let reference = |several: &[Vec<ServerRpc>]| {
        if !has_references {
            return Spread::default();
        }
        let spreads: Vec<Spread> = several.iter().map(|one| Spread::of(&windows(one))).collect();
        Spread::median(&spreads)
    };
    let chance = reference(&arrivals.by_chance);
    let centre = reference(std::slice::from_ref(&arrivals.by_centre));
    let spread = Spread::of(&seen);
    let mean = seen.iter().map(Window::mean).sum::<f64>() / seen.len() as f64;
    Some(SpreadRow {
        scenario: scenario.name.clone(),
        phase: part,
        window_s: frame.width as f64 / SEC as f64,
        quantity: quantity.name(),
        windows: seen.len(),
        mean: round(mean),
        peak: round(spread.peak),
        peak_worst: round(spread.peak_worst),
        p99: round(spread.p99),
        least: round(spread.least),
        least_worst: round(spread.least_worst),
        random_peak: round(chance.peak),
        random_peak_worst: round(chance.peak_worst),
        random_least: round(chance.least),
        random_least_worst: round(chance.least_worst),
        central_peak: round(centre.peak),
        central_peak_worst: round(centre.peak_worst),
    })
}

/// A row for each window, beside both references.
fn window_rows(
    outcome: &RunResult,
    arrivals: &Arrivals,
    frame: WindowSeries,
    quantity: Quantity,
) -> Vec<WindowRow> {
    let windows = |visits: &[ServerRpc]| frame.windows(&outcome.servers, visits, quantity);
    let references = windows(&arrivals.by_chance[0]).into_iter().zip(windows(&arrivals.by_centre));
    let rows = windows(&arrivals.seen).into_iter().zip(references);
    let row = |(seen, (chance, centre)): (Window, (Window, Window))| {
        let spread = seen.spread()?;
        Some(WindowRow {
            t_s: round((seen.from - outcome.measured_from) as f64 / SEC as f64),
            quantity: quantity.name(),
            mean: round(seen.mean()),
            peak: round(spread[0]),
            least: round(spread[2]),
            chance_peak: round(chance.spread()?[0]),
            centre_peak: round(centre.spread()?[0]),
        })
    };
    rows.filter_map(row).collect()
}

/// All that is worked out of a run.
pub struct Figures {
    /// Counts of the run.
    pub run: RunRow,
    /// How evenly the load came, by part, window and quantity.
    pub spreads: Vec<SpreadRow>,
    windows: Vec<WindowRow>,
    servers: Vec<ServerRow>,
    gateways: Vec<GatewayRow>,
}

impl Figures {
    /// The row for a part (`health` or `fault`), window width in seconds and quantity.
    pub fn spread(&self, part: &str, window_s: f64, quantity: Quantity) -> Option<&SpreadRow> {
        let is = |row: &&SpreadRow| {
            row.phase == part && row.window_s == window_s && row.quantity == quantity.name()
        };
        self.spreads.iter().find(is)
    }

    /// Works the figures out.
    pub fn compute(scenario: &Scenario, outcome: &RunResult) -> Figures {
        let arrivals = Arrivals::compute(scenario, outcome);
        let until = outcome.first_fault_at.unwrap_or(outcome.measured_until);
        let mut spreads = Vec::new();
        for (part, from, to) in
            [("health", outcome.measured_from, until), ("fault", until, outcome.measured_until)]
        {
            for width in [SEC, 5 * SEC] {
                let frame = WindowSeries { from, to, width };
                let row = |quantity| spread_row(scenario, outcome, &arrivals, part, frame, quantity);
                spreads.extend(Quantity::ALL.into_iter().filter_map(row));
            }
        }
        let whole = WindowSeries { from: outcome.measured_from, to: outcome.measured_until, width: 5 * SEC };
        let idle = count_idle_servers(
            &whole.windows(&outcome.servers, &arrivals.seen, Quantity::Rpcs),
            IDLE_ABOVE * 5.0,
        );
        let seconds = WindowSeries { width: SEC, ..whole };
        let windows = [Quantity::Rpcs, Quantity::Held].into_iter();
        Figures {
            run: run_row(scenario, outcome, until, idle),
            spreads,
            windows: windows
                .flat_map(|quantity| window_rows(outcome, &arrivals, seconds, quantity))
                .collect(),
            servers: server_rows(outcome),
            gateways: gateway_rows(outcome),
        }
    }

    /// Writes all tables and charts into a directory.
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
                line("pure chance, busiest", |row| row.chance_peak),
                line("one dispatcher, busiest", |row| row.centre_peak),
            ];
            let title =
                format!("{}: {quantity} of a server over the mean, windows of 1 s", self.run.scenario);
            chart(&dir.join(format!("{quantity}.svg")), &title, "seconds", "over the mean", &lines)?;
        }
        let mut shares: Vec<f64> = self.servers.iter().map(|row| row.rpcs as f64 / row.weight).collect();
        shares.sort_by(f64::total_cmp);
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        let line: Vec<(f64, f64)> =
            shares.iter().enumerate().map(|(at, share)| (at as f64, share / mean.max(1e-9))).collect();
        let title = format!("{}: servers by RPCs over the mean, the whole run", self.run.scenario);
        chart(
            &dir.join("servers.svg"),
            &title,
            "servers in order",
            "over the mean",
            &[("measured".into(), line)],
        )
    }

    /// The figures for a person.
    pub fn summary_text(&self) -> String {
        let run = &self.run;
        let mut text = format!(
            "{}: {} gateways, {} servers, {} RPCs: {} ok, {} pushed back, {} failed, {} cut, {} unreached, {} lost; \
             {} call-outs, {} turned away, {} ran twice; p50 {} ms, p99 {} ms\n\
             parts {} / {:.1} / {}, idle servers {}, busiest gateway {:.2} of the mean, crashed {}, \
             front late p99 {} ms, at most {} ms{}\n\
             part    win quantity     mean | peak  worst | p99   | least worst | chance peak worst least worst | centre peak worst\n",
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

fn run_row(scenario: &Scenario, outcome: &RunResult, until: Nanos, idle: usize) -> RunRow {
    let calls: Vec<_> =
        outcome.client_rpcs.iter().filter(|call| call.scheduled_at >= outcome.measured_from).collect();
    let count = |end: End| calls.iter().filter(|call| call.outcome == end).count();
    let mut times: Vec<Nanos> = calls
        .iter()
        .filter(|call| call.outcome == End::Ok)
        .map(|call| call.ended_at - call.scheduled_at)
        .collect();
    times.sort_unstable();
    let quantile = |share: f64| {
        let at = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
        ms(times.get(at).copied().unwrap_or(0))
    };
    // What ran: an RPC may do so once, unless its class says otherwise. Work of a server that died may have been done.
    let once = |txn: u64| {
        let call = outcome.client_rpcs.get((txn & 0xffff_ffff_ffff) as usize);
        call.is_some_and(|call| !outcome.methods[call.method].1)
    };
    let mut ran: BTreeMap<u64, usize> = BTreeMap::new();
    for row in outcome.server_rpcs.iter().filter(|row| row.outcome != RpcOutcome::TurnedAway && once(row.txn))
    {
        *ran.entry(row.txn).or_default() += 1;
    }
    let (least, mean, most) =
        gateways_per_server(&outcome.servers, &outcome.server_rpcs, outcome.measured_from, until);
    let (p50, p99, late_most) = lateness(&outcome.client_rpcs);
    let mut at_gateway = vec![0usize; outcome.log_lines.len()];
    calls.iter().for_each(|call| at_gateway[call.gateway.min(outcome.log_lines.len() - 1)] += 1);
    let busiest = at_gateway.iter().max().copied().unwrap_or(0) as f64;
    RunRow {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        gateways: outcome.log_lines.len(),
        servers: outcome.servers.len(),
        rpcs: calls.len(),
        ok: count(End::Ok),
        rejected: count(End::PushedBack),
        failed: count(End::Failed),
        cut: count(End::Cut),
        unreached: count(End::Unreached),
        lost: count(End::Lost) + count(End::Open),
        unexpected_answers: outcome.unexpected_answers,
        executed_twice: ran.values().filter(|count| **count > 1).count(),
        attempts: outcome.server_rpcs.len(),
        refused_attempts: outcome
            .server_rpcs
            .iter()
            .filter(|row| row.outcome == RpcOutcome::TurnedAway)
            .count(),
        idle_server_windows: idle,
        gateways_per_server_min: least,
        gateways_per_server_mean: round(mean),
        gateways_per_server_max: most,
        gateway_peak: round(busiest * outcome.log_lines.len() as f64 / calls.len().max(1) as f64),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        counter_calls: outcome.counter_calls,
        list_bytes: outcome.list_bytes,
        crashed: outcome.crashed.len(),
        late_p50_ms: ms(p50),
        late_p99_ms: ms(p99),
        late_max_ms: ms(late_most),
        void: p99 > MAX_LATENESS,
    }
}

fn server_rows(outcome: &RunResult) -> Vec<ServerRow> {
    let rows = |at: usize| outcome.server_rpcs.iter().filter(move |row| row.server as usize == at);
    let row = |(at, server): (usize, &crate::measure::ServerHistory)| {
        let gateways: std::collections::BTreeSet<usize> = rows(at).map(|row| row.gateway()).collect();
        ServerRow {
            server: at,
            weight: server.weight,
            rpcs: rows(at).count(),
            turned_away: rows(at).filter(|row| row.outcome == RpcOutcome::TurnedAway).count(),
            gateways: gateways.len(),
        }
    };
    outcome.servers.iter().enumerate().map(row).collect()
}

fn gateway_rows(outcome: &RunResult) -> Vec<GatewayRow> {
    let mut met: Vec<(usize, std::collections::BTreeSet<u32>)> =
        vec![Default::default(); outcome.log_lines.len()];
    for row in &outcome.server_rpcs {
        if let Some(at) = met.get_mut(row.gateway()) {
            at.0 += 1;
            at.1.insert(row.server);
        }
    }
    let mut calls = vec![0; outcome.log_lines.len()];
    outcome.client_rpcs.iter().for_each(|call| calls[call.gateway.min(outcome.log_lines.len() - 1)] += 1);
    let row = |(gateway, (call_outs, servers)): (usize, (usize, std::collections::BTreeSet<u32>))| {
        GatewayRow { gateway, rpcs: calls[gateway], call_outs, servers: servers.len() }
    };
    met.into_iter().enumerate().map(row).collect()
}
