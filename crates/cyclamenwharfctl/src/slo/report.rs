//! The report on service-level burn, over all entries.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use cw_macro::data;
use cw_policy::slo::Burn;
use cw_policy::slo::Class;
use cw_policy::slo::Condition;
use cw_policy::slo::Objective;
use cw_policy::slo::Window;
use cw_types::units::DurationText;
use serde_with::serde_as;

use super::Sample;

/// The burn of one objective of one class.
#[data]
pub(crate) struct Row {
    /// Whose requests.
    pub(crate) class: Class,
    /// Which promise.
    pub(crate) objective: Objective,
    /// The burn.
    pub(crate) burn: Burn,
    /// How bad it is.
    pub(crate) condition: Condition,
}

/// The report.
#[serde_as]
#[data]
pub(crate) struct Report {
    /// The rows, by class and objective.
    pub(crate) rows: Vec<Row>,
    /// How much of each window the youngest entry has seen.
    #[serde_as(as = "[DurationText; 4]")]
    pub(crate) covered: [Duration; 4],
    /// How many entries were read.
    pub(crate) read: usize,
    /// The entries that could not be read.
    pub(crate) missing: Vec<SocketAddr>,
}

impl Report {
    /// Adds up the samples of several entries.
    pub(crate) fn of(samples: &[Sample], missing: Vec<SocketAddr>) -> Self {
        let mut burns = BTreeMap::<(Class, Objective), Burn>::new();
        for sample in samples {
            for (key, counts) in &sample.events {
                let fraction = sample.fractions.get(&key.1).copied().unwrap_or(1.0);
                let burn = burns.entry(key.clone()).or_insert(Burn {
                    fraction,
                    counts: Default::default(),
                });
                for (sum, part) in burn.counts.iter_mut().zip(counts) {
                    *sum = sum.plus(*part);
                }
            }
        }
        let row = |((class, objective), burn): (_, Burn)| Row {
            class,
            objective,
            condition: burn.condition(),
            burn,
        };
        Self {
            rows: burns.into_iter().map(row).collect(),
            covered: std::array::from_fn(|i| least(samples.iter().map(|s| s.covered[i]))),
            read: samples.len(),
            missing,
        }
    }

    /// Returns what the reader must know of the figures' limits, one sentence each.
    pub(crate) fn remarks(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        for (window, covered) in Window::ALL.into_iter().zip(self.covered) {
            if covered < window.length() {
                let seen = humantime::format_duration(covered);
                remarks.push(format!(
                    "The {window} window is incomplete: the youngest entry has run for {seen}."
                ));
            }
        }
        for entry in &self.missing {
            remarks.push(format!(
                "Entry {entry} could not be read; its events are missing."
            ));
        }
        remarks
    }

    /// Returns the report as JSON.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report is JSON")
    }

    /// Returns the report as a table for a terminal.
    pub(crate) fn table(&self) -> String {
        let mut out = format!(
            "{:<16} {:<12} {:<12} {:>7} {:>7} {:>7} {:>7} {:>9}  {}\n",
            "ROUTE", "PRIORITY", "OBJECTIVE", "5m", "1h", "6h", "3d", "LEFT", "CONDITION"
        );
        for row in &self.rows {
            let [a, b, c, d] = Window::ALL.map(|window| rate(&row.burn, window));
            let left = percent(row.burn.budget_left());
            // Writing to a string does not fail.
            let _ = writeln!(
                out,
                "{:<16} {:<12} {:<12} {a:>7} {b:>7} {c:>7} {d:>7} {left:>9}  {}",
                row.class.route, row.class.priority, row.objective, row.condition
            );
        }
        let _ = write!(out, "Entries read: {}.", self.read);
        for remark in self.remarks() {
            let _ = write!(out, "\n{remark}");
        }
        out
    }
}

fn least(spans: impl Iterator<Item = Duration>) -> Duration {
    spans.min().unwrap_or_default()
}

/// Returns a burn rate as text, `-` where nothing was counted.
pub(crate) fn rate(burn: &Burn, window: Window) -> String {
    burn.rate(window)
        .map_or("-".to_owned(), |rate| format!("{rate:.2}"))
}

/// Returns a fraction as text, `-` where nothing was counted.
pub(crate) fn percent(part: Option<f64>) -> String {
    part.map_or("-".to_owned(), |part| format!("{:.1} %", part * 100.0))
}
