//! What a forwarding entry counts.

use std::time::Duration;

use cw_types::ServiceName;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Buckets for times between 5 ms and 30 s, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 30.0,
];

/// What a forwarding entry counts. Labels are services and closed lists only.
#[derive(Clone, Debug)]
pub(crate) struct ForwardMetrics {
    requests: IntCounterVec,
    answer: HistogramVec,
    pauses: Histogram,
    resumption: Histogram,
    sends: IntCounterVec,
    /// Events passed on to callers.
    pub(crate) events: IntCounter,
    /// Streams in progress.
    pub(crate) streams: IntGauge,
    /// Targets in the directory.
    pub(crate) targets: IntGauge,
    /// Entries that share the budgets, this one included; 0 until one is heard or registered.
    pub(crate) entries: IntGauge,
    /// The version of the configuration in force.
    pub(crate) version: IntGauge,
    store: IntCounterVec,
}

impl ForwardMetrics {
    /// Returns counters that `registry` shows.
    ///
    /// # Errors
    ///
    /// Fails when the registry has metrics of these names.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts =
            |name: &str, help: &str| Opts::new(format!("cyclamenwharf_forward_{name}"), help);
        let times = |name, help| HistogramOpts::from(opts(name, help)).buckets(BUCKETS.to_vec());
        let gauge = |name, help| IntGauge::with_opts(opts(name, help));
        let metrics = Self {
            requests: IntCounterVec::new(
                opts("requests_total", "Requests by service and outcome"),
                &["service", "outcome"],
            )?,
            answer: HistogramVec::new(
                times("answer_seconds", "Time to the answer, or its first event"),
                &["service"],
            )?,
            pauses: Histogram::with_opts(times(
                "pause_seconds",
                "Time between events, as passed on",
            ))?,
            resumption: Histogram::with_opts(times(
                "resumption_seconds",
                "Time from a loss until the stream goes on",
            ))?,
            sends: IntCounterVec::new(
                opts("sends_total", "Sends to targets by what they came to"),
                &["service", "end"],
            )?,
            events: IntCounter::with_opts(opts("events_total", "Events passed on"))?,
            streams: gauge("streams", "Streams in progress")?,
            targets: gauge("targets", "Targets in the directory")?,
            entries: gauge("entries", "Entries that share the budgets")?,
            version: gauge("config_version", "Version of the configuration in force")?,
            store: IntCounterVec::new(
                opts("store_calls_total", "Messages from the key-value service"),
                &["end"],
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.answer.clone()))?;
        registry.register(Box::new(metrics.pauses.clone()))?;
        registry.register(Box::new(metrics.resumption.clone()))?;
        registry.register(Box::new(metrics.sends.clone()))?;
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.streams.clone()))?;
        registry.register(Box::new(metrics.targets.clone()))?;
        registry.register(Box::new(metrics.entries.clone()))?;
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.store.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(&self, service: Option<&ServiceName>, outcome: &str) {
        let service = service.map_or("none", ServiceName::as_str);
        self.requests.with_label_values(&[service, outcome]).inc();
    }

    /// Counts the time to an answer, or to its first event.
    pub(crate) fn answered(&self, service: &ServiceName, time: Duration) {
        self.answer
            .with_label_values(&[service.as_str()])
            .observe(time.as_secs_f64());
    }

    /// Counts a time between events.
    pub(crate) fn paused(&self, time: Duration) {
        self.pauses.observe(time.as_secs_f64());
    }

    /// Counts a time from a loss until the stream goes on.
    pub(crate) fn resumed(&self, time: Duration) {
        self.resumption.observe(time.as_secs_f64());
    }

    /// Counts a send by what it came to.
    pub(crate) fn sent(&self, service: &ServiceName, end: &str) {
        self.sends.with_label_values(&[service.as_str(), end]).inc();
    }

    /// Counts a message from the key-value service.
    pub(crate) fn stored(&self, end: &str) {
        self.store.with_label_values(&[end]).inc();
    }
}
