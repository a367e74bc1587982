//! Metrics of the service-level events of this process.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_policy::slo::Objective;
use cw_policy::slo::Objectives;
use cw_policy::slo::SloRecorder;
use cw_policy::slo::Window;
use prometheus::GaugeVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::core::Collector;
use prometheus::core::Desc;
use prometheus::proto::MetricFamily;

use crate::Clock;

/// Records service-level events and exposes them as metrics.
pub struct SloMetrics {
    recorder: Mutex<SloRecorder>,
    clock: Clock,
    events: IntGaugeVec,
    covered: IntGaugeVec,
    fraction: GaugeVec,
}

impl SloMetrics {
    /// The name of the metric with the event counts of each window.
    pub const EVENTS: &'static str = "cyclamenwharf_slo_events";
    /// The name of the metric with the part of each window that the process has run, in seconds.
    pub const COVERED: &'static str = "cyclamenwharf_slo_covered_seconds";
    /// The name of the metric with the required fraction of good events.
    pub const FRACTION: &'static str = "cyclamenwharf_slo_fraction";

    /// Returns metrics without events, whose windows start now.
    ///
    /// # Errors
    ///
    /// Fails only if a metric's name or label is invalid.
    pub fn new(clock: Clock, objectives: Objectives) -> Result<Self, prometheus::Error> {
        let events = Opts::new(Self::EVENTS, "Service-level events over a sliding window.");
        let covered = Opts::new(
            Self::COVERED,
            "The part of a window that this process has seen.",
        );
        let fraction = Opts::new(Self::FRACTION, "The fraction of events that must be good.");
        let labels = ["route", "priority", "objective", "window", "outcome"];
        Ok(Self {
            recorder: Mutex::new(SloRecorder::new(clock.now(), objectives)),
            clock,
            events: IntGaugeVec::new(events, &labels)?,
            covered: IntGaugeVec::new(covered, &["window"])?,
            fraction: GaugeVec::new(fraction, &["objective"])?,
        })
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, class: &Class, duration: Duration) {
        self.with_recorder(|recorder, clock| {
            recorder.record_first_token(clock.now(), class, duration)
        });
    }

    /// Records gaps between tokens, counted by the stream that observed them.
    pub fn record_token_gaps(&self, class: &Class, counts: Counts) {
        self.with_recorder(|recorder, clock| {
            recorder.record(clock.now(), class, Objective::TokenGap, counts)
        });
    }

    /// Records how long the output was interrupted after a failure.
    pub fn record_resume(&self, class: &Class, duration: Duration) {
        self.with_recorder(|recorder, clock| recorder.record_resume(clock.now(), class, duration));
    }

    /// Records whether an accepted request was answered completely.
    pub fn record_completion(&self, class: &Class, good: bool) {
        self.with_recorder(|recorder, clock| recorder.record_response(clock.now(), class, good));
    }

    /// Records a refusal, and whether it is certain that the work has not run.
    pub fn record_refusal(&self, class: &Class, proven: bool) {
        self.with_recorder(|recorder, clock| recorder.record_refusal(clock.now(), class, proven));
    }

    /// Returns the service-level objectives.
    pub fn objectives(&self) -> Objectives {
        self.with_recorder(|recorder, _| recorder.objectives.clone())
    }

    fn with_recorder<T>(&self, apply: impl FnOnce(&mut SloRecorder, &Clock) -> T) -> T {
        // Counts are still usable after a panic in another thread, so a poisoned lock is ignored.
        let mut recorder = self.recorder.lock().unwrap_or_else(PoisonError::into_inner);
        apply(&mut recorder, &self.clock)
    }

    fn update_gauges(&self, recorder: &mut SloRecorder) {
        let now = self.clock.now();
        self.events.reset();
        for window in Window::ALL {
            let covered = recorder.covered(now, window).as_secs();
            self.covered
                .with_label_values(&[window.as_str()])
                .set(covered.try_into().unwrap_or(i64::MAX));
            for (class, objective, counts) in recorder.counts(now, window) {
                self.set_counts(class, objective, window, counts);
            }
        }
        for objective in Objective::ALL {
            self.fraction
                .with_label_values(&[objective.as_str()])
                .set(recorder.objectives.fraction(objective));
        }
    }

    fn set_counts(&self, class: &Class, objective: Objective, window: Window, counts: Counts) {
        for (outcome, count) in [("good", counts.good), ("all", counts.total)] {
            let labels = [
                class.route.as_str(),
                class.priority.as_str(),
                objective.as_str(),
                window.as_str(),
                outcome,
            ];
            self.events
                .with_label_values(&labels)
                .set(count.try_into().unwrap_or(i64::MAX));
        }
    }
}

impl Collector for SloMetrics {
    fn desc(&self) -> Vec<&Desc> {
        [
            self.events.desc(),
            self.covered.desc(),
            self.fraction.desc(),
        ]
        .concat()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.with_recorder(|recorder, _| self.update_gauges(recorder));
        let mut families = self.events.collect();
        families.extend(self.covered.collect());
        families.extend(self.fraction.collect());
        families
    }
}

/// A shared handle to the metrics, to register as a collector.
#[derive(Clone)]
pub struct SloCollector(pub std::sync::Arc<SloMetrics>);

impl Collector for SloCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.0.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.0.collect()
    }
}
