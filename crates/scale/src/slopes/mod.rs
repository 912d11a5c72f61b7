//! Slopes: each cost of a gateway against its own size, with the others held, and how it grows.

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
    /// Sizes and bounds (TOML); what it leaves out takes its default.
    #[arg(long)]
    pub scenario: Option<PathBuf>,
    /// Only costs whose name begins so.
    #[arg(long)]
    pub only: Option<String>,
    /// The program `martenramp`: one process of it is measured, too.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Where tables and charts go.
    #[arg(long, default_value = "docs/scale-results")]
    pub out: PathBuf,
}

/// Of the first size nothing is known of how a cost grows: it is taken to be the square.
const ASSUMED_EXPONENT: f64 = 2.0;
/// A prediction goes by the last two sizes within these bounds: a measurement of little says little.
const EXPONENTS: std::ops::RangeInclusive<f64> = 1.0..=3.0;

/// One cost against its size.
pub struct Cost {
    /// Costs of a family are drawn in one chart.
    pub family: &'static str,
    pub name: &'static str,
    /// What is counted by the size, and what is held.
    pub size_name: &'static str,
    pub held: String,
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

/// Measures the slopes of a scenario and keeps them as tables and a chart.
pub fn run(args: Args) -> Result<(), ScaleError> {
    let scenario = match &args.scenario {
        Some(file) => Scenario::load(file)?,
        None => Scenario::default(),
    };
    scenario.check()?;
    let only = args.only.unwrap_or_default();
    let chosen: Vec<Cost> =
        costs(&scenario).into_iter().filter(|cost| cost.name.starts_with(&only)).collect();
    if chosen.is_empty() {
        return Err(ScaleError::bad_key("--only", format!("no cost begins with '{only}'")));
    }
    report::prepare_folder(&args.out)?;
    let rows = measure_all(&scenario, &chosen);
    let fits = report::fits(&rows);
    report::write(&args.out, &rows, &fits)?;
    print!("{}", report::shown(&fits));
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

/// Measures costs one after the other. A size that fails is a row that says why.
pub fn measure_all(scenario: &Scenario, costs: &[Cost]) -> Vec<Row> {
    let until = thread_cpu() + Duration::from_secs_f64(scenario.total_seconds);
    costs.iter().flat_map(|cost| measure_cost(scenario, cost, until)).collect()
}

/// What one size took: the whole of it, preparation and all steps.
#[derive(Clone, Copy)]
struct Spent {
    size: f64,
    seconds: f64,
    bytes: f64,
}

fn measure_cost(scenario: &Scenario, cost: &Cost, until: Duration) -> Vec<Row> {
    let effort = Duration::from_millis(scenario.effort_ms);
    let mut rows = Vec::new();
    let mut spent: Vec<Spent> = Vec::new();
    for size in &cost.sizes {
        if let Some(status) = cut_off(scenario, &spent, *size as f64, until) {
            rows.push(Row::of(cost, *size, status, Figures::default()));
            continue;
        }
        let start = thread_cpu();
        match measure(&|| (cost.prepare)(*size), effort) {
            Ok(figures) => {
                let seconds = (thread_cpu() - start).as_secs_f64();
                spent.push(Spent { size: *size as f64, seconds, bytes: figures.peak_bytes });
                rows.push(Row::of(cost, *size, Status::Measured, figures));
            }
            Err(ScaleError::Refused { why }) => {
                rows.push(Row::of(cost, *size, Status::Refused(why.to_string()), Figures::default()));
            }
            Err(error) => {
                rows.push(Row::of(cost, *size, Status::Failed(error.to_string()), Figures::default()));
            }
        }
    }
    rows
}

/// Whether a size is left out, by what the sizes below it took.
fn cut_off(scenario: &Scenario, spent: &[Spent], size: f64, until: Duration) -> Option<Status> {
    if thread_cpu() >= until {
        return Some(Status::CutOff("the run's time is spent".to_string()));
    }
    let seconds = predicted(spent, size, |spent| spent.seconds);
    if seconds > scenario.size_seconds {
        return Some(Status::CutOff(format!("would take {seconds:.0} s")));
    }
    let bytes = predicted(spent, size, |spent| spent.bytes);
    if bytes > scenario.memory_bytes() as f64 {
        return Some(Status::CutOff(format!("would hold {:.0} MiB", bytes / 1048576.0)));
    }
    None
}

fn predicted(spent: &[Spent], size: f64, figure: fn(&Spent) -> f64) -> f64 {
    let Some(last) = spent.last() else { return 0.0 };
    let before = spent.len().checked_sub(2).and_then(|at| spent.get(at));
    let grown = |before: &Spent| (figure(last) / figure(before)).ln() / (last.size / before.size).ln();
    let exponent = before.map(grown).filter(|exponent| exponent.is_finite()).unwrap_or(ASSUMED_EXPONENT);
    figure(last) * (size / last.size).powf(exponent.clamp(*EXPONENTS.start(), *EXPONENTS.end()))
}
