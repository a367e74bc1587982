//! How fast the error budget burns.
//!
//! The pairs of windows and their thresholds are those of "Alerting on SLOs" in the Site
//! Reliability Workbook (Google, 2018): a long window shows that it matters, a short one that it
//! still goes on.

use std::fmt;

use cw_macro::data;

use super::Counts;
use super::Window;

/// The rate that spends 2 % of a 30-day budget in an hour.
const PAGE_FAST: f64 = 14.4;
/// The rate that spends 5 % of a 30-day budget in six hours.
const PAGE_SLOW: f64 = 6.0;
/// The rate that spends the whole budget in its period.
const TICKET: f64 = 1.0;

/// How bad a burn is.
#[data(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Nothing was counted.
    NoData,
    /// The budget lasts.
    Ok,
    /// The budget will be spent before its period ends.
    Ticket,
    /// A person is needed now.
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

/// The burn of one objective over every window.
#[data]
pub struct Burn {
    /// The fraction of events that must be good.
    pub fraction: f64,
    /// The counts of each window, in the order of [`Window::ALL`].
    pub counts: [Counts; 4],
}

impl Burn {
    /// Returns the burn rate over a window: 1 spends the budget exactly in its period.
    ///
    /// `None` when nothing was counted.
    pub fn rate(&self, window: Window) -> Option<f64> {
        let counts = self.of(window);
        if counts.total == 0 {
            return None;
        }
        let bad = (counts.total - counts.good.min(counts.total)) as f64 / counts.total as f64;
        let allowed = (1.0 - self.fraction).max(f64::EPSILON);
        Some(bad / allowed)
    }

    /// Returns the part of the error budget of the longest window that is left, at most 1.
    ///
    /// It is negative when more was spent than allowed.
    pub fn budget_left(&self) -> Option<f64> {
        self.rate(Window::ThreeDays).map(|rate| 1.0 - rate)
    }

    /// Returns how bad it is.
    pub fn condition(&self) -> Condition {
        if self.counts.iter().all(|counts| counts.total == 0) {
            return Condition::NoData;
        }
        let over = |window, limit| self.rate(window).is_some_and(|rate| rate >= limit);
        let both = |long, short, limit| over(long, limit) && over(short, limit);
        if both(Window::Hour, Window::FiveMinutes, PAGE_FAST)
            || both(Window::SixHours, Window::Hour, PAGE_SLOW)
        {
            return Condition::Page;
        }
        if both(Window::ThreeDays, Window::SixHours, TICKET) {
            return Condition::Ticket;
        }
        Condition::Ok
    }

    fn of(&self, window: Window) -> Counts {
        Window::ALL
            .into_iter()
            .zip(self.counts)
            .find(|(candidate, _)| *candidate == window)
            .map_or(Counts::default(), |(_, counts)| counts)
    }
}
