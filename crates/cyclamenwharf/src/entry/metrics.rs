//! What the entry counts.

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

/// Buckets for times between 1 ms and 30 s, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0, 30.0,
];

/// What the entry counts. Labels are routes and closed lists only.
#[derive(Clone, Debug)]
pub(crate) struct EntryMetrics {
    requests: IntCounterVec,
    first: HistogramVec,
    between: Histogram,
    resume: Histogram,
    dropped: IntCounterVec,
    /// Attempts that continue or repeat another.
    pub(crate) resumes: IntCounter,
    /// Attempts beyond the first that replace the same lost one.
    pub(crate) hedges: IntCounter,
    /// Tokens that resumed attempts had to process again.
    pub(crate) extra: IntCounter,
    /// Tokens passed on to callers.
    pub(crate) tokens: IntCounter,
    /// Requests that wait for a target.
    pub(crate) waiting: IntGauge,
}

impl EntryMetrics {
    /// Returns counters that `registry` shows.
    ///
    /// # Errors
    ///
    /// Fails when the registry has metrics of these names.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts = |name: &str, help: &str| Opts::new(format!("cyclamenwharf_entry_{name}"), help);
        let times = |name, help| HistogramOpts::from(opts(name, help)).buckets(BUCKETS.to_vec());
        let counter = |name, help| IntCounter::with_opts(opts(name, help));
        let metrics = Self {
            requests: IntCounterVec::new(
                opts("requests_total", "Requests by route and outcome"),
                &["route", "outcome"],
            )?,
            first: HistogramVec::new(
                times("first_token_seconds", "Time to the first token"),
                &["route"],
            )?,
            between: Histogram::with_opts(times(
                "between_tokens_seconds",
                "Time between tokens, as passed on",
            ))?,
            resume: Histogram::with_opts(times(
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
            extra: counter("extra_tokens_total", "Output tokens processed again")?,
            tokens: counter("tokens_total", "Tokens passed on to callers")?,
            waiting: IntGauge::with_opts(opts("requests_waiting", "Requests that wait"))?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.first.clone()))?;
        registry.register(Box::new(metrics.between.clone()))?;
        registry.register(Box::new(metrics.resume.clone()))?;
        registry.register(Box::new(metrics.dropped.clone()))?;
        registry.register(Box::new(metrics.resumes.clone()))?;
        registry.register(Box::new(metrics.hedges.clone()))?;
        registry.register(Box::new(metrics.extra.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(&self, route: &RouteName, outcome: &str) {
        self.requests
            .with_label_values(&[route.as_str(), outcome])
            .inc();
    }

    /// Counts a time to the first token.
    pub(crate) fn first_token(&self, route: &RouteName, time: Duration) {
        self.first
            .with_label_values(&[route.as_str()])
            .observe(time.as_secs_f64());
    }

    /// Counts a time between tokens.
    pub(crate) fn between_tokens(&self, time: Duration) {
        self.between.observe(time.as_secs_f64());
    }

    /// Counts a resume latency.
    pub(crate) fn resumed(&self, latency: Duration) {
        self.resume.observe(latency.as_secs_f64());
    }

    /// Counts a frame that was not passed on.
    pub(crate) fn dropped(&self, reason: DropReason) {
        self.dropped.with_label_values(&[reason.to_string()]).inc();
    }
}
