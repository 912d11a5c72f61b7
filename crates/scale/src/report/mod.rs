//! Writes the results of `slopes` as tables and a chart.
//!
//! `slopes.csv` has a row for each cost and size, `fits.csv` a row for each figure of a cost, and `slopes.svg` a panel
//! for each family. The chart depends only on the tables.

mod chart;

use crate::ScaleError;
use crate::fit::fit;
use crate::measure::Figures;
use crate::slopes::Cost;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::{Path, PathBuf};

const SLOPES_FILE: &str = "slopes.csv";
const FITS_FILE: &str = "fits.csv";
const CHART_FILE: &str = "slopes.svg";
const FAILED_PREFIX: &str = "failed";

/// Arguments of `martenramp-scale report`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The folder whose tables are fitted and redrawn.
    #[arg(default_value = "docs/scale-results")]
    pub folder: PathBuf,
}

/// The result of measuring a size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    Measured,
    /// Skipped (`cut off` in the tables): it was predicted to exceed a limit, or the run's CPU time was spent.
    CutOff(String),
    /// The program rejects input of this size with this reason code.
    Refused(String),
    /// The measurement failed.
    Failed(String),
}

impl Status {
    fn to_text(&self) -> String {
        match self {
            Status::Measured => "measured".to_string(),
            Status::CutOff(why) => format!("cut off: {why}"),
            Status::Refused(why) => format!("refused: {why}"),
            Status::Failed(why) => format!("{FAILED_PREFIX}: {why}"),
        }
    }
}

/// The figures of one operation of a cost at a size; zero for a size that was not measured.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub family: String,
    pub cost: String,
    pub size_name: String,
    pub held: String,
    pub size: u64,
    pub status: String,
    pub steps: usize,
    pub cpu_ns: f64,
    pub allocations: f64,
    pub allocated_bytes: f64,
    pub rest_bytes: f64,
    pub peak_bytes: f64,
    pub sent_messages: f64,
    pub sent_bytes: f64,
    pub received_messages: f64,
    pub received_bytes: f64,
}

impl Row {
    /// Creates the row of a cost at a size.
    pub fn new(cost: &Cost, size: u64, status: Status, figures: Figures) -> Row {
        Row {
            family: cost.family.to_string(),
            cost: cost.name.to_string(),
            size_name: cost.size_name.to_string(),
            held: cost.fixed_sizes.clone(),
            size,
            status: status.to_text(),
            steps: figures.steps,
            cpu_ns: round_to_thousandths(figures.cpu_ns),
            allocations: round_to_thousandths(figures.allocations),
            allocated_bytes: round_to_thousandths(figures.allocated_bytes),
            rest_bytes: round_to_thousandths(figures.rest_bytes),
            peak_bytes: round_to_thousandths(figures.peak_bytes),
            sent_messages: round_to_thousandths(figures.sent_messages),
            sent_bytes: round_to_thousandths(figures.sent_bytes),
            received_messages: round_to_thousandths(figures.received_messages),
            received_bytes: round_to_thousandths(figures.received_bytes),
        }
    }

    fn is_measured(&self) -> bool {
        self.status == Status::Measured.to_text()
    }

    /// Whether the measurement failed.
    pub fn has_failed(&self) -> bool {
        self.status.starts_with(FAILED_PREFIX)
    }

    fn is_same_series(&self, other: &Row) -> bool {
        (&self.cost, &self.size_name, &self.held) == (&other.cost, &other.size_name, &other.held)
    }
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// The fitted growth of one figure of a cost.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FitRow {
    pub family: String,
    pub cost: String,
    pub size_name: String,
    pub held: String,
    pub figure: String,
    /// Over all measured sizes, with the root mean square of the residuals in log10 units.
    pub exponent: f64,
    pub residual: f64,
    /// Exponent between the two largest sizes alone.
    pub last_exponent: f64,
    pub sizes: usize,
    pub largest_size: u64,
    /// The figure at the largest size.
    pub largest: f64,
    /// The smallest size that was not measured, and why; empty if all were measured.
    pub not_measured_from: String,
}

