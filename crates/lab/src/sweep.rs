//! Runs a scenario at several values of one parameter with each policy, and charts the results in `sweep.csv`.

use crate::policies::PolicyKind;
use crate::report::{self, Summary};
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// One point of a sweep: a summary with `parameter`, `value`, `wall_ms` and `events_per_s` set.
pub type Point = Summary;

/// Runs the scenario in `text` with the field at `path` set to each of `values`, with each policy in `kinds`. Calls
/// `on_point` after each run.
pub fn sweep(
    text: &str,
    path: &str,
    values: &[String],
    kinds: &[PolicyKind],
    mut on_point: impl FnMut(&Point),
) -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for value in values {
        let scenario = Scenario::from_toml_with_override(text, path, value)
            .map_err(|e| format!("{path}={value}: {e}"))?;
        for &kind in kinds {
            let started = Instant::now();
            let record = crate::world::run_scenario(&scenario, kind, None);
            let wall_time = started.elapsed();
            let mut point = Summary::of(&scenario, kind, &record);
            point.events_per_s = (point.events as f64 / wall_time.as_secs_f64().max(1e-9)) as u64;
            (point.parameter, point.value) = (path.to_string(), value.clone());
            point.wall_ms = wall_time.as_millis() as u64;
            on_point(&point);
            points.push(point);
        }
    }
    Ok(points)
}

/// Draws charts of a sweep's table against the parameter: utility, events, and events per second of wall time.
/// Returns their paths.
pub fn draw_charts(dir: &Path) -> Result<Vec<PathBuf>, String> {
    let points: Vec<Point> = report::read_csv(&dir.join("sweep.csv"))?;
    let parameter = points.first().map(|point| point.parameter.clone()).unwrap_or_default();
    let mut paths = Vec::new();
    let series_of = |value: &dyn Fn(&Point) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
        let mut series: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for point in &points {
            let Ok(x) = point.value.parse::<f64>() else { continue };
            let name = &point.policy;
            match series.iter_mut().find(|line| &line.0 == name) {
                Some(line) => line.1.push((x, value(point))),
                None => series.push((name.clone(), vec![(x, value(point))])),
            }
        }
        series
    };
    type Value<'a> = &'a dyn Fn(&Point) -> f64;
    let charts: [(&str, &str, &str, Value); 3] = [
        ("sweep-service.svg", "ratio of utility served to utility asked", "ratio", &|point| point.service),
        ("sweep-events.svg", "emulated events", "events", &|point| point.events as f64),
        ("sweep-speed.svg", "emulated events per second of wall time", "events/s", &|point| {
            point.events_per_s as f64
        }),
    ];
    for (file, title, y_label, value) in charts {
        let path = dir.join(file);
        report::draw_line_chart(&path, title, &parameter, y_label, &series_of(value))?;
        paths.push(path);
    }
    Ok(paths)
}
