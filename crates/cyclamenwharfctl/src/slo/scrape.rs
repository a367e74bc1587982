//! Reads the service-level metrics of one entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::slo::Class;
use cw_policy::slo::Counts;
use cw_policy::slo::Objective;
use cw_policy::slo::Window;
use cyclamenwharf::SloMetrics;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use prometheus_parse::Sample as Line;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use snafu::Snafu;

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An entry that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("{entry}: {message}"))]
pub(crate) struct ScrapeError {
    entry: SocketAddr,
    message: String,
}

/// The service-level metrics of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Sample {
    /// The events by class, objective and window.
    pub(crate) events: BTreeMap<(Class, Objective), [Counts; 4]>,
    /// How much of each window the entry has seen.
    pub(crate) covered: [Duration; 4],
    /// The fraction of events that must be good.
    pub(crate) fractions: BTreeMap<Objective, f64>,
}

/// Reads the metrics at an entry's admin address.
///
/// # Errors
///
/// Fails when the entry does not answer in time, or not with metrics.
pub(crate) async fn read(entry: SocketAddr) -> Result<Sample, ScrapeError> {
    let error = |message: String| ScrapeError { entry, message };
    let text = tokio::time::timeout(TIMEOUT, fetch(entry))
        .await
        .map_err(|_| error(format!("no answer in {TIMEOUT:?}")))?
        .map_err(&error)?;
    Sample::parse(&text).map_err(&error)
}

async fn fetch(entry: SocketAddr) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{entry}/metrics")
        .parse()
        .map_err(|_| "not an address".to_owned())?;
    let response = client.get(uri).await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("answered {}", response.status()));
    }
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    String::from_utf8(body.to_bytes().into()).map_err(|e| e.to_string())
}

impl Sample {
    /// Reads the text format of metrics; metrics of other names are passed over.
    ///
    /// # Errors
    ///
    /// Fails when the text is not in the format.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = Scrape::parse(lines).map_err(|error| error.to_string())?;
        let mut sample = Self::default();
        for line in &scrape.samples {
            sample.add(line);
        }
        Ok(sample)
    }

    fn add(&mut self, line: &Line) {
        let (Value::Gauge(number) | Value::Counter(number) | Value::Untyped(number)) = line.value
        else {
            return;
        };
        // A line with labels of a later version is passed over.
        let _ = match line.metric.as_str() {
            SloMetrics::EVENTS => self.add_events(line, number),
            SloMetrics::COVERED => self.add_covered(line, number),
            SloMetrics::FRACTION => self.add_fraction(line, number),
            _ => None,
        };
    }

    fn add_events(&mut self, line: &Line, number: f64) -> Option<()> {
        let class = Class {
            route: line.labels.get("route")?.parse().ok()?,
            priority: line.labels.get("priority")?.parse().ok()?,
        };
        let objective = line.labels.get("objective")?.parse().ok()?;
        let window = window_index(line.labels.get("window")?)?;
        let counts = self.events.entry((class, objective)).or_default();
        match line.labels.get("outcome")? {
            "good" => counts[window].good = number as u64,
            _ => counts[window].total = number as u64,
        }
        Some(())
    }

    fn add_covered(&mut self, line: &Line, number: f64) -> Option<()> {
        let window = window_index(line.labels.get("window")?)?;
        self.covered[window] = Duration::try_from_secs_f64(number).ok()?;
        Some(())
    }

    fn add_fraction(&mut self, line: &Line, number: f64) -> Option<()> {
        let objective = line.labels.get("objective")?.parse().ok()?;
        self.fractions.insert(objective, number);
        Some(())
    }
}

fn window_index(name: &str) -> Option<usize> {
    Window::ALL
        .iter()
        .position(|window| window.as_str() == name)
}
