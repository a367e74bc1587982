//! The report on error budget burn, summed over all entries.

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

use super::EntryMetrics;

/// The error budget burn of one class and objective.
#[data]
pub(crate) struct Row {
    /// The class of the requests.
    pub(crate) class: Class,
    /// The service-level objective.
    pub(crate) objective: Objective,
    /// The counted events by window, and the objective's fraction.
    pub(crate) burn: Burn,
    /// The alert condition that the burn results in.
    pub(crate) condition: Condition,
}

/// The error budget burn of all classes and objectives.
#[serde_as]
#[data]
pub(crate) struct Report {
    /// The rows, by class and objective.
    pub(crate) rows: Vec<Row>,
    /// How much of each window the most recently started entry covers.
    #[serde_as(as = "[DurationText; 4]")]
    pub(crate) covered: [Duration; 4],
    /// The number of entries that were read.
    pub(crate) read: usize,
    /// The entries that could not be read.
    pub(crate) missing: Vec<SocketAddr>,
}

impl Report {
    /// Sums up the metrics of several entries.
    pub(crate) fn from_metrics(metrics: &[EntryMetrics], missing: Vec<SocketAddr>) -> Self {
        let mut burns = BTreeMap::<(Class, Objective), Burn>::new();
        for entry in metrics {
            for (key, counts) in &entry.events {
                let fraction = entry.fractions.get(&key.1).copied().unwrap_or(1.0);
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
            covered: std::array::from_fn(|i| shortest(metrics.iter().map(|m| m.covered[i]))),
            read: metrics.len(),
            missing,
        }
    }

    /// Returns the limitations of the reported figures, one sentence each.
    pub(crate) fn remarks(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        for (window, covered) in Window::ALL.into_iter().zip(self.covered) {
            if covered < window.length() {
                let uptime = humantime::format_duration(covered);
                remarks.push(format!(
                    "The {window} window is incomplete: an entry has run for only {uptime}."
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

    /// Returns the report as indented JSON.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report serializes to JSON")
    }

    /// Returns the report as a table for a terminal.
    pub(crate) fn table(&self) -> String {
        let mut out = format!(
            "{:<16} {:<12} {:<12} {:>7} {:>7} {:>7} {:>7} {:>9}  {}\n",
            "ROUTE", "PRIORITY", "OBJECTIVE", "5m", "1h", "6h", "3d", "LEFT", "CONDITION"
        );
        for row in &self.rows {
            let [a, b, c, d] = Window::ALL.map(|window| format_rate(&row.burn, window));
            let left = format_percent(row.burn.budget_left());
            // Writing to a string never fails.
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

fn shortest(durations: impl Iterator<Item = Duration>) -> Duration {
    durations.min().unwrap_or_default()
}

/// Returns a burn rate as text, or `-` if no events were counted.
pub(crate) fn format_rate(burn: &Burn, window: Window) -> String {
    burn.rate(window)
        .map_or("-".to_owned(), |rate| format!("{rate:.2}"))
}

/// Returns a fraction as a percentage, or `-` if no events were counted.
pub(crate) fn format_percent(fraction: Option<f64>) -> String {
    fraction.map_or("-".to_owned(), |fraction| {
        format!("{:.1} %", fraction * 100.0)
    })
}
