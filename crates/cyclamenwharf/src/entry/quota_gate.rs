//! The quotas of workspaces, shared by all requests of an entry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cw_policy::View;
use cw_policy::membership::Relay;
use cw_policy::quota::QuotaDecision;
use cw_policy::quota::QuotaSettings;
use cw_policy::quota::Quotas;
use cw_types::ErrorKind;
use cw_types::HostId;
use cw_types::Time;
use cw_types::WorkspaceId;

use crate::DemandExchange;

use super::refusal::Refusal;

/// How many relays a demand passes on its way.
const RELAYS: u32 = 2;

/// What the calls between relays may take, and the time between two statements of demand.
const SLACK: Duration = Duration::from_secs(1);

/// The quotas of workspaces, shared by all requests of an entry.
#[derive(Clone, Debug)]
pub(crate) struct QuotaGate {
    quotas: Arc<Mutex<Quotas>>,
    demands: Arc<DemandExchange>,
}

/// A request that counts against its workspace's quota until it is dropped.
#[derive(Debug)]
pub(crate) struct QuotaGuard {
    gate: QuotaGate,
    workspace: WorkspaceId,
}

impl QuotaGate {
    /// Returns the quotas at the entry on `host`, shared with others by `demands`.
    pub(crate) fn new(host: HostId, demands: Arc<DemandExchange>) -> Self {
        let quotas = Quotas::new(host, QuotaSettings::default());
        Self {
            quotas: Arc::new(Mutex::new(quotas)),
            demands,
        }
    }

    /// Admits a request with a prompt of `tokens`.
    ///
    /// # Errors
    ///
    /// Refuses one over its workspace's quota.
    pub(crate) fn admit(
        &self,
        now: Time,
        view: &View,
        workspace: &WorkspaceId,
        tokens: u64,
    ) -> Result<QuotaGuard, Refusal> {
        let Some(record) = view.config.workspaces.get(workspace) else {
            return Err(Refusal::new(ErrorKind::Unauthorized));
        };
        let quota = &record.quota;
        let step = (self.lock()).admit(now, workspace, quota, tokens, &mut rand::rng());
        match step {
            QuotaDecision::Admit => Ok(QuotaGuard {
                gate: self.clone(),
                workspace: workspace.clone(),
            }),
            QuotaDecision::Refuse { retry } => {
                Err(Refusal::new(ErrorKind::OverQuota).with_retry(retry))
            }
        }
    }

    /// Hears what other entries want, and states what this one wants.
    pub(crate) fn exchange(&self, now: Time, view: &View) {
        let hosts: BTreeSet<HostId> = view.entries.iter().map(|e| e.host.clone()).collect();
        let heard = self.demands.take_received();
        let mut quotas = self.lock();
        quotas.set_entries(&hosts);
        let period = Relay::period(hosts.len());
        quotas.set_stale(period * RELAYS + SLACK);
        for (at, demand) in heard {
            quotas.on_demand(now, now.since(at), demand);
        }
        self.demands.set_own(quotas.demand(now));
    }

    fn lock(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuotaGuard {
    /// Counts tokens that were produced.
    pub(crate) fn produced(&self, now: Time, tokens: u64) {
        self.gate.lock().record_output(now, &self.workspace, tokens);
    }
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        self.gate.lock().record_end(&self.workspace);
    }
}