/// A figure's name in the tables and its value in a row.
type Figure = (&'static str, fn(&Row) -> f64);

const FIGURES: [Figure; 9] = [
    ("cpu_ns", |row| row.cpu_ns),
    ("allocations", |row| row.allocations),
    ("allocated_bytes", |row| row.allocated_bytes),
    ("rest_bytes", |row| row.rest_bytes),
    ("peak_bytes", |row| row.peak_bytes),
    ("sent_messages", |row| row.sent_messages),
    ("sent_bytes", |row| row.sent_bytes),
    ("received_messages", |row| row.received_messages),
    ("received_bytes", |row| row.received_bytes),
];

/// Fits every figure of every cost that was measured at two or more sizes.
pub fn fits(rows: &[Row]) -> Vec<FitRow> {
    let costs = rows.chunk_by(Row::is_same_series);
    costs.flat_map(|rows| FIGURES.iter().filter_map(|figure| fit_row(rows, figure))).collect()
}

fn fit_row(rows: &[Row], (name, value): &Figure) -> Option<FitRow> {
    let measured: Vec<&Row> = rows.iter().filter(|row| row.is_measured()).collect();
    let points: Vec<(f64, f64)> = measured.iter().map(|row| (row.size as f64, value(row))).collect();
    let fit = fit(&points)?;
    let last = measured.last()?;
    let first_unmeasured = rows.iter().find(|row| !row.is_measured());
    Some(FitRow {
        family: last.family.clone(),
        cost: last.cost.clone(),
        size_name: last.size_name.clone(),
        held: last.held.clone(),
        figure: name.to_string(),
        exponent: round_to_thousandths(fit.exponent),
        residual: round_to_thousandths(fit.residual),
        last_exponent: round_to_thousandths(fit.last_exponent),
        sizes: points.len(),
        largest_size: last.size,
        largest: value(last),
        not_measured_from: first_unmeasured
            .map_or(String::new(), |row| format!("{} {}", row.size, row.status)),
    })
}

/// Fits the existing tables again and redraws the chart.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let rows: Vec<Row> = read_csv(&args.folder.join(SLOPES_FILE))?;
    let fits = fits(&rows);
    write(&args.folder, &rows, &fits)?;
    print!("{}", summary(&fits));
    println!("wrote {}", args.folder.display());
    Ok(())
}

/// Creates the output folder; called before anything is measured.
pub fn prepare_folder(folder: &Path) -> Result<(), ScaleError> {
    std::fs::create_dir_all(folder).map_err(|e| ScaleError::file(folder, e))
}

/// Writes the tables and the chart into an existing folder.
pub fn write(folder: &Path, rows: &[Row], fits: &[FitRow]) -> Result<(), ScaleError> {
    write_csv(&folder.join(SLOPES_FILE), rows)?;
    write_csv(&folder.join(FITS_FILE), fits)?;
    chart::draw(&folder.join(CHART_FILE), rows)
}

/// A readable summary of CPU time, memory and traffic of each cost.
pub fn summary(fits: &[FitRow]) -> String {
    let mut text = String::new();
    let figures = ["cpu_ns", "rest_bytes", "sent_messages", "received_bytes"];
    for fit in fits.iter().filter(|fit| figures.contains(&fit.figure.as_str())) {
        let cost = format!("{} by {} ({})", fit.cost, fit.size_name, fit.held);
        let _ = writeln!(
            text,
            "{cost:70} {:14} exponent {:6.3} residual {:.3} last {:6.3}; {:.1} at {}; {}",
            fit.figure,
            fit.exponent,
            fit.residual,
            fit.last_exponent,
            fit.largest,
            fit.largest_size,
            fit.not_measured_from
        );
    }
    text
}

/// Writes rows as a CSV file.
pub fn write_csv<T: Serialize>(file: &Path, rows: &[T]) -> Result<(), ScaleError> {
    let mut writer = csv::Writer::from_path(file).map_err(|e| ScaleError::file(file, e))?;
    rows.iter().try_for_each(|row| writer.serialize(row)).map_err(|e| ScaleError::file(file, e))?;
    writer.flush().map_err(|e| ScaleError::file(file, e))
}

fn read_csv<T: for<'de> Deserialize<'de>>(file: &Path) -> Result<Vec<T>, ScaleError> {
    let mut reader = csv::Reader::from_path(file).map_err(|e| ScaleError::file(file, e))?;
    reader.deserialize().collect::<Result<_, _>>().map_err(|e| ScaleError::file(file, e))
}
