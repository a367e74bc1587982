//! The windows over which burn rates are reported.

use std::fmt;
use std::time::Duration;

use cw_macro::data;

/// A sliding window that ends at the current time.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Window {
    /// Five minutes.
    FiveMinutes,
    /// One hour.
    Hour,
    /// Six hours.
    SixHours,
    /// Three days.
    ThreeDays,
}

const MINUTE: Duration = Duration::from_secs(60);

impl Window {
    /// Every window, shortest first.
    pub const ALL: [Window; 4] = [
        Window::FiveMinutes,
        Window::Hour,
        Window::SixHours,
        Window::ThreeDays,
    ];

    /// Returns the length of the window.
    pub const fn length(self) -> Duration {
        match self {
            Window::FiveMinutes => MINUTE.saturating_mul(5),
            Window::Hour => MINUTE.saturating_mul(60),
            Window::SixHours => MINUTE.saturating_mul(6 * 60),
            Window::ThreeDays => MINUTE.saturating_mul(72 * 60),
        }
    }

    /// Returns the length of each of the window's buckets.
    pub const fn bucket(self) -> Duration {
        match self {
            Window::FiveMinutes => Duration::from_secs(10),
            Window::Hour => MINUTE,
            Window::SixHours => MINUTE.saturating_mul(5),
            Window::ThreeDays => MINUTE.saturating_mul(60),
        }
    }

    /// Returns the name used in metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Window::FiveMinutes => "5m",
            Window::Hour => "1h",
            Window::SixHours => "6h",
            Window::ThreeDays => "3d",
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
