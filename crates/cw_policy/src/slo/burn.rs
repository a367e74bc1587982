//! The burn rate of the error budget.
//!
//! The pairs of windows and their thresholds are those of "Alerting on SLOs" in the Site
//! Reliability Workbook (Google, 2018): the long window shows that the burn is significant, and the
//! short one that it continues.

use std::fmt;

use cw_macro::data;

use super::Counts;
use super::Window;

/// The burn rate that spends 2 % of a 30-day budget in one hour.
const FAST_PAGE_RATE: f64 = 14.4;
/// The burn rate that spends 5 % of a 30-day budget in six hours.
const SLOW_PAGE_RATE: f64 = 6.0;
/// The burn rate that spends the entire budget in its period.
const TICKET_RATE: f64 = 1.0;

/// The severity of a burn.
#[data(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No events were counted.
    NoData,
    /// The budget lasts for its period.
    Ok,
    /// The budget will be spent before its period ends, so a ticket is due.
    Ticket,
    /// The budget is burning so fast that an operator must be paged.
    Page,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Condition::NoData => "no data",
            Condition::Ok => "ok",
            Condition::Ticket => "ticket",
            Condition::Page => "page",
        })
    }
}

/// The event counts of one objective over each window, and its required fraction.
#[data]
pub struct Burn {
    /// The fraction of events that must be good.
    pub fraction: f64,
    /// The counts of each window, in the order of [`Window::ALL`].
    pub counts: [Counts; 4],
}

impl Burn {
    /// Returns the burn rate over a window, where 1 spends the budget exactly in its period.
    ///
    /// `None` if no events were counted in the window.
    pub fn rate(&self, window: Window) -> Option<f64> {
        let counts = self.counts_of(window);
        if counts.total == 0 {
            return None;
        }
        let bad = (counts.total - counts.good.min(counts.total)) as f64 / counts.total as f64;
        let allowed = (1.0 - self.fraction).max(f64::EPSILON);
        Some(bad / allowed)
    }

    /// Returns the fraction of the longest window's error budget that is left, at most 1.
    ///
    /// It is negative if the budget is overspent, and `None` if no events were counted.
    pub fn budget_left(&self) -> Option<f64> {
        self.rate(Window::ThreeDays).map(|rate| 1.0 - rate)
    }

    /// Returns the severity.
    pub fn condition(&self) -> Condition {
        if self.counts.iter().all(|counts| counts.total == 0) {
            return Condition::NoData;
        }
        let reaches = |window, limit| self.rate(window).is_some_and(|rate| rate >= limit);
        let both_reach = |long, short, limit| reaches(long, limit) && reaches(short, limit);
        if both_reach(Window::Hour, Window::FiveMinutes, FAST_PAGE_RATE)
            || both_reach(Window::SixHours, Window::Hour, SLOW_PAGE_RATE)
        {
            return Condition::Page;
        }
        if both_reach(Window::ThreeDays, Window::SixHours, TICKET_RATE) {
            return Condition::Ticket;
        }
        Condition::Ok
    }

    fn counts_of(&self, window: Window) -> Counts {
        Window::ALL
            .into_iter()
            .zip(self.counts)
            .find(|(candidate, _)| *candidate == window)
            .map_or(Counts::default(), |(_, counts)| counts)
    }
}
