//! Straight lines through measured points.

use serde::Serialize;

/// A line `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at 0.
    pub base: f64,
    /// The gain for each unit of x.
    pub slope: f64,
}

/// Fits a line to `points` by least squares; without two different x the slope is 0.
pub fn fit_line(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    Fit {
        base: mean_y - slope * mean_x,
        slope,
    }
}
