//! Enforcement of workspace quotas, shared by all requests of an entry.

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

use super::api_error::ApiError;

/// The number of relays that a demand passes through on its way.
const RELAYS: u32 = 2;

/// Time for the calls between relays and for the interval between two published demands.
const STALE_MARGIN: Duration = Duration::from_secs(1);

/// The workspace quotas, shared by all requests of an entry.
#[derive(Clone, Debug)]
pub(crate) struct SharedQuotas {
    quotas: Arc<Mutex<Quotas>>,
    demands: Arc<DemandExchange>,
}

/// Counts a request against its workspace's quota until the guard is dropped.
#[derive(Debug)]
pub(crate) struct QuotaGuard {
    quotas: SharedQuotas,
    workspace: WorkspaceId,
}

impl SharedQuotas {
    /// Creates the quotas for the entry on `host`, which shares demands with other entries through
    /// `demands`.
    pub(crate) fn new(host: HostId, demands: Arc<DemandExchange>) -> Self {
        let quotas = Quotas::new(host, QuotaSettings::default());
        Self {
            quotas: Arc::new(Mutex::new(quotas)),
            demands,
        }
    }

    /// Admits a request whose prompt has about `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::OverQuota`] when the workspace is over its quota, and
    /// [`ErrorKind::Unauthorized`] when the workspace is unknown.
    pub(crate) fn admit(
        &self,
        now: Time,
        view: &View,
        workspace: &WorkspaceId,
        tokens: u64,
    ) -> Result<QuotaGuard, ApiError> {
        let Some(record) = view.config.workspaces.get(workspace) else {
            return Err(ApiError::new(ErrorKind::Unauthorized));
        };
        let quota = &record.quota;
        let decision = (self.lock()).admit(now, workspace, quota, tokens, &mut rand::rng());
        match decision {
            QuotaDecision::Admit => Ok(QuotaGuard {
                quotas: self.clone(),
                workspace: workspace.clone(),
            }),
            QuotaDecision::Refuse { retry } => {
                Err(ApiError::new(ErrorKind::OverQuota).with_retry(retry))
            }
        }
    }

    /// Takes in the demands of other entries, and publishes the demand of this one.
    pub(crate) fn exchange_demands(&self, now: Time, view: &View) {
        let hosts: BTreeSet<HostId> = view.entries.iter().map(|e| e.host.clone()).collect();
        let received = self.demands.take_received();
        let mut quotas = self.lock();
        quotas.set_entries(&hosts);
        let period = Relay::period(hosts.len());
        quotas.set_stale(period * RELAYS + STALE_MARGIN);
        for (at, demand) in received {
            quotas.on_demand(now, now.since(at), demand);
        }
        self.demands.set_own(quotas.demand(now));
    }

    fn lock(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuotaGuard {
    /// Counts output tokens against the quota.
    pub(crate) fn record_output(&self, now: Time, tokens: u64) {
        self.quotas
            .lock()
            .record_output(now, &self.workspace, tokens);
    }
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        self.quotas.lock().record_end(&self.workspace);
    }
}
