//! Measures how each cost of a gateway grows with one size while the other sizes are fixed.

pub mod agreement;
pub mod counter;
pub mod list;
mod process;
pub mod rpcs;
mod scenario;
pub mod settings;
pub mod tenants;

pub use scenario::Scenario;

use crate::ScaleError;
use crate::measure::{Figures, Operation, measure, thread_cpu};
use crate::report::{self, Row, Status};
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of `martenramp-scale slopes`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Sizes and limits (TOML); omitted keys take their defaults.
    #[arg(long)]
    pub scenario: Option<PathBuf>,
    /// Measure only costs whose names begin with this prefix.
    #[arg(long)]
    pub only: Option<String>,
    /// The `martenramp` program; if given, one process of it is measured as well.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// The folder for tables and charts.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
}

/// The growth assumed after the first size, when no exponent has been measured yet: quadratic.
const ASSUMED_EXPONENT: f64 = 2.0;
/// Bounds on the exponent that predictions take from the last two sizes, because measurements of small costs are
/// noisy.
const EXPONENT_BOUNDS: std::ops::RangeInclusive<f64> = 1.0..=3.0;

/// A cost that is measured at several sizes.
pub struct Cost {
    /// Costs of a family share one panel of the chart.
    pub family: &'static str,
    pub name: &'static str,
    /// What the size counts, and which other sizes are fixed.
    pub size_name: &'static str,
    pub fixed_sizes: String,
    pub sizes: Vec<u64>,
    /// Prepares the operation at a size.
    pub prepare: Box<dyn Fn(u64) -> Result<Operation, ScaleError>>,
}

/// All costs of a scenario.
pub fn costs(scenario: &Scenario) -> Vec<Cost> {
    let mut costs = list::costs(&scenario.list);
    costs.extend(rpcs::costs(&scenario.rpcs));
    costs.extend(tenants::costs(&scenario.tenants));
    costs.extend(settings::costs(&scenario.settings, &scenario.list));
    costs.extend(agreement::costs(&scenario.agreement, &scenario.list));
    costs.extend(counter::costs(&scenario.counter));
    costs
}

/// Measures the costs of a scenario and writes them as tables and a chart.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let scenario = match &args.scenario {
        Some(file) => Scenario::load(file)?,
        None => Scenario::default(),
    };
    scenario.check()?;
    let prefix = args.only.unwrap_or_default();
    let selected: Vec<Cost> =
        costs(&scenario).into_iter().filter(|cost| cost.name.starts_with(&prefix)).collect();
    if selected.is_empty() {
        return Err(ScaleError::bad_key("--only", format!("no cost begins with '{prefix}'")));
    }
    report::prepare_folder(&args.out)?;
    let rows = measure_all(&scenario, &selected);
    let fits = report::fits(&rows);
    report::write(&args.out, &rows, &fits)?;
    print!("{}", report::summary(&fits));
    if let Some(program) = &args.program {
        process::run(program, &args.out)?;
    }
    println!("wrote {}", args.out.display());
    let failed = rows.iter().filter(|row| row.has_failed()).count();
    if failed > 0 {
        let why = format!("{failed} sizes could not be measured; see their rows");
        return Err(ScaleError::Measurement { what: "slopes".to_string(), why });
    }
    Ok(())
}

/// Measures costs one after the other. A size that fails gives a row with the reason.
pub fn measure_all(scenario: &Scenario, costs: &[Cost]) -> Vec<Row> {
    let cpu_deadline = thread_cpu() + Duration::from_secs_f64(scenario.total_seconds);
    costs.iter().flat_map(|cost| measure_cost(scenario, cost, cpu_deadline)).collect()
}

/// The resources used by one size, including preparation and all steps.
#[derive(Clone, Copy)]
struct Usage {
    size: f64,
    seconds: f64,
    bytes: f64,
}

fn measure_cost(scenario: &Scenario, cost: &Cost, cpu_deadline: Duration) -> Vec<Row> {
    let effort = Duration::from_millis(scenario.effort_ms);
    let mut rows = Vec::new();
    let mut usage: Vec<Usage> = Vec::new();
    for size in &cost.sizes {
        if let Some(status) = skip_reason(scenario, &usage, *size as f64, cpu_deadline) {
            rows.push(Row::new(cost, *size, status, Figures::default()));
            continue;
        }
        let start = thread_cpu();
        match measure(&|| (cost.prepare)(*size), effort) {
            Ok(figures) => {
                let seconds = (thread_cpu() - start).as_secs_f64();
                usage.push(Usage { size: *size as f64, seconds, bytes: figures.peak_bytes });
                rows.push(Row::new(cost, *size, Status::Measured, figures));
            }
            Err(ScaleError::Refused { why }) => {
                rows.push(Row::new(cost, *size, Status::Refused(why.to_string()), Figures::default()));
            }
            Err(error) => {
                rows.push(Row::new(cost, *size, Status::Failed(error.to_string()), Figures::default()));
            }
        }
    }
    rows
}

/// Why a size is skipped, if it is: the run's CPU time is spent, or the usage predicted from smaller sizes exceeds a
/// limit.
fn skip_reason(scenario: &Scenario, usage: &[Usage], size: f64, cpu_deadline: Duration) -> Option<Status> {
    if thread_cpu() >= cpu_deadline {
        return Some(Status::CutOff("the run's time is spent".to_string()));
    }
    let seconds = predict(usage, size, |usage| usage.seconds);
    if seconds > scenario.size_seconds {
        return Some(Status::CutOff(format!("would take {seconds:.0} s")));
    }
    let bytes = predict(usage, size, |usage| usage.bytes);
    if bytes > scenario.memory_bytes() as f64 {
        return Some(Status::CutOff(format!("would hold {:.0} MiB", bytes / 1048576.0)));
    }
    None
}

fn predict(usage: &[Usage], size: f64, figure: fn(&Usage) -> f64) -> f64 {
    let Some(last) = usage.last() else { return 0.0 };
    let second_last = usage.len().checked_sub(2).and_then(|index| usage.get(index));
    let measured_exponent =
        |before: &Usage| (figure(last) / figure(before)).ln() / (last.size / before.size).ln();
    let exponent = second_last
        .map(measured_exponent)
        .filter(|exponent| exponent.is_finite())
        .unwrap_or(ASSUMED_EXPONENT);
    figure(last) * (size / last.size).powf(exponent.clamp(*EXPONENT_BOUNDS.start(), *EXPONENT_BOUNDS.end()))
}
