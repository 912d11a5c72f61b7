//! The chart of slopes: a panel for each family, processor time over size, both logarithmic.

use super::Row;
use crate::ScaleError;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const COLUMNS: usize = 2;
const PANEL: (u32, u32) = (760, 430);
const MARGIN: u32 = 12;
/// An axis reaches beyond the outermost points by this factor.
const BEYOND: f64 = 1.3;

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One cost's points.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the panels of all families into a file.
pub fn draw(file: &Path, rows: &[Row]) -> Result<(), ScaleError> {
    let measured: Vec<&Row> = rows.iter().filter(|row| row.is_measured() && row.cpu_ns > 0.0).collect();
    let families: Vec<&[&Row]> = measured.chunk_by(|one, two| one.family == two.family).collect();
    let lines = families.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * lines as u32);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE).map_err(|e| ScaleError::file(file, e))?;
    for (panel, family) in root.split_evenly((lines, COLUMNS)).iter().zip(families) {
        draw_family(panel, family).map_err(|e| ScaleError::file(file, e))?;
    }
    root.present().map_err(|e| ScaleError::file(file, e))
}

fn draw_family(panel: &Panel, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<Line> = rows.chunk_by(|one, two| one.is_of(two)).map(line).collect();
    let points = || lines.iter().flat_map(|line| &line.points);
    let (x_least, x_most) = bounds(points().map(|point| point.0));
    let (y_least, y_most) = bounds(points().map(|point| point.1));
    let family = rows.first().map_or("", |row| row.family.as_str());
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{family}: processor time of one operation"), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(34)
        .y_label_area_size(70)
        .build_cartesian_2d((x_least..x_most).log_scale(), (y_least..y_most).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("size")
        .y_desc("ns")
        .x_label_formatter(&|value| format!("{value:e}"))
        .y_label_formatter(&|value| format!("{value:e}"))
        .draw()?;
    for (at, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)).point_size(3))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .label_font(("sans-serif", 11))
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

fn line(rows: &[&Row]) -> Line {
    let name =
        rows.first().map_or(String::new(), |row| format!("{} by {} ({})", row.cost, row.size_name, row.held));
    Line { name, points: rows.iter().map(|row| (row.size as f64, row.cpu_ns)).collect() }
}

/// The range of an axis.
fn bounds(values: impl Iterator<Item = f64> + Clone) -> (f64, f64) {
    let least = values.clone().fold(f64::MAX, f64::min);
    let most = values.fold(0.0, f64::max);
    (least / BEYOND, most * BEYOND)
}
