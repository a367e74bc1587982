//! The metrics of a forwarding entry.

use std::time::Duration;

use cw_policy::forward::Rank;
use cw_policy::rollout::RolloutView;
use cw_types::ServiceName;
use cw_wire::RolloutStage;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The histogram buckets, for durations between 5 ms and 30 s, in seconds.
const SECONDS_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 30.0,
];

/// The metrics of a forwarding entry. Label values are service names and fixed lists only, which
/// bounds the number of series.
#[derive(Clone, Debug)]
pub(crate) struct ForwardMetrics {
    requests: IntCounterVec,
    ranks: IntCounterVec,
    answer_times: HistogramVec,
    pause_times: Histogram,
    resumption_times: Histogram,
    sends: IntCounterVec,
    /// The number of prompts sent to a target that had just started or was lost, beyond its pace.
    pub(crate) sends_beyond_pace: IntCounter,
    /// The number of events passed on to callers.
    pub(crate) events: IntCounter,
    /// The number of streams in progress.
    pub(crate) streams: IntGauge,
    /// The number of targets in the directory.
    pub(crate) targets: IntGauge,
    /// The number of entries that share the budgets, including this one. It is 0 until
    /// the registry has been read or another entry has sent a message.
    pub(crate) entries: IntGauge,
    /// The version of the active configuration.
    pub(crate) version: IntGauge,
    loans: IntCounterVec,
    store_messages: IntCounterVec,
    rollouts: GaugeVec,
}

impl ForwardMetrics {
    /// Creates the metrics and registers them in `registry`.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has metrics with these names.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts =
            |name: &str, help: &str| Opts::new(format!("cyclamenwharf_forward_{name}"), help);
        let times =
            |name, help| HistogramOpts::from(opts(name, help)).buckets(SECONDS_BUCKETS.to_vec());
        let gauge = |name, help| IntGauge::with_opts(opts(name, help));
        let metrics = Self {
            requests: IntCounterVec::new(
                opts("requests_total", "Requests by service and outcome"),
                &["service", "outcome"],
            )?,
            ranks: IntCounterVec::new(
                opts(
                    "rank_requests_total",
                    "Requests by service, rank and outcome",
                ),
                &["service", "rank", "outcome"],
            )?,
            answer_times: HistogramVec::new(
                times("answer_seconds", "Time to the answer, or its first event"),
                &["service"],
            )?,
            pause_times: Histogram::with_opts(times(
                "pause_seconds",
                "Time between events, as passed on",
            ))?,
            resumption_times: Histogram::with_opts(times(
                "resumption_seconds",
                "Time from a loss until the stream goes on",
            ))?,
            sends: IntCounterVec::new(
                opts("sends_total", "Sends to targets by what they came to"),
                &["service", "end"],
            )?,
            sends_beyond_pace: IntCounter::with_opts(opts(
                "sends_beyond_pace_total",
                "Prompts sent to a target beyond its pace after its start or loss",
            ))?,
            events: IntCounter::with_opts(opts("events_total", "Events passed on"))?,
            streams: gauge("streams", "Streams in progress")?,
            targets: gauge("targets", "Targets in the directory")?,
            entries: gauge("entries", "Entries that share the budgets")?,
            version: gauge("config_version", "Version of the configuration in force")?,
            loans: IntCounterVec::new(
                opts(
                    "budget_loans_total",
                    "Questions for a part of the budget of other entries, and loans to them",
                ),
                &["end"],
            )?,
            store_messages: IntCounterVec::new(
                opts("store_calls_total", "Messages from the key-value service"),
                &["end"],
            )?,
            rollouts: GaugeVec::new(
                opts("rollout", "How far the roll-out of a service is"),
                &["service", "value"],
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.ranks.clone()))?;
        registry.register(Box::new(metrics.answer_times.clone()))?;
        registry.register(Box::new(metrics.pause_times.clone()))?;
        registry.register(Box::new(metrics.resumption_times.clone()))?;
        registry.register(Box::new(metrics.sends.clone()))?;
        registry.register(Box::new(metrics.sends_beyond_pace.clone()))?;
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.streams.clone()))?;
        registry.register(Box::new(metrics.targets.clone()))?;
        registry.register(Box::new(metrics.entries.clone()))?;
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.loans.clone()))?;
        registry.register(Box::new(metrics.store_messages.clone()))?;
        registry.register(Box::new(metrics.rollouts.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that has ended.
    pub(crate) fn record_request(&self, service: Option<&ServiceName>, outcome: &str) {
        let service = service.map_or("none", ServiceName::as_str);
        self.requests.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a request that has ended, by its rank.
    pub(crate) fn record_rank(&self, service: &ServiceName, rank: Rank, outcome: &str) {
        let rank = rank.to_string();
        self.ranks
            .with_label_values(&[service.as_str(), &rank, outcome])
            .inc();
    }

    /// Records the time to an answer, or to the first event of a stream.
    pub(crate) fn record_answer_time(&self, service: &ServiceName, time: Duration) {
        self.answer_times
            .with_label_values(&[service.as_str()])
            .observe(time.as_secs_f64());
    }

    /// Records a pause between events.
    pub(crate) fn record_pause(&self, time: Duration) {
        self.pause_times.observe(time.as_secs_f64());
    }

    /// Records the time from the loss of a target until the stream resumes.
    pub(crate) fn record_resumption(&self, time: Duration) {
        self.resumption_times.observe(time.as_secs_f64());
    }

    /// Counts a send by its result.
    pub(crate) fn record_send(&self, service: &ServiceName, end: &str) {
        self.sends.with_label_values(&[service.as_str(), end]).inc();
    }

    /// Records how far a roll-out is, and what that rests on.
    pub(crate) fn record_rollout(
        &self,
        service: &ServiceName,
        view: &RolloutView,
        is_decider: bool,
    ) {
        let stage = match view.stage {
            None => 0.0,
            Some(RolloutStage::InProgress) => 1.0,
            Some(RolloutStage::Finishing) => 2.0,
            Some(RolloutStage::Completed) => 3.0,
            Some(RolloutStage::RolledBack) => 4.0,
        };
        let evidence_age = view.evidence_age.unwrap_or_default();
        let values = [
            ("stage", stage),
            ("share", view.share),
            ("sent_new", view.sent_new as f64),
            ("sent_all", view.sent_all as f64),
            ("answers_new", view.answers_new as f64),
            ("failures_new", view.failures_new as f64),
            ("answers_old", view.answers_old as f64),
            ("failures_old", view.failures_old as f64),
            ("evidence_age_seconds", evidence_age.as_secs_f64()),
            ("decider", f64::from(u8::from(is_decider))),
        ];
        for (name, value) in values {
            let labels = [service.as_str(), name];
            self.rollouts.with_label_values(&labels).set(value);
        }
    }

    /// Counts a question for a part of the budget, or a loan to another entry.
    pub(crate) fn record_loan(&self, end: &str) {
        self.loans.with_label_values(&[end]).inc();
    }

    /// Counts a message of the key-value service, or a failed call to it.
    pub(crate) fn record_store_message(&self, end: &str) {
        self.store_messages.with_label_values(&[end]).inc();
    }
}
