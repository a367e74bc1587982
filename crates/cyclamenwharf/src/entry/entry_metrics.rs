//! The entry's metrics.

use std::time::Duration;

use cw_policy::DropReason;
use cw_types::RouteName;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Histogram buckets for times from 1 ms to 30 s, in seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0, 30.0,
];

/// The entry's metrics.
///
/// Labels take only route names and values from fixed lists, which bounds their cardinality.
#[derive(Clone, Debug)]
pub(crate) struct EntryMetrics {
    requests: IntCounterVec,
    first_token: HistogramVec,
    between_tokens: Histogram,
    resume_latency: Histogram,
    dropped: IntCounterVec,
    /// Attempts that continue or repeat another.
    pub(crate) resumes: IntCounter,
    /// Attempts beyond the first that replace the same lost attempt.
    pub(crate) hedges: IntCounter,
    /// Output tokens that resumed attempts had to process again.
    pub(crate) extra_tokens: IntCounter,
    /// Tokens sent to callers.
    pub(crate) tokens: IntCounter,
    /// Requests in the queue.
    pub(crate) waiting: IntGauge,
}

impl EntryMetrics {
    /// Creates the metrics and registers them with `registry`.
    ///
    /// # Errors
    ///
    /// Fails when the registry already has metrics with these names.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts = |name: &str, help: &str| Opts::new(format!("cyclamenwharf_entry_{name}"), help);
        let times =
            |name, help| HistogramOpts::from(opts(name, help)).buckets(SECONDS_BUCKETS.to_vec());
        let counter = |name, help| IntCounter::with_opts(opts(name, help));
        let metrics = Self {
            requests: IntCounterVec::new(
                opts("requests_total", "Requests by route and outcome"),
                &["route", "outcome"],
            )?,
            first_token: HistogramVec::new(
                times("first_token_seconds", "Time to the first token"),
                &["route"],
            )?,
            between_tokens: Histogram::with_opts(times(
                "between_tokens_seconds",
                "Time between tokens, as passed on",
            ))?,
            resume_latency: Histogram::with_opts(times(
                "resume_seconds",
                "Time from a loss until output goes on",
            ))?,
            dropped: IntCounterVec::new(
                opts("dropped_frames_total", "Frames that were not passed on"),
                &["reason"],
            )?,
            resumes: counter("resumes_total", "Attempts that continue or repeat another")?,
            hedges: counter(
                "hedges_total",
                "Resumed attempts beyond the first of a loss",
            )?,
            extra_tokens: counter("extra_tokens_total", "Output tokens processed again")?,
            tokens: counter("tokens_total", "Tokens passed on to callers")?,
            waiting: IntGauge::with_opts(opts("requests_waiting", "Requests that wait"))?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.first_token.clone()))?;
        registry.register(Box::new(metrics.between_tokens.clone()))?;
        registry.register(Box::new(metrics.resume_latency.clone()))?;
        registry.register(Box::new(metrics.dropped.clone()))?;
        registry.register(Box::new(metrics.resumes.clone()))?;
        registry.register(Box::new(metrics.hedges.clone()))?;
        registry.register(Box::new(metrics.extra_tokens.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that ended with `outcome`.
    pub(crate) fn record_end(&self, route: &RouteName, outcome: &str) {
        self.requests
            .with_label_values(&[route.as_str(), outcome])
            .inc();
    }

    /// Records the time from the start of a request to its first token.
    pub(crate) fn record_first_token(&self, route: &RouteName, time: Duration) {
        self.first_token
            .with_label_values(&[route.as_str()])
            .observe(time.as_secs_f64());
    }

    /// Records the time between two deliveries of tokens.
    pub(crate) fn record_token_gap(&self, time: Duration) {
        self.between_tokens.observe(time.as_secs_f64());
    }

    /// Records the time from the loss of an attempt until output continues.
    pub(crate) fn record_resume(&self, latency: Duration) {
        self.resume_latency.observe(latency.as_secs_f64());
    }

    /// Counts a frame that was dropped for `reason`.
    pub(crate) fn record_drop(&self, reason: DropReason) {
        self.dropped.with_label_values(&[reason.to_string()]).inc();
    }
}
