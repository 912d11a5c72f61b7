//! Fits a power law: least squares on the logarithms of sizes and figures.

/// How a figure grows with its size: figure ~ size ^ exponent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub exponent: f64,
    /// Root mean square of what the line misses, as the logarithm to base 10: 0.1 is a miss by a quarter.
    pub residual: f64,
    /// The exponent between the two largest sizes alone. A cost with a constant part has a larger one there than over
    /// all sizes.
    pub last_exponent: f64,
}

/// Fits points of size and figure; `None` for fewer than two different sizes. Figures of nought can't stand on a
/// logarithmic scale and are left out.
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
    let spread = logs.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>();
    if logs.len() < 2 || spread <= 0.0 {
        return None;
    }
    let exponent = logs.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>() / spread;
    let miss = |point: &(f64, f64)| point.1 - mean_y - exponent * (point.0 - mean_x);
    let residual = (logs.iter().map(|point| miss(point).powi(2)).sum::<f64>() / count).sqrt();
    let [.., before, last] = &logs[..] else { return None };
    let last_exponent = (last.1 - before.1) / (last.0 - before.0);
    Some(Fit { exponent, residual, last_exponent })
}
