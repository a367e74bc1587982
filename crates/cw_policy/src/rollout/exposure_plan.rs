//! The ramp of a roll-out, planned as an area under the bound.

use std::time::Duration;

use super::ExposureLimits;

/// The part of the allowance that the ramp may use. The rest is for the time in which all requests go to the target
/// version, and for what is sent before a version that turns bad then is found out.
const RAMP_PART: f64 = 0.3;

/// The time in which a change of the share reaches all entries and their sends are counted. At a hundred entries a
/// message may be late by 1.2 s.
const REACTION: Duration = Duration::from_millis(1500);

/// The highest share of the ramp. Half of the requests stay with the others, to be compared with.
const MAX_RAMP_SHARE: f64 = 0.5;

/// The rate of the first requests to a version, in requests a second. They find a version that fails often within a
/// few seconds.
const PROBE_RATE: f64 = 10.0;

/// How many times as high the share gets with each step.
const GROWTH: f64 = 2.0;

/// The time for which all requests go to the target version, if the allowance holds it. It shows a version that
/// fails under load, before there is no way back.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// The time for which all requests go to the target version even if the allowance does not hold it. A version that is
/// bad from its beginning is found within it, at an exposure of less, and without it there would be no way back.
const MIN_WATCH_TIME: Duration = Duration::from_millis(2500);

/// What of the deadline is left for the last write and for those who read it: a part of the duration within bounds.
const MARGIN_PART: f64 = 0.05;

/// The least margin before the deadline, for one write to the store that is slow.
const MIN_MARGIN: Duration = Duration::from_millis(600);

/// The largest margin before the deadline, for a write that is repeated once.
const MAX_MARGIN: Duration = Duration::from_millis(2500);

/// What the ramp is planned from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ExposurePlan {
    /// The lowest rate of the service's requests that is expected until the deadline.
    pub(super) low_rate: f64,
    /// The highest one.
    pub(super) high_rate: f64,
    /// Requests to all versions so far.
    pub(super) sent_all: f64,
    /// Requests to the target version so far.
    pub(super) sent_new: f64,
    /// The time from the order to the deadline.
    pub(super) duration: Duration,
    /// The time left.
    pub(super) remaining: Duration,
    /// The time that runs need to end.
    pub(super) run_time: Duration,
}

impl ExposurePlan {
    /// Returns the number of requests that a bad version may get until the deadline.
    pub(super) fn allowance(&self, limits: &ExposureLimits) -> f64 {
        let expected = self.sent_all + self.low_rate * self.remaining.as_secs_f64();
        limits.share * expected + limits.slack as f64
    }

    /// Returns the time before the deadline at which the last state is written.
    pub(super) fn margin(&self) -> Duration {
        (self.duration.mul_f64(MARGIN_PART)).clamp(MIN_MARGIN, MAX_MARGIN)
    }

    /// Returns the time before the deadline at which all requests begin to go to the target version. Runs at the
    /// others end in it. It is longer if the allowance holds that, to see the version under load.
    pub(super) fn full_time(&self, limits: &ExposureLimits) -> Duration {
        let spare = self.allowance(limits) * (1.0 - RAMP_PART);
        let area = Duration::try_from_secs_f64(spare / self.high_rate).unwrap_or(Duration::MAX);
        let watch = area.saturating_sub(REACTION);
        let watch = watch.clamp(MIN_WATCH_TIME, WATCH_TIME);
        let needed = self.run_time.min(self.duration / 2);
        needed.max(watch.min(self.duration / 4)) + self.margin()
    }

    /// Returns whether it is time for all requests to go to the target version.
    pub(super) fn is_full_time(&self, limits: &ExposureLimits) -> bool {
        self.remaining <= self.full_time(limits)
    }

    /// Returns the highest share that keeps the ramp within its part of the allowance, if the share stays until all
    /// requests go to the target version.
    pub(super) fn share_limit(&self, limits: &ExposureLimits) -> f64 {
        let left = self.allowance(limits) * RAMP_PART - self.sent_new;
        let time = self.remaining.saturating_sub(self.full_time(limits)) + REACTION;
        let requests = self.high_rate * time.as_secs_f64();
        if requests <= 0.0 {
            return MAX_RAMP_SHARE;
        }
        (left / requests).clamp(0.0, MAX_RAMP_SHARE)
    }

    /// Returns the share after `share`, which is the first one if that is zero.
    pub(super) fn next_share(&self, limits: &ExposureLimits, share: f64) -> f64 {
        let probes = PROBE_RATE / self.high_rate.max(PROBE_RATE);
        (share * GROWTH).max(probes).min(self.share_limit(limits))
    }
}
