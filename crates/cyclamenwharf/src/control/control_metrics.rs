//! The metrics of the control plane.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of the control plane.
#[derive(Clone, Debug)]
pub(super) struct ControlMetrics {
    /// The configuration revision in force.
    pub(super) revision: IntGauge,
    /// 1 while the key-value service holds a snapshot that must not be applied, otherwise 0.
    pub(super) alarm: IntGauge,
    /// Records in force that this process cannot read.
    pub(super) unreadable_records: IntGauge,
    /// Calls to the key-value service, by the label `call`. A watch counts as one call.
    pub(super) store_calls: IntCounterVec,
    /// Reports received from agents.
    pub(super) reports: IntCounter,
    /// Batches received from relays.
    pub(super) batches: IntCounter,
    /// Bytes of batches sent to peers, counted once for each peer.
    pub(super) sent_bytes: IntCounter,
    /// Batches that did not reach a peer.
    pub(super) unsent_batches: IntCounter,
    /// Orders sent to agents.
    pub(super) orders: IntCounter,
    /// 1 while this process holds the planner's lease, otherwise 0.
    pub(super) planner: IntGauge,
}

impl ControlMetrics {
    /// Creates the metrics and adds them to `registry`. A name that is already in use keeps its first
    /// metric.
    pub(super) fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("the name is valid");
            // The registration fails if two roles share the registry; the first metric remains.
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("the name is valid");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        Self {
            revision: gauge(
                "cyclamenwharf_config_revision",
                "The configuration revision in force",
            ),
            alarm: gauge(
                "cyclamenwharf_config_alarm",
                "1 while the key-value service holds an older or other history",
            ),
            unreadable_records: gauge(
                "cyclamenwharf_config_unreadable_records",
                "Records in force that this process cannot read",
            ),
            store_calls: store_calls(registry),
            reports: counter("cyclamenwharf_reports_total", "Reports from agents"),
            batches: counter("cyclamenwharf_batches_total", "Batches from relays"),
            sent_bytes: counter("cyclamenwharf_batch_sent_bytes_total", "Bytes of batches"),
            unsent_batches: counter(
                "cyclamenwharf_batches_unsent_total",
                "Batches that did not reach a peer",
            ),
            orders: counter("cyclamenwharf_orders_total", "Orders sent to agents"),
            planner: gauge(
                "cyclamenwharf_planner",
                "1 while this process holds the planner's lease",
            ),
        }
    }
}

fn store_calls(registry: &Registry) -> IntCounterVec {
    let options = Opts::new(
        "cyclamenwharf_key_value_calls_total",
        "Calls to the key-value service, a watch being one",
    );
    let calls = IntCounterVec::new(options, &["call"]).expect("the name is valid");
    let _ = registry.register(Box::new(calls.clone()));
    calls
}
