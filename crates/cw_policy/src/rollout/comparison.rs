//! The comparison of the two sides of a roll-out on one route, at the same time.

use std::collections::VecDeque;
use std::time::Duration;

use cw_types::Time;
use cw_wire::TimeCounts;

use super::evidence_table::RouteTotals;
use super::sequential_test::ALARM;
use super::sequential_test::SequentialTest;
use super::side_totals::SideTotals;
use super::side_totals::expected_share;
use super::side_totals::median_class;
use super::side_totals::times_above;

/// How far back answers of the other versions count as given at the same time. It is longer than a message between
/// entries may be late, so that a failure that both sides have is seen at both.
const WINDOW: Duration = Duration::from_secs(3);

/// The failures that a good version is expected to have when the others have none. A few callers notice no more.
const LEAST_FAILURES: f64 = 0.02;

/// By how much a bad version fails more often. A service that loses a tenth of its answers is out of its objective.
const EXCESS_FAILURES: f64 = 0.1;

/// The share of slow answers that a good version is expected to have when the others have none. Its targets have
/// just started, and single answers wait behind long prompts.
const LEAST_SLOW: f64 = 0.1;

/// By how much a slow version has more slow answers. A version that takes several times as long has nearly all slow.
const EXCESS_SLOW: f64 = 0.4;

/// The classes of times above the median of the others from which an answer is slow: at least twice as long.
const SLOW_CLASSES: usize = 2;

/// The shortest pause that is slow. Who reads a stream does not notice a shorter one, and a busy host of an entry
/// delays events by as much while all requests go to one side, so that there is nothing to compare with.
const LEAST_SLOW_PAUSE: Duration = Duration::from_millis(50);

/// The number of times of the other versions below which there is nothing to compare times with.
const LEAST_TIMES: u64 = 8;

/// Which times are compared.
#[derive(Clone, Copy)]
enum Times {
    Firsts,
    Pauses,
}

impl Times {
    fn of(self, totals: &SideTotals) -> &[u64] {
        match self {
            Self::Firsts => &totals.firsts,
            Self::Pauses => &totals.pauses,
        }
    }
}

/// The comparison of the two sides of a roll-out on one route.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    failures: SequentialTest,
    firsts: SequentialTest,
    pauses: SequentialTest,
    seen: SideTotals,
    /// The totals of the old side at earlier times, the oldest one first.
    past: VecDeque<(Time, SideTotals)>,
}

impl Comparison {
    /// Applies the newest totals. Without `with_times` only failures are compared, as for routes that differ in their
    /// times.
    pub(super) fn apply(&mut self, now: Time, totals: &RouteTotals, with_times: bool) {
        let old = &totals.old;
        let change = totals.new.since(&self.seen);
        self.seen = totals.new.clone();
        while self.past.len() > 1 && now.since(self.past[1].0) >= WINDOW {
            self.past.pop_front();
        }
        let recent = match self.past.front() {
            Some((_, before)) => old.since(before),
            None => old.clone(),
        };
        let is_change = self.past.back().is_none_or(|(_, before)| before != old);
        if is_change {
            self.past.push_back((now, old.clone()));
        }
        let expected = expected_share(
            (recent.failures, recent.ended()),
            (old.failures, old.ended()),
            LEAST_FAILURES,
        );
        (self.failures).add(change.failures, change.ended(), expected, EXCESS_FAILURES);
        if with_times {
            compare_times(&mut self.firsts, &change, &recent, old, Times::Firsts);
            compare_times(&mut self.pauses, &change, &recent, old, Times::Pauses);
        }
    }

    /// Returns the strongest evidence against the target version.
    pub(super) fn evidence(&self) -> f64 {
        let sums = [&self.failures, &self.firsts, &self.pauses].map(|test| test.sum());
        sums.into_iter().fold(0.0, f64::max)
    }

    /// Returns what makes the target version bad, `None` if it is not known to be.
    pub(super) fn verdict(&self) -> Option<&'static str> {
        let tests = [
            (self.failures, "failures"),
            (self.firsts, "slow first answers"),
            (self.pauses, "slow pauses"),
        ];
        let found = tests.into_iter().find(|(test, _)| test.sum() >= ALARM);
        found.map(|(_, name)| name)
    }
}

fn compare_times(
    test: &mut SequentialTest,
    change: &SideTotals,
    recent: &SideTotals,
    old: &SideTotals,
    times: Times,
) {
    let all_old = times.of(old);
    let recent = times.of(recent);
    // A median of few recent times says less than that of all.
    let known = match recent.iter().sum::<u64>() >= LEAST_TIMES {
        true => median_class(recent).max(median_class(all_old)),
        false => median_class(all_old),
    };
    let Some(median) = known else {
        return;
    };
    if all_old.iter().sum::<u64>() < LEAST_TIMES {
        return;
    }
    let least = match times {
        Times::Firsts => 0,
        Times::Pauses => TimeCounts::class(LEAST_SLOW_PAUSE),
    };
    let limit = (median + SLOW_CLASSES).max(least);
    let (slow, all) = times_above(times.of(change), limit);
    let expected = expected_share(
        times_above(recent, limit),
        times_above(all_old, limit),
        LEAST_SLOW,
    );
    test.add(slow, all, expected, EXCESS_SLOW);
}
