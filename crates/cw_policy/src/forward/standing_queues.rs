//! Detects standing queues: the state in which most requests of a service have to wait.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::Time;

use super::Rank;

/// The time constant of the moving average of waiting requests, as a multiple of the objective. The
/// queue left by a short burst drains within about one objective.
const TIME_CONSTANT: f64 = 0.7;

/// The share of waiting requests above which a queue counts as standing. The share reaches 0.3
/// after the loss of a zone, and 0.7 and more under lasting overload (`docs/platform-rounds.md`,
/// round 17).
const STANDING_SHARE: f64 = 0.4;

/// The share of waiting requests below which a standing queue counts as cleared, which is half of
/// [`STANDING_SHARE`].
const CLEARED_SHARE: f64 = 0.2;

/// The wait statistics of one rank of a service.
#[derive(Clone, Copy, Debug)]
struct WaitStats {
    /// The time of the last update.
    updated: Time,
    /// The exponential moving average of the share of requests that have to wait.
    wait_share: f64,
    standing: bool,
}

/// Tracks, per service and rank, the share of requests that have to wait for others at every target.
#[derive(Clone, Debug, Default)]
pub struct StandingQueues {
    services: BTreeMap<(ServiceName, Rank), WaitStats>,
}

impl StandingQueues {
    /// Records whether a request `waits` at every target, and returns whether a queue is standing.
    ///
    /// A queue counts as standing from the time its moving average exceeds [`STANDING_SHARE`] until
    /// it falls below [`CLEARED_SHARE`].
    pub(super) fn observe(
        &mut self,
        now: Time,
        service: &ServiceName,
        rank: Rank,
        waits: bool,
        objective: Duration,
    ) -> bool {
        let key = (service.clone(), rank);
        let stats = self.services.entry(key).or_insert(WaitStats {
            updated: now,
            wait_share: 0.0,
            standing: false,
        });
        let time_constant = objective.mul_f64(TIME_CONSTANT).as_secs_f64();
        let age = now.since(stats.updated).as_secs_f64();
        let weight = 1.0 - (-age / time_constant.max(f64::EPSILON)).exp();
        stats.wait_share += weight * (f64::from(u8::from(waits)) - stats.wait_share);
        stats.updated = now;
        stats.standing = match stats.standing {
            true => stats.wait_share >= CLEARED_SHARE,
            false => stats.wait_share > STANDING_SHARE,
        };
        stats.standing
    }

    /// Drops the statistics of the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|(name, _), _| keep(name));
    }
}
