//! Draws the slopes chart: a panel for each family, with CPU time over size on logarithmic axes.

use super::Row;
use crate::ScaleError;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const COLUMNS: usize = 2;
const PANEL: (u32, u32) = (760, 430);
const MARGIN: u32 = 12;
/// Axes extend beyond the outermost points by this factor.
const AXIS_MARGIN_FACTOR: f64 = 1.3;

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The points of one cost.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the panels of all families into an SVG file.
pub fn draw(file: &Path, rows: &[Row]) -> Result<(), ScaleError> {
    let measured: Vec<&Row> = rows.iter().filter(|row| row.is_measured() && row.cpu_ns > 0.0).collect();
    let families: Vec<&[&Row]> = measured.chunk_by(|left, right| left.family == right.family).collect();
    let panel_rows = families.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * panel_rows as u32);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE).map_err(|e| ScaleError::file(file, e))?;
    for (panel, family) in root.split_evenly((panel_rows, COLUMNS)).iter().zip(families) {
        draw_family(panel, family).map_err(|e| ScaleError::file(file, e))?;
    }
    root.present().map_err(|e| ScaleError::file(file, e))
}

fn draw_family(panel: &Panel, rows: &[&Row]) -> Result<(), Box<dyn std::error::Error>> {
    let series: Vec<Series> =
        rows.chunk_by(|left, right| left.is_same_series(right)).map(series_of).collect();
    let points = || series.iter().flat_map(|series| &series.points);
    let (x_min, x_max) = bounds(points().map(|point| point.0));
    let (y_min, y_max) = bounds(points().map(|point| point.1));
    let family = rows.first().map_or("", |row| row.family.as_str());
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{family}: processor time of one operation"), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(34)
        .y_label_area_size(70)
        .build_cartesian_2d((x_min..x_max).log_scale(), (y_min..y_max).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("size")
        .y_desc("ns")
        .x_label_formatter(&|value| format!("{value:e}"))
        .y_label_formatter(&|value| format!("{value:e}"))
        .draw()?;
    for (index, series) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(
                LineSeries::new(series.points.iter().copied(), colour.stroke_width(2)).point_size(3),
            )?
            .label(&series.name)
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

fn series_of(rows: &[&Row]) -> Series {
    let name =
        rows.first().map_or(String::new(), |row| format!("{} by {} ({})", row.cost, row.size_name, row.held));
    Series { name, points: rows.iter().map(|row| (row.size as f64, row.cpu_ns)).collect() }
}

/// The range of an axis over the given values.
fn bounds(values: impl Iterator<Item = f64> + Clone) -> (f64, f64) {
    let lower = values.clone().fold(f64::MAX, f64::min);
    let upper = values.fold(0.0, f64::max);
    (lower / AXIS_MARGIN_FACTOR, upper * AXIS_MARGIN_FACTOR)
}
