//! The event counts of each route and priority.

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

/// The largest number of classes, which bounds the number of metrics.
const MAX_CLASSES: usize = 64;

/// The requests whose events are counted together.
#[data(Eq, PartialOrd, Ord)]
pub struct Class {
    /// The route of the requests.
    pub route: RouteName,
    /// The priority of the requests.
    pub priority: PriorityName,
}

/// The event counts of one process since its start.
#[derive(Clone, Debug)]
pub struct SloRecorder {
    /// The limits by which events count as good.
    pub objectives: Objectives,
    started: Time,
    series: BTreeMap<(Class, Objective), Series>,
}

impl SloRecorder {
    /// Returns a recorder without events that starts at `now`.
    pub fn new(now: Time, objectives: Objectives) -> Self {
        Self {
            objectives,
            started: now,
            series: BTreeMap::new(),
        }
    }

    /// Returns how much of a window lies after the start of this process.
    pub fn covered(&self, now: Time, window: Window) -> Duration {
        now.since(self.started).min(window.length())
    }

    // ---- Recording ----

    /// Records events of one class. Events of a new class are dropped once the maximum number of
    /// classes is reached.
    pub fn record(&mut self, now: Time, class: &Class, objective: Objective, counts: Counts) {
        let key = (class.clone(), objective);
        let has_room = self.series.len() < MAX_CLASSES * Objective::ALL.len();
        if has_room || self.series.contains_key(&key) {
            self.series.entry(key).or_default().record(now, counts);
        }
    }

    /// Records the time to the first token.
    pub fn record_first_token(&mut self, now: Time, class: &Class, took: Duration) {
        let good = took <= self.objectives.first_token;
        self.record_one(now, class, Objective::FirstToken, good);
    }

    /// Records how long output was interrupted by the loss of a target.
    pub fn record_resume(&mut self, now: Time, class: &Class, took: Duration) {
        let good = took <= self.objectives.resume;
        self.record_one(now, class, Objective::Resume, good);
    }

    /// Records whether an accepted request got its complete response.
    pub fn record_response(&mut self, now: Time, class: &Class, good: bool) {
        self.record_one(now, class, Objective::Whole, good);
    }

    /// Records whether a refused request is proven not to have run.
    pub fn record_refusal(&mut self, now: Time, class: &Class, proven: bool) {
        self.record_one(now, class, Objective::Refusal, proven);
    }

    fn record_one(&mut self, now: Time, class: &Class, objective: Objective, good: bool) {
        let counts = Counts {
            good: good.into(),
            total: 1,
        };
        self.record(now, class, objective, counts);
    }

    // ---- Queries ----

    /// Returns the counts of each class and objective over a window that ends at `now`.
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
