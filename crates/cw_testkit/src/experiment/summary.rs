//! Percentiles of durations.

use std::time::Duration;

use cw_macro::data;
use hdrhistogram::Histogram;

/// One hour, in microseconds; longer times are recorded as this value.
const MICROS_MAX: u64 = 3_600_000_000;

/// The number of times in a sample, and their percentiles in milliseconds.
#[data(Copy, Default)]
pub struct Summary {
    /// The number of times.
    pub count: u64,
    /// The 50th percentile, which is the median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest time.
    pub max_ms: f64,
}

impl Summary {
    /// Computes the percentiles of `times`; all are zero if it is empty.
    ///
    /// # Panics
    ///
    /// Panics only if the constant bounds of the histogram are invalid.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_max(MICROS_MAX, 3).expect("the histogram bounds are valid");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let at = |quantile| micros_to_millis(histogram.value_at_quantile(quantile));
        match histogram.len() {
            0 => Self::default(),
            count => Self {
                count,
                p50_ms: at(0.5),
                p95_ms: at(0.95),
                p99_ms: at(0.99),
                max_ms: micros_to_millis(histogram.max()),
            },
        }
    }
}

/// Converts microseconds to milliseconds, rounded to hundredths.
fn micros_to_millis(micros: u64) -> f64 {
    (micros as f64 / 10.0).round() / 100.0
}
