//! The use of a quota by one workspace at this entry.

use cw_types::Quota;
use cw_types::Time;

use super::QuotaSettings;
use super::bucket::Bucket;

/// The decay constant of the measured rates, per second.
const RATE_DECAY: f64 = 1.0;

/// An exponentially decaying rate of events per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingRate {
    rate: f64,
    at: Time,
}

impl DecayingRate {
    fn add(&mut self, now: Time, amount: f64) {
        self.rate = self.rate(now) + amount * RATE_DECAY;
        self.at = now;
    }

    fn rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.rate * (-elapsed * RATE_DECAY).exp()
    }
}

/// The use of and demand for a quota by one workspace at this entry.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Usage {
    pub(super) quota: Quota,
    pub(super) concurrent: u32,
    pub(super) requests: Bucket,
    pub(super) tokens: Bucket,
    wanted_concurrent: DecayingRate,
    wanted_requests: DecayingRate,
    wanted_tokens: DecayingRate,
    /// The demand announced last, as a fraction of the quota.
    announced: f64,
    announced_at: Time,
}

impl Usage {
    /// Returns the usage of a workspace that is new here; its buckets hold the burst of an equal
    /// share.
    pub(super) fn new(now: Time, quota: &Quota, equal: f64, settings: &QuotaSettings) -> Self {
        let burst = equal * settings.burst.as_secs_f64();
        Self {
            quota: quota.clone(),
            concurrent: 0,
            requests: Bucket::new(now, (quota.requests.0 * burst).max(1.0)),
            tokens: Bucket::new(now, quota.tokens.0 * burst),
            wanted_concurrent: DecayingRate::default(),
            wanted_requests: DecayingRate::default(),
            wanted_tokens: DecayingRate::default(),
            announced: equal * settings.floor,
            announced_at: now,
        }
    }

    /// Records a request, whether it is admitted or not.
    pub(super) fn record_request(&mut self, now: Time, tokens: f64) {
        self.wanted_requests.add(now, 1.0);
        self.wanted_tokens.add(now, tokens);
    }

    /// Records that a request was refused because too many generations were in progress.
    pub(super) fn record_refusal(&mut self, now: Time) {
        self.wanted_concurrent.add(now, 1.0);
    }

    /// Records produced tokens.
    pub(super) fn record_output(&mut self, now: Time, tokens: f64) {
        self.tokens.spend(tokens);
        self.wanted_tokens.add(now, tokens);
    }

    /// Returns the demand to announce, as a fraction of the quota.
    ///
    /// Its growth is limited so that announcements reach the other entries before it grows further.
    pub(super) fn announce(&mut self, now: Time, equal: f64, settings: &QuotaSettings) -> f64 {
        let concurrent = f64::from(self.concurrent) + self.wanted_concurrent.rate(now);
        let wanted = [
            fraction(concurrent, f64::from(self.quota.concurrent)),
            fraction(self.wanted_requests.rate(now), self.quota.requests.0),
            fraction(self.wanted_tokens.rate(now), self.quota.tokens.0),
        ];
        let wanted = wanted.into_iter().fold(settings.floor * equal, f64::max);
        let periods = now.since(self.announced_at).as_secs_f64() / settings.max_age.as_secs_f64();
        let max = self.announced * (1.0 + settings.growth).powf(periods);
        self.announced = wanted.min(max).min(1.0);
        self.announced_at = now;
        self.announced
    }

    /// Returns the demand announced last, as a fraction of the quota.
    pub(super) fn announced(&self) -> f64 {
        self.announced
    }

    /// Returns whether no generation is in progress and almost no requests arrive.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.concurrent == 0 && self.wanted_requests.rate(now) < 1e-3
    }
}

/// Returns `amount` as a fraction of `limit`, or 0 if there is no limit.
fn fraction(amount: f64, limit: f64) -> f64 {
    if limit > 0.0 { amount / limit } else { 0.0 }
}
