//! The metrics of an agent.

use cw_policy::AttemptTable;
use cw_types::Time;
use cw_wire::Frame;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of an agent.
#[derive(Debug)]
pub(super) struct AgentMetrics {
    registry: Registry,
    refused: IntCounterVec,
    running: IntGauge,
    waiting: IntGauge,
    limit: IntGauge,
    kept: IntGauge,
    remembered: IntGauge,
    crashes: IntGauge,
}

impl AgentMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if a metric name is already registered.
    pub(super) fn new(registry: Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("cyclamenwharf_agent_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refused = Opts::new(
            "cyclamenwharf_agent_refused_total",
            "Dispatches refused at once, by reason.",
        );
        let refused = IntCounterVec::new(refused, &["reason"])?;
        registry.register(Box::new(refused.clone()))?;
        Ok(Self {
            refused,
            running: gauge("running", "Attempts that run.")?,
            waiting: gauge("waiting", "Attempts that wait, here or in the engine.")?,
            limit: gauge("limit", "The most attempts that may run now.")?,
            kept: gauge("kept_bytes", "Bytes of output kept.")?,
            remembered: gauge("remembered", "Attempts remembered, tombstones included.")?,
            crashes: gauge("crashes", "Crashes of the engine that are reported.")?,
            registry,
        })
    }

    /// Counts the response to a dispatch if it is a refusal.
    pub(super) fn count_refusal(&self, frame: &Frame) {
        if let Frame::NotRun { reason, .. } = frame {
            let reason = format!("{reason:?}").to_lowercase();
            self.refused.with_label_values(&[reason.as_str()]).inc();
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn encode(&self, table: &AttemptTable, now: Time) -> String {
        let load = table.load(now);
        self.running.set(load.running.into());
        self.waiting.set(load.waiting.into());
        self.limit.set(load.limit.into());
        self.kept.set(table.output_bytes() as i64);
        self.remembered.set(table.remembered() as i64);
        self.crashes.set(table.crashes().len() as i64);
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
