//! Budgets of services, each shared by all entries.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::Time;

/// The number of intervals that a window is divided into for counting.
const INTERVALS: u32 = 20;

/// How long a loan of another entry may be spent. It is asked for when a request waits for it, and what is left
/// serves those that are lost at the same time.
const LOAN_TTL: Duration = Duration::from_secs(1);

/// The fraction of its own budget that an entry does not lend. Its own streams may be lost next.
const RESERVE_SHARE: f64 = 0.25;

/// The extra sends to a service that are allowed over all entries.
///
/// An extra send is one beyond the first send of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// The extra sends in a window, as a ratio of the requests in it.
    pub ratio: f64,
    /// The extra sends that are allowed in each window in addition.
    pub slack: f64,
    /// The length of a window; the bound holds for each window, whenever it starts.
    pub window: Duration,
}

/// One entry's share of the budgets of all services.
///
/// Each entry counts its own requests and has an equal share of the slack, so the sum over all
/// entries stays within the shared budget in any window, whatever the others know. An entry may lend a part of
/// its share: it counts a loan as spent for as long as the borrower may spend it and a window more, and the
/// borrower does not count it. A loan whose answer is lost is not spent at all.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    budget: SharedBudget,
    entries: u32,
    services: BTreeMap<ServiceName, WindowCounts>,
}

/// The sends in one interval of a window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Time,
    firsts: u32,
    extras: u32,
}

/// The sends to one service in the last window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    intervals: VecDeque<Interval>,
    /// The number of sends lent to other entries, with the time of each loan.
    lent: VecDeque<(Time, u32)>,
    /// The number of sends borrowed and not spent yet, with the time when each was asked for.
    borrowed: VecDeque<(Time, u32)>,
}

impl ServiceBudgets {
    /// Returns the share of one of `entries` entries.
    pub fn new(budget: SharedBudget, entries: u32) -> Self {
        Self {
            budget,
            entries: entries.max(1),
            services: BTreeMap::new(),
        }
    }

    /// Sets how many entries share the budgets.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records the first send of a request.
    pub fn record_first(&mut self, now: Time, service: &ServiceName) {
        self.current_interval(now, service).firsts += 1;
    }

    /// Returns whether an extra send is allowed, and counts it if so.
    pub fn try_spend(&mut self, now: Time, service: &ServiceName) -> bool {
        self.try_spend_beside(now, service, |_| 0.0)
    }

    /// Returns whether an extra send is allowed that leaves a part of the budget to others, and counts
    /// it if so. `kept` returns that part of all extra sends that are allowed in the window.
    pub fn try_spend_beside(
        &mut self,
        now: Time,
        service: &ServiceName,
        kept: impl FnOnce(f64) -> f64,
    ) -> bool {
        let budget = self.budget;
        let slack = budget.slack / f64::from(self.entries);
        self.current_interval(now, service);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let allowed = slack + budget.ratio * f64::from(counts.firsts(now.before(budget.window)));
        let spent = f64::from(counts.extras());
        let is_allowed = spent + 1.0 <= allowed - kept(allowed);
        if is_allowed && let Some(interval) = counts.intervals.back_mut() {
            interval.extras += 1;
        }
        is_allowed || counts.spend_borrowed(now)
    }

    /// Lends up to `wanted` extra sends to another entry, and returns how many.
    pub fn lend(&mut self, now: Time, service: &ServiceName, wanted: u32) -> u32 {
        let budget = self.budget;
        let slack = budget.slack / f64::from(self.entries);
        self.current_interval(now, service);
        let Some(counts) = self.services.get_mut(service) else {
            return 0;
        };
        let allowed = slack + budget.ratio * f64::from(counts.firsts(now.before(budget.window)));
        let free = allowed * (1.0 - RESERVE_SHARE) - f64::from(counts.extras());
        let lent = wanted.min(free.max(0.0) as u32);
        if lent > 0 {
            counts.lent.push_back((now, lent));
        }
        lent
    }

    /// Records extra sends that another entry has lent, which was asked for them at `asked`.
    pub fn record_loan(&mut self, asked: Time, service: &ServiceName, lent: u32) {
        let counts = self.services.entry(service.clone()).or_default();
        if lent > 0 {
            counts.borrowed.push_back((asked, lent));
        }
    }

    /// Removes the budgets of all services for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    /// Returns the current interval of a service, and drops those that are too old.
    fn current_interval(&mut self, now: Time, service: &ServiceName) -> &mut Interval {
        let length = self.budget.window / INTERVALS;
        // One more interval than a window has, because the oldest one may overlap the window.
        let retention = self.budget.window + length;
        let counts = self.services.entry(service.clone()).or_default();
        while let Some(oldest) = counts.intervals.front()
            && now.since(oldest.start) > retention
        {
            counts.intervals.pop_front();
        }
        while let Some((lent_at, _)) = counts.lent.front()
            && now.since(*lent_at) > retention + LOAN_TTL
        {
            counts.lent.pop_front();
        }
        let is_new = counts
            .intervals
            .back()
            .is_none_or(|interval| now.since(interval.start) >= length);
        if is_new {
            counts.intervals.push_back(Interval {
                start: now,
                firsts: 0,
                extras: 0,
            });
        }
        let last = counts.intervals.len() - 1;
        &mut counts.intervals[last]
    }
}

impl WindowCounts {
    /// Returns the first sends that certainly lie within the window that starts at `start`.
    fn firsts(&self, start: Time) -> u32 {
        let intervals = self
            .intervals
            .iter()
            .filter(|interval| interval.start >= start);
        intervals.map(|interval| interval.firsts).sum()
    }

    /// Returns the extra sends that may lie within the window, including those of borrowers.
    fn extras(&self) -> u32 {
        let own: u32 = self.intervals.iter().map(|interval| interval.extras).sum();
        let lent: u32 = self.lent.iter().map(|(_, count)| count).sum();
        own + lent
    }

    /// Spends one of the borrowed sends that are still valid. Returns whether there was one.
    fn spend_borrowed(&mut self, now: Time) -> bool {
        self.borrowed
            .retain(|(asked, count)| *count > 0 && now.since(*asked) <= LOAN_TTL);
        let Some((_, count)) = self.borrowed.front_mut() else {
            return false;
        };
        *count -= 1;
        true
    }
}
