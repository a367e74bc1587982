//! The evidence of all entries about one side on one route.

use cw_wire::SideEvidence;
use cw_wire::TimeCounts;

/// The number of answers of the past that count beside the recent ones. It bounds what a few recent answers say.
const PRIOR_ANSWERS: f64 = 50.0;

/// The evidence of all entries about one side on one route.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SideTotals {
    pub(super) sends: u64,
    pub(super) answers: u64,
    pub(super) failures: u64,
    pub(super) firsts: Vec<u64>,
    pub(super) pauses: Vec<u64>,
}

impl SideTotals {
    /// Adds what one entry has seen.
    pub(super) fn add(&mut self, evidence: &SideEvidence) {
        self.sends += u64::from(evidence.sends);
        self.answers += u64::from(evidence.answers);
        self.failures += u64::from(evidence.failures);
        add_times(&mut self.firsts, &evidence.firsts);
        add_times(&mut self.pauses, &evidence.pauses);
    }

    /// Adds what others have seen.
    pub(super) fn merge(&mut self, other: &Self) {
        self.sends += other.sends;
        self.answers += other.answers;
        self.failures += other.failures;
        merge_counts(&mut self.firsts, &other.firsts);
        merge_counts(&mut self.pauses, &other.pauses);
    }

    /// Returns what has been seen since an earlier time.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            sends: self.sends.saturating_sub(earlier.sends),
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            firsts: count_changes(&self.firsts, &earlier.firsts),
            pauses: count_changes(&self.pauses, &earlier.pauses),
        }
    }

    /// Returns the number of runs that ended with an answer, a failed one included.
    pub(super) fn ended(&self) -> u64 {
        self.answers + self.failures
    }
}

/// Returns the class of the median time, `None` without times.
pub(super) fn median_class(counts: &[u64]) -> Option<usize> {
    let all: u64 = counts.iter().sum();
    let mut below = 0;
    counts.iter().position(|count| {
        below += count;
        all > 0 && 2 * below >= all
    })
}

/// Returns how many times are above a class, and how many there are.
pub(super) fn times_above(counts: &[u64], class: usize) -> (u64, u64) {
    let above = counts.iter().skip(class + 1).sum();
    (above, counts.iter().sum())
}

/// Returns the share of bad answers that is to be expected: the recent one, with some answers of the past, and not
/// below that of the past or `least`.
pub(super) fn expected_share(recent: (u64, u64), past: (u64, u64), least: f64) -> f64 {
    let past = match past.1 {
        0 => least,
        all => (past.0 as f64 / all as f64).max(least),
    };
    let bad = recent.0 as f64 + PRIOR_ANSWERS * past;
    (bad / (recent.1 as f64 + PRIOR_ANSWERS)).max(past)
}

fn add_times(totals: &mut Vec<u64>, times: &TimeCounts) {
    let counts = times.counts();
    if totals.len() < counts.len() {
        totals.resize(counts.len(), 0);
    }
    for (total, count) in totals.iter_mut().zip(counts) {
        *total += u64::from(*count);
    }
}

fn merge_counts(totals: &mut Vec<u64>, counts: &[u64]) {
    if totals.len() < counts.len() {
        totals.resize(counts.len(), 0);
    }
    for (total, count) in totals.iter_mut().zip(counts) {
        *total += count;
    }
}

fn count_changes(counts: &[u64], earlier: &[u64]) -> Vec<u64> {
    let before = |class: usize| earlier.get(class).copied().unwrap_or_default();
    let counts = counts.iter().enumerate();
    counts
        .map(|(class, count)| count.saturating_sub(before(class)))
        .collect()
}
