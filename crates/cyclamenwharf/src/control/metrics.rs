//! The metrics of control.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of control.
#[derive(Clone, Debug)]
pub(super) struct ControlMetrics {
    /// The configuration revision in force.
    pub(super) revision: IntGauge,
    /// 1 while the key-value service holds something that must not be taken.
    pub(super) alarm: IntGauge,
    /// Records that this process cannot read.
    pub(super) unreadable: IntGauge,
    /// Calls to the key-value service.
    pub(super) calls: IntCounterVec,
    /// Reports from agents.
    pub(super) reports: IntCounter,
    /// Batches from relays.
    pub(super) batches: IntCounter,
    /// Bytes of batches sent.
    pub(super) sent: IntCounter,
    /// Batches that did not reach a peer.
    pub(super) unsent: IntCounter,
    /// Orders sent to agents.
    pub(super) orders: IntCounter,
    /// 1 while this process holds the planner's lease.
    pub(super) planner: IntGauge,
}

impl ControlMetrics {
    /// Makes the metrics and registers them; a name that is taken already is left as it is.
    pub(super) fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("the name is valid");
            // A registry that is shared by two roles keeps the first.
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
            unreadable: gauge(
                "cyclamenwharf_config_unreadable_records",
                "Records in force that this process cannot read",
            ),
            calls: calls(registry),
            reports: counter("cyclamenwharf_reports_total", "Reports from agents"),
            batches: counter("cyclamenwharf_batches_total", "Batches from relays"),
            sent: counter("cyclamenwharf_batch_sent_bytes_total", "Bytes of batches"),
            unsent: counter(
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

fn calls(registry: &Registry) -> IntCounterVec {
    let options = Opts::new(
        "cyclamenwharf_key_value_calls_total",
        "Calls to the key-value service, a watch being one",
    );
    let calls = IntCounterVec::new(options, &["call"]).expect("the name is valid");
    let _ = registry.register(Box::new(calls.clone()));
    calls
}
