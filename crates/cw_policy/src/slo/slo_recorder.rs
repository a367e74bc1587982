//! The events of every route and priority.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_macro::data;
use cw_types::PriorityName;
use cw_types::RouteName;
use cw_types::Time;

use super::Counts;
use super::Objective;
use super::Objectives;
use super::Series;
use super::Window;

/// The most classes kept, so that the number of metrics is bounded.
const CLASSES_MAX: usize = 64;

/// Whose events are counted together.
#[data(Eq, PartialOrd, Ord)]
pub struct Class {
    /// The route.
    pub route: RouteName,
    /// The priority of its requests.
    pub priority: PriorityName,
}

/// The events of one process since its start.
#[derive(Clone, Debug)]
pub struct SloRecorder {
    /// What is promised.
    pub objectives: Objectives,
    started: Time,
    series: BTreeMap<(Class, Objective), Series>,
}

impl SloRecorder {
    /// Returns an empty book, begun now.
    pub fn new(now: Time, objectives: Objectives) -> Self {
        Self {
            objectives,
            started: now,
            series: BTreeMap::new(),
        }
    }

    /// Returns how much of a window this process has seen.
    pub fn covered(&self, now: Time, window: Window) -> Duration {
        now.since(self.started).min(window.length())
    }

    // --- Recording ---

    /// Records events of one class; events of a class beyond the bound are not kept.
    pub fn record(&mut self, now: Time, class: &Class, objective: Objective, counts: Counts) {
        let key = (class.clone(), objective);
        let room = self.series.len() < CLASSES_MAX * Objective::ALL.len();
        if room || self.series.contains_key(&key) {
            self.series.entry(key).or_default().record(now, counts);
        }
    }

    /// Records how long the first token took.
    pub fn first_token(&mut self, now: Time, class: &Class, took: Duration) {
        let good = took <= self.objectives.first_token;
        self.one(now, class, Objective::FirstToken, good);
    }

    /// Records how long output stood still after a loss.
    pub fn resume(&mut self, now: Time, class: &Class, took: Duration) {
        let good = took <= self.objectives.resume;
        self.one(now, class, Objective::Resume, good);
    }

    /// Records whether an accepted request got its whole answer.
    pub fn whole(&mut self, now: Time, class: &Class, good: bool) {
        self.one(now, class, Objective::Whole, good);
    }

    /// Records whether a refusal is proven.
    pub fn refusal(&mut self, now: Time, class: &Class, proven: bool) {
        self.one(now, class, Objective::Refusal, proven);
    }

    fn one(&mut self, now: Time, class: &Class, objective: Objective, good: bool) {
        let counts = Counts {
            good: good.into(),
            total: 1,
        };
        self.record(now, class, objective, counts);
    }

    // --- Reading ---

    /// Returns the counts of every class and objective over a window that ends now.
    pub fn counts(
        &mut self,
        now: Time,
        window: Window,
    ) -> impl Iterator<Item = (&Class, Objective, Counts)> {
        self.series
            .iter_mut()
            .map(move |((class, objective), series)| {
                (class, *objective, series.counts(now, window))
            })
    }
}
