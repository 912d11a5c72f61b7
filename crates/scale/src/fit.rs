//! Fits a power law by least squares on the logarithms of sizes and figures.

/// The growth of a figure with a size: figure ~ size ^ exponent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub exponent: f64,
    /// Root mean square of the residuals in log10 units: 0.1 is a deviation by a factor of 1.26.
    pub residual: f64,
    /// The exponent between the two largest sizes alone. It exceeds `exponent` if the cost has a constant part.
    pub last_exponent: f64,
}

/// Fits points of (size, figure); `None` for fewer than two different sizes. Zero figures have no logarithm and are
/// skipped.
///
/// ```
/// let squares: Vec<(f64, f64)> = [10.0, 30.0, 100.0].iter().map(|size| (*size, 3.0 * size * size)).collect();
/// let fit = scale::fit::fit(&squares).unwrap();
/// assert!((fit.exponent - 2.0).abs() < 1e-9 && fit.residual < 1e-9 && (fit.last_exponent - 2.0).abs() < 1e-9);
/// assert_eq!(scale::fit::fit(&squares[..1]), None);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let positive = points.iter().filter(|(size, figure)| *size > 0.0 && *figure > 0.0);
    let logs: Vec<(f64, f64)> = positive.map(|(size, figure)| (size.log10(), figure.log10())).collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = logs.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_squares_x = logs.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>();
    if logs.len() < 2 || sum_squares_x <= 0.0 {
        return None;
    }
    let exponent =
        logs.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>() / sum_squares_x;
    let residual_of = |point: &(f64, f64)| point.1 - mean_y - exponent * (point.0 - mean_x);
    let residual = (logs.iter().map(|point| residual_of(point).powi(2)).sum::<f64>() / count).sqrt();
    let [.., second_last, last] = &logs[..] else { return None };
    let last_exponent = (last.1 - second_last.1) / (last.0 - second_last.0);
    Some(Fit { exponent, residual, last_exponent })
}
