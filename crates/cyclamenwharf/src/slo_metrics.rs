//! Service-level events of this process, as metrics.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::slo::Book;
use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_policy::slo::Objective;
use cw_policy::slo::Objectives;
use cw_policy::slo::Window;
use prometheus::GaugeVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::core::Collector;
use prometheus::core::Desc;
use prometheus::proto::MetricFamily;

use crate::Clock;

/// The book of service-level events, readable as metrics.
pub struct SloMetrics {
    book: Mutex<Book>,
    clock: Clock,
    events: IntGaugeVec,
    covered: IntGaugeVec,
    fraction: GaugeVec,
}

impl SloMetrics {
    /// The metric that holds the events of each window.
    pub const EVENTS: &'static str = "cyclamenwharf_slo_events";
    /// The metric that tells how much of each window the process has seen, in seconds.
    pub const COVERED: &'static str = "cyclamenwharf_slo_covered_seconds";
    /// The metric that holds the fraction of events that must be good.
    pub const FRACTION: &'static str = "cyclamenwharf_slo_fraction";

    /// Returns an empty book, begun now.
    ///
    /// # Errors
    ///
    /// Fails only when the metrics' names or labels are not valid.
    pub fn new(clock: Clock, objectives: Objectives) -> Result<Self, prometheus::Error> {
        let events = Opts::new(Self::EVENTS, "Service-level events over a sliding window.");
        let covered = Opts::new(
            Self::COVERED,
            "The part of a window that this process has seen.",
        );
        let fraction = Opts::new(Self::FRACTION, "The fraction of events that must be good.");
        let labels = ["route", "priority", "objective", "window", "outcome"];
        Ok(Self {
            book: Mutex::new(Book::new(clock.now(), objectives)),
            clock,
            events: IntGaugeVec::new(events, &labels)?,
            covered: IntGaugeVec::new(covered, &["window"])?,
            fraction: GaugeVec::new(fraction, &["objective"])?,
        })
    }

    /// Records how long the first token took.
    pub fn record_first_token(&self, class: &Class, took: Duration) {
        self.with(|book, clock| book.first_token(clock.now(), class, took));
    }

    /// Records gaps between tokens, counted by the stream that saw them.
    pub fn record_token_gaps(&self, class: &Class, counts: Counts) {
        self.with(|book, clock| book.record(clock.now(), class, Objective::TokenGap, counts));
    }

    /// Records how long output stood still after a loss.
    pub fn record_resume(&self, class: &Class, took: Duration) {
        self.with(|book, clock| book.resume(clock.now(), class, took));
    }

    /// Records whether an accepted request got its whole answer.
    pub fn record_completion(&self, class: &Class, good: bool) {
        self.with(|book, clock| book.whole(clock.now(), class, good));
    }

    /// Records whether a refusal is proven.
    pub fn record_refusal(&self, class: &Class, proven: bool) {
        self.with(|book, clock| book.refusal(clock.now(), class, proven));
    }

    /// Returns what is promised.
    pub fn objectives(&self) -> Objectives {
        self.with(|book, _| book.objectives.clone())
    }

    fn with<T>(&self, work: impl FnOnce(&mut Book, &Clock) -> T) -> T {
        // A panic elsewhere leaves counts that are still worth reading.
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut book, &self.clock)
    }

    fn refresh(&self, book: &mut Book) {
        let now = self.clock.now();
        self.events.reset();
        for window in Window::ALL {
            let covered = book.covered(now, window).as_secs();
            self.covered
                .with_label_values(&[window.as_str()])
                .set(covered.try_into().unwrap_or(i64::MAX));
            for (class, objective, counts) in book.counts(now, window) {
                self.set(class, objective, window, counts);
            }
        }
        for objective in Objective::ALL {
            self.fraction
                .with_label_values(&[objective.as_str()])
                .set(book.objectives.fraction(objective));
        }
    }

    fn set(&self, class: &Class, objective: Objective, window: Window, counts: Counts) {
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
        self.with(|book, _| self.refresh(book));
        let mut families = self.events.collect();
        families.extend(self.covered.collect());
        families.extend(self.fraction.collect());
        families
    }
}

/// A handle that a registry can own beside the code that records.
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
