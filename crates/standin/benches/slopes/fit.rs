//! Timing, and least-squares fits of lines.

use std::time::Instant;

use cardamomshed_standin::experiment::{Bound, Experiment};

/// Measured points of a line: size and figure.
pub(crate) type Points = Vec<(f64, f64)>;

/// Fits a line to the points and adds its slope, its value at zero, and its
/// largest residual as a share of the largest figure.
pub(crate) fn add_line(
    experiment: &mut Experiment,
    what: &str,
    unit: &str,
    per: &str,
    points: &Points,
) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_xy = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>();
    let sum_xx = points
        .iter()
        .map(|(x, _)| (x - mean_x).powi(2))
        .sum::<f64>();
    let slope = sum_xy / sum_xx;
    let base = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - base - slope * x).abs());
    let largest = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let residual = residual.fold(0.0, f64::max) / largest;
    experiment.add(
        &format!("{what}: per {per}"),
        unit,
        None,
        slope,
        Bound::None,
    );
    experiment.add(&format!("{what}: at zero"), unit, None, base, Bound::None);
    experiment.add(
        &format!("{what}: residual"),
        "share",
        None,
        residual,
        Bound::None,
    );
}

/// Mean time of a call of `work` in microseconds, after a warm-up of a tenth of
/// `count` calls. `work` receives the number of the call.
pub(crate) fn time_of(count: u32, mut work: impl FnMut(u32)) -> f64 {
    for index in 0..count / 10 {
        work(index);
    }
    let start = Instant::now();
    for index in 0..count {
        work(index);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
