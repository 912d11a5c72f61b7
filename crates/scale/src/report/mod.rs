//! Tables and charts of what was measured: `slopes.csv` (a row for each cost and size), `fits.csv` (a row for each figure of
//! a cost), `slopes.svg` (a panel for each family). A chart is drawn from the kept tables alone.

mod chart;

use crate::ScaleError;
use crate::fit::fit;
use crate::measure::Figures;
use crate::slopes::Cost;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::{Path, PathBuf};

const SLOPES: &str = "slopes.csv";
const FITS: &str = "fits.csv";
const CHART: &str = "slopes.svg";
const FAILED: &str = "failed";

/// Arguments of `martenramp-scale report`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The folder whose tables are fitted and drawn again.
    #[arg(default_value = "docs/scale-results")]
    pub folder: PathBuf,
}

/// What became of a size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    Measured,
    /// Left out, since it would have gone beyond a bound of the run.
    CutOff(String),
    /// The program does not take an input of this size, for this reason code.
    Refused(String),
    /// The measurement went wrong.
    Failed(String),
}

impl Status {
    fn shown(&self) -> String {
        match self {
            Status::Measured => "measured".to_string(),
            Status::CutOff(why) => format!("cut off: {why}"),
            Status::Refused(why) => format!("refused: {why}"),
            Status::Failed(why) => format!("{FAILED}: {why}"),
        }
    }
}

/// A cost at a size. Figures are those of one operation; of a size that was not measured they are nought.
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
    /// The figures of a cost at a size.
    pub fn of(cost: &Cost, size: u64, status: Status, figures: Figures) -> Row {
        Row {
            family: cost.family.to_string(),
            cost: cost.name.to_string(),
            size_name: cost.size_name.to_string(),
            held: cost.held.clone(),
            size,
            status: status.shown(),
            steps: figures.steps,
            cpu_ns: rounded(figures.cpu_ns),
            allocations: rounded(figures.allocations),
            allocated_bytes: rounded(figures.allocated_bytes),
            rest_bytes: rounded(figures.rest_bytes),
            peak_bytes: rounded(figures.peak_bytes),
            sent_messages: rounded(figures.sent_messages),
            sent_bytes: rounded(figures.sent_bytes),
            received_messages: rounded(figures.received_messages),
            received_bytes: rounded(figures.received_bytes),
        }
    }

    fn is_measured(&self) -> bool {
        self.status == Status::Measured.shown()
    }

    /// Whether its measurement went wrong.
    pub fn has_failed(&self) -> bool {
        self.status.starts_with(FAILED)
    }

    fn is_of(&self, other: &Row) -> bool {
        (&self.cost, &self.size_name, &self.held) == (&other.cost, &other.size_name, &other.held)
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// How one figure of a cost grows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FitRow {
    pub family: String,
    pub cost: String,
    pub size_name: String,
    pub held: String,
    pub figure: String,
    /// Over all sizes measured, with the root mean square of what the line misses (logarithm to base 10).
    pub exponent: f64,
    pub residual: f64,
    /// Between the two largest sizes alone.
    pub last_exponent: f64,
    pub sizes: usize,
    pub largest_size: u64,
    /// The figure at the largest size.
    pub largest: f64,
    /// The smallest size that was cut off or refused, and why; empty if all were measured.
    pub not_measured_from: String,
}

/// A figure by its name in the tables.
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

/// Fits every figure of every cost that has two sizes or more.
pub fn fits(rows: &[Row]) -> Vec<FitRow> {
    let costs = rows.chunk_by(Row::is_of);
    costs.flat_map(|rows| FIGURES.iter().filter_map(|figure| fit_row(rows, figure))).collect()
}

fn fit_row(rows: &[Row], (name, pick): &Figure) -> Option<FitRow> {
    let measured: Vec<&Row> = rows.iter().filter(|row| row.is_measured()).collect();
    let points: Vec<(f64, f64)> = measured.iter().map(|row| (row.size as f64, pick(row))).collect();
    let fit = fit(&points)?;
    let last = measured.last()?;
    let left_out = rows.iter().find(|row| !row.is_measured());
    Some(FitRow {
        family: last.family.clone(),
        cost: last.cost.clone(),
        size_name: last.size_name.clone(),
        held: last.held.clone(),
        figure: name.to_string(),
        exponent: rounded(fit.exponent),
        residual: rounded(fit.residual),
        last_exponent: rounded(fit.last_exponent),
        sizes: points.len(),
        largest_size: last.size,
        largest: pick(last),
        not_measured_from: left_out.map_or(String::new(), |row| format!("{} {}", row.size, row.status)),
    })
}

/// Draws the charts of kept tables again.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let rows: Vec<Row> = read_csv(&args.folder.join(SLOPES))?;
    let fits = fits(&rows);
    write(&args.folder, &rows, &fits)?;
    print!("{}", shown(&fits));
    println!("wrote {}", args.folder.display());
    Ok(())
}

/// Makes the folder, before anything is measured for it.
pub fn prepare_folder(folder: &Path) -> Result<(), ScaleError> {
    std::fs::create_dir_all(folder).map_err(|e| ScaleError::file(folder, e))
}

/// Writes tables and chart into a folder that stands.
pub fn write(folder: &Path, rows: &[Row], fits: &[FitRow]) -> Result<(), ScaleError> {
    write_csv(&folder.join(SLOPES), rows)?;
    write_csv(&folder.join(FITS), fits)?;
    chart::draw(&folder.join(CHART), rows)
}

/// Processor time and memory of each cost as a table for people.
pub fn shown(fits: &[FitRow]) -> String {
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

/// Writes rows as a table.
pub fn write_csv<T: Serialize>(file: &Path, rows: &[T]) -> Result<(), ScaleError> {
    let mut writer = csv::Writer::from_path(file).map_err(|e| ScaleError::file(file, e))?;
    rows.iter().try_for_each(|row| writer.serialize(row)).map_err(|e| ScaleError::file(file, e))?;
    writer.flush().map_err(|e| ScaleError::file(file, e))
}

fn read_csv<T: for<'de> Deserialize<'de>>(file: &Path) -> Result<Vec<T>, ScaleError> {
    let mut reader = csv::Reader::from_path(file).map_err(|e| ScaleError::file(file, e))?;
    reader.deserialize().collect::<Result<_, _>>().map_err(|e| ScaleError::file(file, e))
}
