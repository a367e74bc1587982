//! A line through measured points.

use cw_macro::data;

/// A line through measured points, by least squares.
#[data]
pub(super) struct Line {
    /// What was measured.
    measure: String,
    /// The unit of the measure.
    unit: String,
    /// What it was measured against.
    per: String,
    /// The points: the number of `per`, and the measure.
    points: Vec<(f64, f64)>,
    /// The measure at none of them.
    intercept: f64,
    /// The measure of one more.
    slope: f64,
    /// The root of the mean squared distance of the points from the line.
    residual: f64,
}

impl Line {
    /// Fits a line to points of at least two different sizes.
    pub(super) fn fit(measure: &str, unit: &str, per: &str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let product = |point: &(f64, f64)| (point.0 - mean_x) * (point.1 - mean_y);
        let square = |point: &(f64, f64)| (point.0 - mean_x).powi(2);
        let covariance: f64 = points.iter().map(product).sum();
        let variance: f64 = points.iter().map(square).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let distance = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).powi(2);
        let residual = (points.iter().map(distance).sum::<f64>() / count).sqrt();
        Self {
            measure: measure.to_owned(),
            unit: unit.to_owned(),
            per: per.to_owned(),
            points,
            intercept,
            slope,
            residual,
        }
    }
}
