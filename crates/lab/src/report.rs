//! Tables and charts: a CSV of rows over time for each run, one summary row for each run, and SVG charts drawn
//! from those CSV files alone, so that a report can be made again from kept results.

use crate::policies::PolicyKind;
use crate::record::{Counts, Record};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// One row of a run's table over time.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TimeRow {
    /// When the row begins, seconds.
    #[serde(rename = "t_s")]
    pub start_s: f64,
    /// RPCs that arrived.
    pub arrived: u64,
    /// Answered ok.
    pub ok: u64,
    /// Rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Aborted.
    pub aborted: u64,
    /// Without an answer.
    pub lost: u64,
    /// Given up by their clients.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// At a gateway that was killed, or with no gateway to reach.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Attempts at servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Calls to the counter.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Calls to the counter without an answer in time.
    #[serde(rename = "count_missed")]
    pub counter_timeouts: u64,
    /// Utility asked for.
    #[serde(rename = "asked")]
    pub utility_asked: f64,
    /// Utility served.
    #[serde(rename = "served")]
    pub utility_served: f64,
    /// Utility served over utility asked.
    pub service: f64,
    /// Median latency of ok answers, milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of it.
    pub p95_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// Gateways that take clients.
    pub gateways_up: u32,
    /// RPCs that are kept.
    pub live: u64,
}

/// One run in one line. Every field but the last two comes from the emulated clock: the same scenario and seed
/// give the same line. In a sweep, `parameter` and `value` say what was set, and `wall_ms` and `events_per_s` what
/// the run took on this machine; a single run leaves them empty and nought.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Summary {
    /// The parameter of a sweep.
    pub parameter: String,
    /// The parameter's value.
    pub value: String,
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The scenario's seed.
    pub seed: u64,
    /// Gateways of the fleet.
    pub gateways: u32,
    /// Servers of the fleet.
    pub servers: u32,
    /// RPCs that arrived.
    pub arrived: u64,
    /// Answered ok.
    pub ok: u64,
    /// Rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Aborted.
    pub aborted: u64,
    /// Without an answer.
    pub lost: u64,
    /// Given up by their clients.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// At a gateway that was killed, or with no gateway to reach.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Final answers beyond the first.
    #[serde(rename = "twice")]
    pub duplicate_answers: u64,
    /// Attempts at servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Utility served over utility asked.
    pub service: f64,
    /// Median latency of ok answers, milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of it.
    pub p95_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// Windows in which a customer sent on anything.
    pub overshoot_windows: u64,
    /// Windows over 5% of the allowance.
    #[serde(rename = "overshoot_over_5")]
    pub overshoot_over_5_percent: u64,
    /// The largest overshoot.
    pub overshoot_largest: f64,
    /// Units beyond allowances, over all units.
    #[serde(rename = "beyond_share")]
    pub excess_share: f64,
    /// Emulated events.
    pub events: u64,
    /// The most RPCs kept at once.
    #[serde(rename = "live_most")]
    pub max_live: u64,
    /// What the run took, milliseconds.
    pub wall_ms: u64,
    /// Emulated events per second of wall time.
    pub events_per_s: u64,
}

fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

impl Summary {
    /// The summary of a run.
    pub fn of(scenario: &crate::scenario::Scenario, kind: PolicyKind, record: &Record) -> Summary {
        let Counts {
            arrived,
            ok,
            rejected,
            aborted,
            lost,
            abandoned,
            disconnected,
            duplicate_answers,
            attempts,
            ..
        } = record.total;
        let quantile = |q| round(Record::quantile_ms(&record.latency, q));
        Summary {
            parameter: String::new(),
            value: String::new(),
            scenario: scenario.name.clone(),
            policy: kind.name().to_string(),
            seed: scenario.seed,
            gateways: scenario.gateways,
            servers: scenario.servers.count,
            arrived,
            ok,
            rejected,
            aborted,
            lost,
            abandoned,
            disconnected,
            duplicate_answers,
            attempts,
            service: round(record.total.service()),
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            overshoot_windows: record.overshoot.windows,
            overshoot_over_5_percent: record.overshoot.over_5_percent,
            overshoot_largest: round(record.overshoot.largest),
            excess_share: round(record.overshoot.excess_share),
            events: record.events,
            max_live: record.max_live,
            wall_ms: 0,
            events_per_s: 0,
        }
    }
}

