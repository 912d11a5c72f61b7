//! Writes the results of runs as CSV tables and draws SVG charts from them.
//!
//! Each run has a table of time buckets and one row in the summary. Charts are drawn from the CSV files alone, so
//! that a report can be rebuilt from stored results.

use crate::policies::PolicyKind;
use crate::record::{Counts, Record};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// One time bucket of a run, as a row of its CSV table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TimeRow {
    /// Start of the bucket, in seconds.
    #[serde(rename = "t_s")]
    pub start_s: f64,
    /// RPCs that arrived.
    pub arrived: u64,
    /// RPCs answered ok.
    pub ok: u64,
    /// RPCs that the gateway rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// RPCs that the gateway aborted.
    pub aborted: u64,
    /// RPCs without an answer half a second after their deadline.
    pub lost: u64,
    /// RPCs that their clients gave up before an answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// RPCs held by a gateway that was killed, or that found no gateway to accept them.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Attempts sent to servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Calls to the shared counter.
    #[serde(rename = "count_calls")]
    pub counter_calls: u64,
    /// Calls to the shared counter that got no answer in time.
    #[serde(rename = "count_missed")]
    pub counter_timeouts: u64,
    /// Sum of the credits of all RPCs that arrived.
    #[serde(rename = "asked")]
    pub utility_asked: f64,
    /// Utility earned by ok answers before their deadlines.
    #[serde(rename = "served")]
    pub utility_served: f64,
    /// Ratio of utility served to utility asked; 1 if none was asked.
    pub service: f64,
    /// Median latency of ok answers, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the latency of ok answers, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the latency of ok answers, in milliseconds.
    pub p99_ms: f64,
    /// Gateways that accept clients at the end of the bucket.
    pub gateways_up: u32,
    /// RPCs that the emulator tracks at the end of the bucket.
    pub live: u64,
}

/// Summary of one run.
///
/// All fields but the last two derive from the emulated clock, so the same scenario and seed give the same row. A
/// sweep sets `parameter` and `value`, and measures `wall_ms` and `events_per_s` on this machine; a single run leaves
/// them empty or 0.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Summary {
    /// Dotted path of the parameter that a sweep varies.
    pub parameter: String,
    /// Value of the parameter.
    pub value: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of servers.
    pub servers: u32,
    /// RPCs that arrived.
    pub arrived: u64,
    /// RPCs answered ok.
    pub ok: u64,
    /// RPCs that the gateway rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// RPCs that the gateway aborted.
    pub aborted: u64,
    /// RPCs without an answer half a second after their deadline.
    pub lost: u64,
    /// RPCs that their clients gave up before an answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// RPCs held by a gateway that was killed, or that found no gateway to accept them.
    #[serde(rename = "cut")]
    pub disconnected: u64,
    /// Final answers to RPCs that already had one.
    #[serde(rename = "twice")]
    pub duplicate_answers: u64,
    /// Attempts sent to servers.
    #[serde(rename = "call_outs")]
    pub attempts: u64,
    /// Ratio of utility served to utility asked; 1 if none was asked.
    pub service: f64,
    /// Median latency of ok answers, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the latency of ok answers, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the latency of ok answers, in milliseconds.
    pub p99_ms: f64,
    /// Customer windows in which any units were forwarded to servers.
    pub overshoot_windows: u64,
    /// Windows that exceed the plan's allowance by more than 5%.
    #[serde(rename = "overshoot_over_5")]
    pub overshoot_over_5_percent: u64,
    /// Largest overshoot of any window, as a share of the allowance.
    pub overshoot_largest: f64,
    /// Units forwarded beyond the allowances, as a share of all units forwarded.
    #[serde(rename = "beyond_share")]
    pub excess_share: f64,
    /// Emulated events processed.
    pub events: u64,
    /// Largest number of RPCs that the emulator tracked at the end of any bucket.
    #[serde(rename = "live_most")]
    pub max_live: u64,
    /// Wall time of the run, in milliseconds.
    pub wall_ms: u64,
    /// Emulated events per second of wall time.
    pub events_per_s: u64,
}

/// Rounds to six decimal places.
fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

