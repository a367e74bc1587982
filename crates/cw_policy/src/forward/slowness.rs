//! How slow a target is compared to the other targets of its service.

use std::time::Duration;

use cw_types::Time;

/// The half-life of an observation. What else runs on the machine of a target changes within a minute.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// The number of observations that weigh as much as the assumption that a target is like all others. One
/// prompt can be late because of requests that this entry does not know.
const PRIOR_WEIGHT: f64 = 4.0;

/// The range of one observation, as a multiple of the mean time. What is beyond was caused by something
/// else than the machine.
const RANGE: (f64, f64) = (0.5, 3.0);

/// A decaying average of ratios to the usual time.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    mean: f64,
    weight: f64,
    at: Time,
}

impl Ratio {
    fn record(&mut self, now: Time, ratio: f64) {
        let weight = self.weight_at(now);
        let ratio = ratio.clamp(RANGE.0, RANGE.1);
        self.weight = weight + 1.0;
        self.mean += (ratio - self.mean) / self.weight;
        self.at = now;
    }

    fn weight_at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * (-age * std::f64::consts::LN_2).exp()
    }

    fn value(&self, now: Time) -> f64 {
        if self.weight == 0.0 {
            return 1.0;
        }
        let weight = self.weight_at(now);
        (PRIOR_WEIGHT + weight * self.mean) / (PRIOR_WEIGHT + weight)
    }
}

/// How slow one incarnation of a target is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowness {
    answers: Ratio,
    reports: Ratio,
}

impl Slowness {
    /// Records the time until an answer began, as a multiple of that of the mean target.
    pub(super) fn record_answer(&mut self, now: Time, ratio: f64) {
        self.answers.record(now, ratio);
    }

    /// Records how long work takes on the target's machine, as a multiple of the usual time, by its own
    /// report.
    pub(super) fn record_report(&mut self, now: Time, ratio: f64) {
        self.reports.record(now, ratio);
    }

    /// Returns the time that work takes at the target as a multiple of the mean time, 1 if nothing is
    /// known.
    pub(super) fn factor(&self, now: Time) -> f64 {
        let answers = self.answers.value(now);
        match self.reports.weight > 0.0 {
            // The machine slows all work down, so the answers show it too, though later.
            true => answers.max(self.reports.value(now)),
            false => answers,
        }
    }
}