/// The rows of a run as a table.
pub fn time_rows(record: &Record) -> Vec<TimeRow> {
    let quantile = |row: &crate::record::Row, q| round(Record::quantile_ms(&row.latency, q));
    (record.rows.iter())
        .map(|row| TimeRow {
            start_s: row.start as f64 / 1e9,
            arrived: row.counts.arrived,
            ok: row.counts.ok,
            rejected: row.counts.rejected,
            aborted: row.counts.aborted,
            lost: row.counts.lost,
            abandoned: row.counts.abandoned,
            disconnected: row.counts.disconnected,
            attempts: row.counts.attempts,
            counter_calls: row.counts.counter_calls,
            counter_timeouts: row.counts.counter_timeouts,
            utility_asked: round(row.counts.utility_asked),
            utility_served: round(row.counts.utility_served),
            service: round(row.counts.service()),
            p50_ms: quantile(row, 0.5),
            p95_ms: quantile(row, 0.95),
            p99_ms: quantile(row, 0.99),
            gateways_up: row.gateways_up,
            live: row.live,
        })
        .collect()
}

/// Writes any serialisable rows as CSV.
pub fn write_csv<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), String> {
    let shown = path.display();
    let mut writer = csv::Writer::from_path(path).map_err(|e| format!("{shown}: {e}"))?;
    for row in rows {
        writer.serialize(row).map_err(|e| format!("{shown}: {e}"))?;
    }
    writer.flush().map_err(|e| format!("{shown}: {e}"))
}

/// Reads a table that was written before.
pub fn read_csv<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<Vec<T>, String> {
    let shown = path.display();
    let mut reader = csv::Reader::from_path(path).map_err(|e| format!("{shown}: {e}"))?;
    reader.deserialize().map(|row| row.map_err(|e| format!("{shown}: {e}"))).collect()
}

/// The table of one run's rows: `DIR/SCENARIO-POLICY.csv`.
pub fn run_table_path(dir: &Path, scenario: &str, kind: PolicyKind) -> PathBuf {
    dir.join(format!("{scenario}-{}.csv", kind.name()))
}

type Series = (String, Vec<(f64, f64)>);

/// Draws lines on one chart into an SVG file.
pub fn draw_line_chart(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), String> {
    let shown = path.display().to_string();
    let fail = |e: &dyn std::fmt::Display| format!("{shown}: {e}");
    let points = series.iter().flat_map(|(_, points)| points.iter());
    let (mut x_most, mut y_most) = (1e-9_f64, 1e-9_f64);
    let (mut x_least, mut y_least) = (f64::MAX, 0.0_f64);
    for &(x, y) in points {
        (x_most, y_most, x_least, y_least) = (x_most.max(x), y_most.max(y), x_least.min(x), y_least.min(y));
    }
    let x_least = if x_least == f64::MAX { 0.0 } else { x_least };
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fail(&e))?;
    let mut drawn = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(x_least..x_most.max(x_least + 1e-9), y_least..y_most * 1.05)
        .map_err(|e| fail(&e))?;
    drawn.configure_mesh().x_desc(x_label).y_desc(y_label).draw().map_err(|e| fail(&e))?;
    for (at, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        drawn
            .draw_series(line)
            .map_err(|e| fail(&e))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    drawn
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| fail(&e))?;
    root.present().map_err(|e| fail(&e))
}

/// Charts of all runs' tables in a directory: utility served, pushbacks and aborts, latency, over time.
pub fn draw_run_charts(dir: &Path) -> Result<Vec<PathBuf>, String> {
    let summaries: Vec<Summary> = read_csv(&dir.join("summary.csv"))?;
    let mut tables = Vec::new();
    for summary in &summaries {
        let kind = PolicyKind::parse(&summary.policy)?;
        let rows: Vec<TimeRow> = read_csv(&run_table_path(dir, &summary.scenario, kind))?;
        tables.push((format!("{} {}", summary.scenario, summary.policy), rows));
    }
    let series = |pick: &dyn Fn(&TimeRow) -> f64| -> Vec<Series> {
        let each = tables
            .iter()
            .map(|(name, rows)| (name.clone(), rows.iter().map(|row| (row.start_s, pick(row))).collect()));
        each.collect()
    };
    let mut made = Vec::new();
    let mut draw = |file: &str, title: &str, y: &str, lines: Vec<Series>| -> Result<(), String> {
        let path = dir.join(file);
        draw_line_chart(&path, title, "emulated seconds", y, &lines)?;
        made.push(path);
        Ok(())
    };
    draw("service.svg", "utility served over utility asked", "share", series(&|row| row.service))?;
    let mut ends = series(&|row| row.rejected as f64);
    ends.iter_mut().for_each(|line| line.0 += " pushed back");
    let mut aborted = series(&|row| (row.aborted + row.lost) as f64);
    aborted.iter_mut().for_each(|line| line.0 += " aborted or lost");
    ends.extend(aborted);
    draw("ends.svg", "RPCs pushed back, aborted or lost, per row", "RPCs", ends)?;
    let mut latency = series(&|row| row.p50_ms);
    latency.iter_mut().for_each(|line| line.0 += " p50");
    let mut p99 = series(&|row| row.p99_ms);
    p99.iter_mut().for_each(|line| line.0 += " p99");
    latency.extend(p99);
    draw("latency.svg", "latency of ok answers", "ms", latency)?;
    Ok(made)
}
