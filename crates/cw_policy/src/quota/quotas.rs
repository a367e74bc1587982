//! The quotas at one entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Quota;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::Demand;
use rand::Rng;
use rand::RngExt;

use super::QuotaSettings;
use super::heard::Others;
use super::usage::Usage;

/// The shortest time after which a caller over quota is asked to call again.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// The longest time that is added to it.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Whether a request is within its workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is, and counts until it ends.
    Admit,
    /// It is not.
    Refuse {
        /// When the caller should call again.
        retry: Duration,
    },
}

/// The quotas of all workspaces at one of several entries.
///
/// An entry's share of a quota is its own demand over the demand of all. Stated demand falls at
/// once, but grows by at most [`QuotaSettings::growth`] within [`QuotaSettings::stale`], which is
/// the age of the oldest message that counts. So while all entries hear each other, the sum of the
/// shares is at most `1 + growth`. An entry that misses any other takes an equal share: when all
/// do, the sum is 1, and while some do, it is at most `2 + growth`.
///
/// Of a quota that one entry alone wants, it gets at least `1 / (1 + floor)` once its demand has
/// grown, which takes `ln(entries / floor) / ln(1 + growth)` times [`QuotaSettings::stale`].
///
/// Each entry admits at least one generation at a time, whatever its share, so that small quotas
/// are usable; tokens are spent when they are produced, so a bucket may be in debt, which is paid
/// before the next request.
#[derive(Clone, Debug)]
pub struct Quotas {
    host: HostId,
    settings: QuotaSettings,
    entries: usize,
    sequence: u64,
    usages: BTreeMap<WorkspaceId, Usage>,
    others: Others,
}

impl Quotas {
    /// Returns the quotas at the entry on `host`, as the only entry.
    pub fn new(host: HostId, settings: QuotaSettings) -> Self {
        Self {
            host,
            settings,
            entries: 1,
            sequence: 0,
            usages: BTreeMap::new(),
            others: Others::default(),
        }
    }

    /// Sets the entries that are known, this one included.
    pub fn set_entries(&mut self, entries: &BTreeSet<HostId>) {
        self.entries = entries.len().max(1);
        self.others.retain(|host| entries.contains(host));
    }

    /// Sets how old a message may be that counts: at least its whole way, with one loss.
    pub fn set_stale(&mut self, stale: Duration) {
        self.settings.stale = stale;
    }

    /// Admits a request with a prompt of `tokens`, or refuses it.
    pub fn admit(
        &mut self,
        now: Time,
        workspace: &WorkspaceId,
        quota: &Quota,
        tokens: u64,
        rng: &mut impl Rng,
    ) -> QuotaDecision {
        let share = self.share(now, workspace);
        let usage = self.usage(now, workspace, quota);
        let amount = tokens as f64;
        usage.want(now, amount);
        let concurrent = (f64::from(quota.concurrent) * share).floor().max(1.0);
        if f64::from(usage.concurrent) >= concurrent {
            usage.crowded(now);
            return refuse(RETRY_MIN, rng);
        }
        let wait = self.wait(now, workspace, share);
        if !wait.is_zero() {
            return refuse(wait, rng);
        }
        let usage = self.usage(now, workspace, quota);
        usage.requests.spend(1.0);
        usage.tokens.spend(amount);
        usage.concurrent += 1;
        QuotaDecision::Admit
    }

    /// Records that a request produced `tokens`.
    pub fn record_output(&mut self, now: Time, workspace: &WorkspaceId, tokens: u64) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.produce(now, tokens as f64);
        }
    }

    /// Records that an admitted request ended.
    pub fn record_end(&mut self, workspace: &WorkspaceId) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.concurrent = usage.concurrent.saturating_sub(1);
        }
    }

    /// Returns what this entry wants, to be sent several times within [`QuotaSettings::stale`].
    pub fn demand(&mut self, now: Time) -> Demand {
        let equal = 1.0 / self.entries as f64;
        self.usages.retain(|_, usage| !usage.is_idle(now));
        self.sequence += 1;
        let settings = &self.settings;
        let parts = self
            .usages
            .iter_mut()
            .map(|(id, usage)| (id.clone(), usage.state(now, equal, settings)));
        Demand {
            from: self.host.clone(),
            sequence: self.sequence,
            entries: 1,
            parts: parts.collect(),
        }
    }

    /// Takes in what others want, as of `age` ago.
    pub fn on_demand(&mut self, now: Time, age: Duration, demand: Demand) {
        if demand.from != self.host && age <= self.settings.stale {
            let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let at = Time(now.0.saturating_sub(micros));
            self.others.insert(at, self.settings.stale, demand);
        }
    }

    /// Returns the share of a workspace's quota that this entry may use now.
    pub fn share(&self, now: Time, workspace: &WorkspaceId) -> f64 {
        let equal = 1.0 / self.entries as f64;
        let floor = self.settings.floor * equal;
        let stale = self.settings.stale;
        let (wanted, heard) = self.others.wanted(now, stale, workspace, floor);
        if heard + 1 < self.entries {
            return equal;
        }
        let own = self.usages.get(workspace).map_or(floor, Usage::stated);
        own / (own + wanted)
    }

    // -----------------------------------------------------------------------------------------

    fn usage(&mut self, now: Time, workspace: &WorkspaceId, quota: &Quota) -> &mut Usage {
        let equal = 1.0 / self.entries as f64;
        let settings = &self.settings;
        let usage = self
            .usages
            .entry(workspace.clone())
            .or_insert_with(|| Usage::new(now, quota, equal, settings));
        if usage.quota != *quota {
            usage.quota = quota.clone();
        }
        usage
    }

    /// Returns how long a request must wait for the workspace's rates.
    fn wait(&mut self, now: Time, workspace: &WorkspaceId, share: f64) -> Duration {
        let burst = self.settings.burst.as_secs_f64();
        let Some(usage) = self.usages.get_mut(workspace) else {
            return Duration::ZERO;
        };
        let requests = usage.quota.requests.0 * share;
        let tokens = usage.quota.tokens.0 * share;
        usage
            .requests
            .fill(now, requests, (requests * burst).max(1.0));
        usage.tokens.fill(now, tokens, (tokens * burst).max(1.0));
        let requests = usage.requests.time(1.0, requests);
        let tokens = usage.tokens.time(1.0, tokens);
        requests.max(tokens)
    }
}

/// Refuses with a jitter as long as the wait itself.
fn refuse(wait: Duration, rng: &mut impl Rng) -> QuotaDecision {
    let wait = wait.clamp(RETRY_MIN, RETRY_MAX);
    let retry = RETRY_MIN + wait.mul_f64(rng.random::<f64>());
    QuotaDecision::Refuse { retry }
}
