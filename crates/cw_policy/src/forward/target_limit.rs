//! Whether a target takes one more request of this entry, and if not, when: by the limit that it names
//! on the requests of all entries, and by the time in which it wants none from this one.

use std::time::Duration;

use cw_types::Rate;
use cw_types::Time;

use super::Slot;

/// The rate at which a target is tried that takes fewer requests, so that the end of its limit is
/// noticed.
const MIN_RATE: Rate = Rate(0.2);

/// The longest time between two requests of an entry. Its share is larger before this has passed, if
/// it has requests.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// The shortest time between two requests of an entry, which is no restriction.
const MIN_INTERVAL: Duration = Duration::from_micros(1);

/// The longest time in which a target gets no requests because it wants none. A target that names a
/// longer one is tried again after this.
const MAX_REST: Duration = Duration::from_secs(60);

/// The number of requests that an entry may save up while it sends none, beside the next one.
const BURST: u32 = 1;

/// The time between two requests to a target that has wanted none for a while and has run none since. A target that is
/// still full says so in less time, so that few requests are sent to it in vain.
const RETURN_INTERVAL: Duration = Duration::from_millis(20);

/// What a target has reported of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitReport {
    /// The requests a second that it takes from all entries together, `None` without a limit.
    pub(super) rate: Option<Rate>,
    /// When it reported that.
    pub(super) reported_at: Time,
}

/// The part of a limit that this entry may use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    /// The time between two requests, `None` if the other entries use the whole limit.
    interval: Option<Duration>,
    /// When the next request may be sent.
    next_at: Time,
}

/// The limit of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TargetLimit {
    report: Option<LimitReport>,
    /// The pace of this entry while there is a limit.
    pace: Option<Pace>,
    /// The end of the time in which the target wants no requests from this entry.
    rest_until: Time,
    /// When the next request may be sent after that time, until the target has run one since.
    return_at: Option<Time>,
}

impl TargetLimit {
    /// Returns the last report of the target.
    pub(super) fn report(&self) -> Option<LimitReport> {
        self.report
    }

    /// Returns the limit in force.
    pub(super) fn rate(&self) -> Option<Rate> {
        let rate = self.report.and_then(|report| report.rate);
        rate.map(|rate| if rate < MIN_RATE { MIN_RATE } else { rate })
    }

    /// Records a report of the target, unless a later one is known. Returns whether the limit
    /// has changed.
    pub(super) fn record(&mut self, report: LimitReport) -> bool {
        if self
            .report
            .is_some_and(|known| known.reported_at >= report.reported_at)
        {
            return false;
        }
        let before = self.rate();
        self.report = Some(report);
        before != self.rate()
    }

    /// Sets the share of the limit that this entry may use, from 0 to 1. `phase` is the part of an
    /// interval, from 0 to 1, after which it sends its first request. It differs between entries, so
    /// that they do not begin together.
    pub(super) fn set_share(&mut self, now: Time, share: f64, phase: f64) {
        let Some(rate) = self.rate() else {
            self.pace = None;
            return;
        };
        let interval = match rate.0 * share {
            own if own > 0.0 => {
                let seconds = (1.0 / own).min(MAX_INTERVAL.as_secs_f64());
                Some(Duration::from_secs_f64(seconds).max(MIN_INTERVAL))
            }
            _ => None,
        };
        let before = self
            .pace
            .and_then(|pace| Some((pace.interval?, pace.next_at)));
        let next_at = match (before, interval) {
            // The slots that are taken already keep their number, and so their part of the limit.
            (Some((before, next_at)), Some(interval)) if next_at > now => {
                let scale = interval.as_secs_f64() / before.as_secs_f64();
                now + now.until(next_at).mul_f64(scale)
            }
            (Some((_, next_at)), _) => next_at,
            (None, Some(interval)) => now + interval.mul_f64(phase),
            (None, None) => now,
        };
        self.pace = Some(Pace { interval, next_at });
    }

    /// Records that the target wants no requests from this entry for a time.
    pub(super) fn record_rest(&mut self, now: Time, rest: Duration) {
        self.rest_until = self.rest_until.max(now + rest.min(MAX_REST));
        self.return_at = self.return_at.max(Some(self.rest_until));
    }

    /// Records that the target has run a request that was sent at `sent_at`.
    pub(super) fn record_run(&mut self, sent_at: Time) {
        if sent_at >= self.rest_until {
            self.return_at = None;
        }
    }

    /// Returns the end of the time in which the target wants no requests from this entry.
    pub(super) fn rest_until(&self) -> Time {
        self.rest_until
    }

    /// Returns whether the target takes one request after the other.
    pub(super) fn is_paced(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns when this entry may send the next request, `None` if the other entries use the whole
    /// limit.
    pub(super) fn next_slot(&self, now: Time) -> Option<Time> {
        let earliest = self.earliest(now);
        match self.pace {
            None => Some(earliest),
            Some(pace) => pace.interval.map(|_| pace.next_at.max(earliest)),
        }
    }

    /// Returns the first time at which the target wants a request, whatever limit it names.
    fn earliest(&self, now: Time) -> Time {
        let returns_at = self.return_at.unwrap_or_default();
        now.max(self.rest_until).max(returns_at)
    }

    /// Uses the next slot, and returns its time.
    pub(super) fn take_slot(&mut self, now: Time) -> Time {
        let earliest = self.earliest(now);
        let slot = match &mut self.pace {
            Some(pace) => pace.take_slot(earliest),
            None => earliest,
        };
        if let Some(return_at) = &mut self.return_at {
            *return_at = slot + RETURN_INTERVAL;
        }
        slot
    }

    /// Gives back a slot that was not used, so that another request does not wait for the one after it.
    pub(super) fn return_slot(&mut self, slot: &Slot) {
        if slot.is_paced
            && let Some(pace) = &mut self.pace
            && let Some(interval) = pace.interval
        {
            pace.next_at = pace.next_at.before(interval);
        }
        if let Some(return_at) = &mut self.return_at
            && slot.at >= self.rest_until
        {
            *return_at = return_at.before(RETURN_INTERVAL).max(self.rest_until);
        }
    }
}

impl Pace {
    /// Uses the next slot from a time on, and returns its time.
    fn take_slot(&mut self, from: Time) -> Time {
        let Some(interval) = self.interval else {
            return from;
        };
        let slot = self.next_at.max(from);
        let earliest = from.before(interval * BURST);
        self.next_at = self.next_at.max(earliest) + interval;
        slot
    }
}
