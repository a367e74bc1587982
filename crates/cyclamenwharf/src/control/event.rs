//! What happens to the control state.

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

/// What happens to the control state, with where to answer.
#[derive(Debug)]
pub(super) enum Event {
    /// An agent reports.
    Report {
        report: Box<Report>,
        answer: oneshot::Sender<ReportResponse>,
    },
    /// A relay passes on reports.
    Batch(Box<ReportBatch>),
    /// A batch did not reach a peer, which therefore needs all.
    SendFailed(HostId),
    /// A peer asks for a newer configuration.
    ConfigAsked {
        have: Revision,
        answer: oneshot::Sender<ConfigResponse>,
    },
    /// A peer asks for all reports.
    StateAsked {
        answer: oneshot::Sender<ReportBatch>,
    },
    /// The key-value service holds this.
    Store(Box<Option<Snapshot>>),
    /// A peer answered with its configuration.
    PeerConfig {
        peer: HostId,
        answer: Box<ConfigResponse>,
    },
    /// The host list was read.
    Hosts(Vec<Host>),
    /// The planner's lease or work changed.
    Planner(PlannerStatus),
    /// The operators' server asks how things are.
    Inspect { answer: oneshot::Sender<Inspection> },
}

/// How things are, for the operators' server and the planner.
#[derive(Clone, Debug)]
pub(super) struct Inspection {
    /// The configuration in force.
    pub(super) in_force: ActiveConfig,
    /// The live entries with the age of their last word.
    pub(super) processes: Vec<(Duration, ProcessState)>,
    /// The revisions that agents reported.
    pub(super) agents: BTreeMap<TargetId, Revision>,
    /// The planner, as this entry knows it.
    pub(super) planner: PlannerStatus,
    /// The pinned versions that targets reported.
    pub(super) pins: BTreeMap<TargetId, Pins>,
    /// The view that traffic sees.
    pub(super) view: Arc<View>,
}

impl SchemaSupport for Inspection {
    fn unsupported_hosts(&self, kind: RecordKind, schema: SchemaVersion) -> Vec<HostId> {
        let reads = |state: &ProcessState| state.schemas.get(&kind).is_some_and(|v| *v >= schema);
        self.processes
            .iter()
            .filter(|(_, state)| !reads(state))
            .map(|(_, state)| state.host.clone())
            .collect()
    }
}

impl Inspection {
    /// Returns the snapshot in force.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        self.in_force.snapshot().clone()
    }

    /// Returns the highest revision that is known to be in force anywhere.
    pub(super) fn highest(&self) -> Revision {
        let told = self.processes.iter().map(|(_, state)| state.revision).max();
        told.unwrap_or_default().max(self.in_force.revision())
    }
}
