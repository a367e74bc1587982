//! The events of the control state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::View;
use cw_policy::configuration::ActiveConfig;
use cw_policy::configuration::SchemaSupport;
use cw_store::Host;
use cw_types::HostId;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use cw_types::TargetId;
use cw_wire::ConfigResponse;
use cw_wire::Pins;
use cw_wire::ProcessState;
use cw_wire::Report;
use cw_wire::ReportBatch;
use cw_wire::ReportResponse;
use tokio::sync::oneshot;

use super::PlannerStatus;

/// An event of the control state, with a channel for the reply where one is expected.
#[derive(Debug)]
pub(super) enum Event {
    /// An agent sent a report.
    Report {
        report: Box<Report>,
        reply: oneshot::Sender<ReportResponse>,
    },
    /// A relay sent a batch of reports.
    Batch(Box<ReportBatch>),
    /// A batch did not reach a peer, which therefore needs the full state.
    SendFailed(HostId),
    /// A peer requests a newer configuration than the revision it has.
    ConfigRequested {
        have: Revision,
        reply: oneshot::Sender<ConfigResponse>,
    },
    /// A peer requests the full state.
    StateRequested { reply: oneshot::Sender<ReportBatch> },
    /// The configuration key was read or has changed; `None` if it does not exist.
    StoreSnapshot(Box<Option<Snapshot>>),
    /// A peer responded to a request for its configuration.
    PeerConfig {
        peer: HostId,
        response: Box<ConfigResponse>,
    },
    /// The host list was read.
    HostList(Vec<Host>),
    /// The planner's lease or its number of orders in progress changed.
    PlannerStatus(PlannerStatus),
    /// The admin API or the planner requests a copy of the state.
    Inspect { reply: oneshot::Sender<Inspection> },
}

/// A copy of the control state for the admin API and the planner.
#[derive(Clone, Debug)]
pub(super) struct Inspection {
    /// The configuration in force.
    pub(super) active_config: ActiveConfig,
    /// The live entries and the ages of their last announcements.
    pub(super) processes: Vec<(Duration, ProcessState)>,
    /// The configuration revisions that agents reported.
    pub(super) agents: BTreeMap<TargetId, Revision>,
    /// The status of the planner at this entry.
    pub(super) planner: PlannerStatus,
    /// The pinned versions that targets reported.
    pub(super) pins: BTreeMap<TargetId, Pins>,
    /// The current view.
    pub(super) view: Arc<View>,
}

impl SchemaSupport for Inspection {
    fn unsupported_hosts(&self, kind: RecordKind, schema: SchemaVersion) -> Vec<HostId> {
        let supports =
            |state: &ProcessState| state.schemas.get(&kind).is_some_and(|v| *v >= schema);
        self.processes
            .iter()
            .filter(|(_, state)| !supports(state))
            .map(|(_, state)| state.host.clone())
            .collect()
    }
}

impl Inspection {
    /// Returns the snapshot in force.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        self.active_config.snapshot().clone()
    }

    /// Returns the highest revision known to be in force at any entry.
    pub(super) fn highest_revision(&self) -> Revision {
        let reported = self.processes.iter().map(|(_, state)| state.revision).max();
        reported
            .unwrap_or_default()
            .max(self.active_config.revision())
    }
}
