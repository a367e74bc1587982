//! Reads and parses the service-level metrics of one entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_policy::slo::Objective;
use cw_policy::slo::Window;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cyclamenwharf::SloMetrics;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use prometheus_parse::Sample;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use snafu::Snafu;

/// The timeout for reading the metrics of one entry.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of the metrics of one entry, in bytes. They have some hundred kilobytes.
const MAX_METRICS_BYTES: usize = 16 << 20;

/// The error of reading an entry's metrics.
#[derive(Debug, Snafu)]
#[snafu(display("{entry}: {message}"))]
pub(crate) struct ScrapeError {
    entry: SocketAddr,
    message: String,
}

/// The service-level metrics of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EntryMetrics {
    /// The number of events by class, objective and window.
    pub(crate) events: BTreeMap<(Class, Objective), [Counts; 4]>,
    /// How much of each window the entry covers.
    pub(crate) covered: [Duration; 4],
    /// The fraction of events that must be good, by objective.
    pub(crate) fractions: BTreeMap<Objective, f64>,
}

/// Reads the metrics of the entry with the admin address `entry`.
///
/// # Errors
///
/// Fails if the entry does not respond in time, or if its response is not a list of metrics.
pub(crate) async fn read(entry: SocketAddr) -> Result<EntryMetrics, ScrapeError> {
    let error = |message: String| ScrapeError { entry, message };
    let text = tokio::time::timeout(SCRAPE_TIMEOUT, fetch(entry))
        .await
        .map_err(|_| error(format!("no response within {SCRAPE_TIMEOUT:?}")))?
        .map_err(&error)?;
    EntryMetrics::parse(&text).map_err(&error)
}

async fn fetch(entry: SocketAddr) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{entry}/metrics")
        .parse()
        .map_err(|_| "the address does not form a valid URI".to_owned())?;
    let response = client.get(uri).await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("returned status {}", response.status()));
    }
    let body = BodyBuffer::new(MAX_METRICS_BYTES, &BodyMemory::new(MAX_METRICS_BYTES));
    let read = body.read(response.into_body()).await;
    let bytes = read.map_err(|e| e.to_string())?;
    String::from_utf8(bytes.into()).map_err(|e| e.to_string())
}

impl EntryMetrics {
    /// Parses metrics in the Prometheus text format and ignores metrics of other names.
    ///
    /// # Errors
    ///
    /// Fails if the text is not in the Prometheus text format.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = Scrape::parse(lines).map_err(|error| error.to_string())?;
        let mut metrics = Self::default();
        for sample in &scrape.samples {
            metrics.add_sample(sample);
        }
        Ok(metrics)
    }

    fn add_sample(&mut self, sample: &Sample) {
        let (Value::Gauge(value) | Value::Counter(value) | Value::Untyped(value)) = sample.value
        else {
            return;
        };
        // A sample of a newer entry, whose labels this version does not know, is ignored.
        let _ = match sample.metric.as_str() {
            SloMetrics::EVENTS => self.add_events(sample, value),
            SloMetrics::COVERED => self.add_covered(sample, value),
            SloMetrics::FRACTION => self.add_fraction(sample, value),
            _ => None,
        };
    }

    fn add_events(&mut self, sample: &Sample, value: f64) -> Option<()> {
        let class = Class {
            route: sample.labels.get("route")?.parse().ok()?,
            priority: sample.labels.get("priority")?.parse().ok()?,
        };
        let objective = sample.labels.get("objective")?.parse().ok()?;
        let window = window_index(sample.labels.get("window")?)?;
        let counts = self.events.entry((class, objective)).or_default();
        match sample.labels.get("outcome")? {
            "good" => counts[window].good = value as u64,
            _ => counts[window].total = value as u64,
        }
        Some(())
    }

    fn add_covered(&mut self, sample: &Sample, value: f64) -> Option<()> {
        let window = window_index(sample.labels.get("window")?)?;
        self.covered[window] = Duration::try_from_secs_f64(value).ok()?;
        Some(())
    }

    fn add_fraction(&mut self, sample: &Sample, value: f64) -> Option<()> {
        let objective = sample.labels.get("objective")?.parse().ok()?;
        self.fractions.insert(objective, value);
        Some(())
    }
}

fn window_index(name: &str) -> Option<usize> {
    Window::ALL
        .iter()
        .position(|window| window.as_str() == name)
}
