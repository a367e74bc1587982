//! What one workspace uses at this entry.

use cw_types::Quota;
use cw_types::Time;

use super::QuotaSettings;
use super::bucket::Bucket;

/// The weight of the newest second in the measured demand, per second.
const RATE_DECAY: f64 = 1.0;

/// A rate of events, which decays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Meter {
    rate: f64,
    at: Time,
}

impl Meter {
    fn add(&mut self, now: Time, amount: f64) {
        self.rate = self.rate(now) + amount * RATE_DECAY;
        self.at = now;
    }

    fn rate(&self, now: Time) -> f64 {
        let span = now.since(self.at).as_secs_f64();
        self.rate * (-span * RATE_DECAY).exp()
    }
}

/// What one workspace uses and wants at this entry.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Usage {
    pub(super) quota: Quota,
    pub(super) concurrent: u32,
    pub(super) requests: Bucket,
    pub(super) tokens: Bucket,
    wanted_concurrent: Meter,
    wanted_requests: Meter,
    wanted_tokens: Meter,
    /// The part of the quota that this entry states to want, and since when.
    stated: f64,
    stated_at: Time,
}

impl Usage {
    /// Returns the usage of a workspace that is new here: an equal share is saved up for it.
    pub(super) fn new(now: Time, quota: &Quota, equal: f64, settings: &QuotaSettings) -> Self {
        let saved = equal * settings.burst.as_secs_f64();
        Self {
            quota: quota.clone(),
            concurrent: 0,
            requests: Bucket::new(now, (quota.requests.0 * saved).max(1.0)),
            tokens: Bucket::new(now, quota.tokens.0 * saved),
            wanted_concurrent: Meter::default(),
            wanted_requests: Meter::default(),
            wanted_tokens: Meter::default(),
            stated: equal * settings.floor,
            stated_at: now,
        }
    }

    /// Records that a request wants to start, admitted or not.
    pub(super) fn want(&mut self, now: Time, tokens: f64) {
        self.wanted_requests.add(now, 1.0);
        self.wanted_tokens.add(now, tokens);
    }

    /// Records that a request was refused for the number of generations in progress.
    pub(super) fn crowded(&mut self, now: Time) {
        self.wanted_concurrent.add(now, 1.0);
    }

    /// Records tokens that were produced.
    pub(super) fn produce(&mut self, now: Time, tokens: f64) {
        self.tokens.spend(tokens);
        self.wanted_tokens.add(now, tokens);
    }

    /// Returns the part of the quota that is wanted, which grows only as fast as others can hear.
    pub(super) fn state(&mut self, now: Time, equal: f64, settings: &QuotaSettings) -> f64 {
        let concurrent = f64::from(self.concurrent) + self.wanted_concurrent.rate(now);
        let wanted = [
            part(concurrent, f64::from(self.quota.concurrent)),
            part(self.wanted_requests.rate(now), self.quota.requests.0),
            part(self.wanted_tokens.rate(now), self.quota.tokens.0),
        ];
        let wanted = wanted.into_iter().fold(settings.floor * equal, f64::max);
        let span = now.since(self.stated_at).as_secs_f64() / settings.stale.as_secs_f64();
        let most = self.stated * (1.0 + settings.growth).powf(span);
        self.stated = wanted.min(most).min(1.0);
        self.stated_at = now;
        self.stated
    }

    /// Returns the part stated last.
    pub(super) fn stated(&self) -> f64 {
        self.stated
    }

    /// Returns whether nothing is used or wanted.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.concurrent == 0 && self.wanted_requests.rate(now) < 1e-3
    }
}

/// Returns `amount` as a part of `limit`; without a limit nothing is wanted of it.
fn part(amount: f64, limit: f64) -> f64 {
    if limit > 0.0 { amount / limit } else { 0.0 }
}
