//! How long the runs of a service last, from the send to the end of the answer.

use std::time::Duration;

/// The weight of the newest sample in the means.
const NEWEST_WEIGHT: f64 = 0.1;

/// The mean deviations above the mean within which nearly all runs end. Lengths with a long tail, such as those of
/// generated text, need more than the two of a normal distribution.
const DEVIATIONS: f64 = 4.0;

/// The time until all entries know that nothing more goes to a version, beside the time that its runs need. An
/// entry tells the others at once, and a lost message is made up for by the next one.
const WORD_TIME: Duration = Duration::from_millis(250);

/// How long the runs of a service last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunLength {
    /// The mean length and the mean deviation from it, in seconds, `None` before the first sample.
    means: Option<(f64, f64)>,
}

impl RunLength {
    /// Records the length of a run that has ended with its answer.
    pub fn record(&mut self, length: Duration) {
        let sample = length.as_secs_f64();
        let (mean, deviation) = self.means.get_or_insert((sample, sample / 2.0));
        *deviation += NEWEST_WEIGHT * ((sample - *mean).abs() - *deviation);
        *mean += NEWEST_WEIGHT * (sample - *mean);
    }

    /// Returns the time in which nearly all runs that are in progress end, once nothing more is sent. `None` before
    /// the first sample.
    pub fn time_to_end(&self) -> Option<Duration> {
        let (mean, deviation) = self.means?;
        Some(Duration::from_secs_f64(mean + DEVIATIONS * deviation) + WORD_TIME)
    }
}
