//! Linear regression.

use cw_macro::data;

/// A line that is fitted to measured points by least squares.
#[data]
pub(super) struct LinearFit {
    /// The measured quantity.
    measure: String,
    /// The unit of the quantity.
    unit: String,
    /// The unit of the independent variable.
    per: String,
    /// The points: the independent variable and the measured quantity.
    points: Vec<(f64, f64)>,
    /// The fitted quantity at zero.
    intercept: f64,
    /// The increase of the quantity for each additional unit of `per`.
    slope: f64,
    /// The root mean square error of the fit.
    residual: f64,
}

impl LinearFit {
    /// Fits a line to points that have at least two different values of the independent variable.
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
        let squared_error = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).powi(2);
        let residual = (points.iter().map(squared_error).sum::<f64>() / count).sqrt();
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