impl Summary {
    /// Summarises a run.
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

/// Converts the time buckets of a run to rows of its table.
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

/// Writes rows as a CSV file with a header.
pub fn write_csv<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), String> {
    let shown = path.display();
    let mut writer = csv::Writer::from_path(path).map_err(|e| format!("{shown}: {e}"))?;
    for row in rows {
        writer.serialize(row).map_err(|e| format!("{shown}: {e}"))?;
    }
    writer.flush().map_err(|e| format!("{shown}: {e}"))
}

/// Reads a table written by [`write_csv`].
pub fn read_csv<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<Vec<T>, String> {
    let shown = path.display();
    let mut reader = csv::Reader::from_path(path).map_err(|e| format!("{shown}: {e}"))?;
    reader.deserialize().map(|row| row.map_err(|e| format!("{shown}: {e}"))).collect()
}

/// Path of the table of one run: `DIR/SCENARIO-POLICY.csv`.
pub fn run_table_path(dir: &Path, scenario: &str, kind: PolicyKind) -> PathBuf {
    dir.join(format!("{scenario}-{}.csv", kind.name()))
}

/// Label and points of one line of a chart.
type Series = (String, Vec<(f64, f64)>);

/// Draws a line chart as an SVG file.
pub fn draw_line_chart(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), String> {
    let shown = path.display().to_string();
    let error = |e: &dyn std::fmt::Display| format!("{shown}: {e}");
    let points = series.iter().flat_map(|(_, points)| points.iter());
    let (mut x_max, mut y_max) = (1e-9_f64, 1e-9_f64);
    let (mut x_min, mut y_min) = (f64::MAX, 0.0_f64);
    for &(x, y) in points {
        (x_max, y_max, x_min, y_min) = (x_max.max(x), y_max.max(y), x_min.min(x), y_min.min(y));
    }
    let x_min = if x_min == f64::MAX { 0.0 } else { x_min };
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| error(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(x_min..x_max.max(x_min + 1e-9), y_min..y_max * 1.05)
        .map_err(|e| error(&e))?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw().map_err(|e| error(&e))?;
    for (index, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(|e| error(&e))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| error(&e))?;
    root.present().map_err(|e| error(&e))
}

/// Draws charts over time of all runs in a directory: utility, unsuccessful RPCs and latency. Returns their paths.
pub fn draw_run_charts(dir: &Path) -> Result<Vec<PathBuf>, String> {
    let summaries: Vec<Summary> = read_csv(&dir.join("summary.csv"))?;
    let mut tables = Vec::new();
    for summary in &summaries {
        let kind = PolicyKind::parse(&summary.policy)?;
        let rows: Vec<TimeRow> = read_csv(&run_table_path(dir, &summary.scenario, kind))?;
        tables.push((format!("{} {}", summary.scenario, summary.policy), rows));
    }
    let series_of = |value: &dyn Fn(&TimeRow) -> f64| -> Vec<Series> {
        let labelled = tables
            .iter()
            .map(|(name, rows)| (name.clone(), rows.iter().map(|row| (row.start_s, value(row))).collect()));
        labelled.collect()
    };
    let mut paths = Vec::new();
    let mut draw = |file: &str, title: &str, y_label: &str, series: Vec<Series>| -> Result<(), String> {
        let path = dir.join(file);
        draw_line_chart(&path, title, "emulated seconds", y_label, &series)?;
        paths.push(path);
        Ok(())
    };
    draw("service.svg", "ratio of utility served to utility asked", "ratio", series_of(&|row| row.service))?;
    let mut unsuccessful = series_of(&|row| row.rejected as f64);
    unsuccessful.iter_mut().for_each(|series| series.0 += " rejected");
    let mut aborted = series_of(&|row| (row.aborted + row.lost) as f64);
    aborted.iter_mut().for_each(|series| series.0 += " aborted or lost");
    unsuccessful.extend(aborted);
    draw("ends.svg", "RPCs rejected, aborted or lost, per time bucket", "RPCs", unsuccessful)?;
    let mut latency = series_of(&|row| row.p50_ms);
    latency.iter_mut().for_each(|series| series.0 += " p50");
    let mut p99 = series_of(&|row| row.p99_ms);
    p99.iter_mut().for_each(|series| series.0 += " p99");
    latency.extend(p99);
    draw("latency.svg", "latency of ok answers", "ms", latency)?;
    Ok(paths)
}
