//! A scenario played over a range of one parameter, with each policy: the table `sweep.csv` and its charts.

use crate::policies::PolicyKind;
use crate::report::{self, Summary};
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// One point of a sweep: a summary with its parameter, value and wall time filled in.
pub type Point = Summary;

/// Plays `text` with `path` set to each of `values`, for each policy in `kinds`.
pub fn sweep(
    text: &str,
    path: &str,
    values: &[String],
    kinds: &[PolicyKind],
    mut told: impl FnMut(&Point),
) -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for value in values {
        let scenario = Scenario::from_toml_with_override(text, path, value)
            .map_err(|e| format!("{path}={value}: {e}"))?;
        for &kind in kinds {
            let started = Instant::now();
            let record = crate::world::run_scenario(&scenario, kind, None);
            let wall = started.elapsed();
            let mut point = Summary::of(&scenario, kind, &record);
            point.events_per_s = (point.events as f64 / wall.as_secs_f64().max(1e-9)) as u64;
            (point.parameter, point.value) = (path.to_string(), value.clone());
            point.wall_ms = wall.as_millis() as u64;
            told(&point);
            points.push(point);
        }
    }
    Ok(points)
}

/// Charts of a sweep's table: utility served, events and events per wall second, against the parameter.
pub fn draw_charts(dir: &Path) -> Result<Vec<PathBuf>, String> {
    let points: Vec<Point> = report::read_csv(&dir.join("sweep.csv"))?;
    let parameter = points.first().map(|point| point.parameter.clone()).unwrap_or_default();
    let mut made = Vec::new();
    let lines = |pick: &dyn Fn(&Point) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
        let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for point in &points {
            let Ok(x) = point.value.parse::<f64>() else { continue };
            let name = &point.policy;
            match lines.iter_mut().find(|line| &line.0 == name) {
                Some(line) => line.1.push((x, pick(point))),
                None => lines.push((name.clone(), vec![(x, pick(point))])),
            }
        }
        lines
    };
    type Pick<'a> = &'a dyn Fn(&Point) -> f64;
    let charts: [(&str, &str, &str, Pick); 3] = [
        ("sweep-service.svg", "utility served over utility asked", "share", &|point| point.service),
        ("sweep-events.svg", "emulated events", "events", &|point| point.events as f64),
        ("sweep-speed.svg", "emulated events per second of wall time", "events/s", &|point| {
            point.events_per_s as f64
        }),
    ];
    for (file, title, y, pick) in charts {
        let path = dir.join(file);
        report::draw_line_chart(&path, title, &parameter, y, &lines(pick))?;
        made.push(path);
    }
    Ok(made)
}
