//! The enforcement of quotas at one entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Quota;
use cw_types::Time;
use cw_types::WorkspaceId;
use cw_wire::QuotaDemand;
use rand::Rng;
use rand::RngExt;

use super::QuotaSettings;
use super::peer_demands::PeerDemands;
use super::usage::Usage;

/// The minimum retry delay given to a caller over quota.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The maximum jitter that is added to [`MIN_RETRY_DELAY`].
const MAX_RETRY_JITTER: Duration = Duration::from_secs(30);

/// The decision whether a request is within its workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is admitted, and counts as in progress until it ends.
    Admit,
    /// The request is refused.
    Refuse {
        /// The delay after which the caller should retry.
        retry: Duration,
    },
}

/// The quotas of all workspaces at one of several entries.
///
/// An entry's share of a quota is its own demand divided by the demand of all entries. Announced
/// demand falls at once, but grows by at most [`QuotaSettings::growth`] within
/// [`QuotaSettings::max_age`], the maximum age of a demand that counts. While all entries receive
/// each other's demands, the shares therefore add up to at most `1 + growth`. An entry that lacks
/// the demand of any other takes an equal share: if all do, the shares add up to 1; while only some
/// do, they add up to at most `2 + growth`.
///
/// An entry that alone has demand for a quota gets at least `1 / (1 + floor)` of it once its
/// announced demand has grown, which takes `ln(entries / floor) / ln(1 + growth)` times
/// [`QuotaSettings::max_age`].
///
/// Each entry admits at least one generation at a time, whatever its share, so that small quotas
/// are usable. Tokens are spent as they are produced, so a bucket may become negative; it must be
/// refilled before the next request is admitted.
#[derive(Clone, Debug)]
pub struct Quotas {
    host: HostId,
    settings: QuotaSettings,
    entries: usize,
    sequence: u64,
    usages: BTreeMap<WorkspaceId, Usage>,
    peers: PeerDemands,
}

impl Quotas {
    /// Returns the quotas at the entry on `host`, which is the only known entry at first.
    pub fn new(host: HostId, settings: QuotaSettings) -> Self {
        Self {
            host,
            settings,
            entries: 1,
            sequence: 0,
            usages: BTreeMap::new(),
            peers: PeerDemands::default(),
        }
    }

    /// Sets the known entries, this one included.
    pub fn set_entries(&mut self, entries: &BTreeSet<HostId>) {
        self.entries = entries.len().max(1);
        self.peers.retain(|host| entries.contains(host));
    }

    /// Sets [`QuotaSettings::max_age`].
    ///
    /// It must cover the delay of a message over all relays when one message is lost.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.settings.max_age = max_age;
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
        usage.record_request(now, amount);
        let max_concurrent = (f64::from(quota.concurrent) * share).floor().max(1.0);
        if f64::from(usage.concurrent) >= max_concurrent {
            usage.record_refusal(now);
            return refuse(MIN_RETRY_DELAY, rng);
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
            usage.record_output(now, tokens as f64);
        }
    }

    /// Records that an admitted request ended.
    pub fn record_end(&mut self, workspace: &WorkspaceId) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.concurrent = usage.concurrent.saturating_sub(1);
        }
    }

    /// Returns the demand of this entry, to be sent several times within [`QuotaSettings::max_age`].
    pub fn demand(&mut self, now: Time) -> QuotaDemand {
        let equal = 1.0 / self.entries as f64;
        self.usages.retain(|_, usage| !usage.is_idle(now));
        self.sequence += 1;
        let settings = &self.settings;
        let parts = self
            .usages
            .iter_mut()
            .map(|(id, usage)| (id.clone(), usage.announce(now, equal, settings)));
        QuotaDemand {
            from: self.host.clone(),
            sequence: self.sequence,
            entries: 1,
            parts: parts.collect(),
        }
    }

    /// Handles the demand that another entry announced `age` ago.
    pub fn on_demand(&mut self, now: Time, age: Duration, demand: QuotaDemand) {
        if demand.from != self.host && age <= self.settings.max_age {
            let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let at = Time(now.0.saturating_sub(micros));
            self.peers.insert(at, self.settings.max_age, demand);
        }
    }

    /// Returns the share of a workspace's quota that this entry may use now.
    pub fn share(&self, now: Time, workspace: &WorkspaceId) -> f64 {
        let equal = 1.0 / self.entries as f64;
        let floor = self.settings.floor * equal;
        let max_age = self.settings.max_age;
        let (others, peers) = self.peers.total(now, max_age, workspace, floor);
        if peers + 1 < self.entries {
            return equal;
        }
        let own = self.usages.get(workspace).map_or(floor, Usage::announced);
        own / (own + others)
    }

    // ---- Buckets ----

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

    /// Refills the workspace's buckets and returns how long a request must wait for them.
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
        let requests = usage.requests.time_until(1.0, requests);
        let tokens = usage.tokens.time_until(1.0, tokens);
        requests.max(tokens)
    }
}

/// Refuses a request with a random jitter of up to `wait` on its retry delay.
fn refuse(wait: Duration, rng: &mut impl Rng) -> QuotaDecision {
    let wait = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_JITTER);
    let retry = MIN_RETRY_DELAY + wait.mul_f64(rng.random::<f64>());
    QuotaDecision::Refuse { retry }
}
