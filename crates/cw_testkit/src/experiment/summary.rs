//! Percentiles.

use std::time::Duration;

use cw_macro::data;
use hdrhistogram::Histogram;

/// The longest time that is told from longer ones, in microseconds: an hour.
const MICROS_MAX: u64 = 3_600_000_000;

/// Percentiles of a list of times, in milliseconds.
#[data(Copy, Default)]
pub struct Summary {
    /// How many times there are.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl Summary {
    /// Summarises a list of times.
    ///
    /// # Panics
    ///
    /// Panics only if the bounds named here are not valid.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_max(MICROS_MAX, 3).expect("the bounds are valid");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let at = |quantile| millis(histogram.value_at_quantile(quantile));
        match histogram.len() {
            0 => Self::default(),
            count => Self {
                count,
                p50_ms: at(0.5),
                p95_ms: at(0.95),
                p99_ms: at(0.99),
                max_ms: millis(histogram.max()),
            },
        }
    }
}

/// Returns milliseconds, rounded to hundredths.
fn millis(micros: u64) -> f64 {
    (micros as f64 / 10.0).round() / 100.0
}
