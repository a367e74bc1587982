//! Whether a queue stands before a service's targets.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::Time;

/// The time constant of the share of requests that have to wait, in objectives: what has queued
/// after a short burst is worked off within about one.
const STANDING_TIME: f64 = 0.7;

/// The share of requests that have to wait above which a queue stands: up to 0.3 of them do after the
/// loss of a zone, 0.7 and more under lasting overload (`docs/platform-rounds.md`, round 17).
const STANDING_SHARE: f64 = 0.4;

/// The share below which it has been worked off: half of the above.
const WORKED_OFF_SHARE: f64 = 0.2;

/// What is known of one service.
#[derive(Clone, Copy, Debug)]
struct Waits {
    /// When it was last asked for.
    at: Time,
    /// The share of requests that have to wait, the newest counting most.
    share: f64,
    /// Whether a queue stands.
    stands: bool,
}

/// The share of requests that have to wait for others, whichever target they go to, by service.
#[derive(Clone, Debug, Default)]
pub struct StandingQueues {
    services: BTreeMap<ServiceName, Waits>,
}

impl StandingQueues {
    /// Notes whether a request `waits` wherever it goes, and returns whether a queue stands: most
    /// have waited of late, and it has not been worked off.
    pub(super) fn observe(
        &mut self,
        now: Time,
        service: &ServiceName,
        waits: bool,
        objective: Duration,
    ) -> bool {
        let waiting = self.services.entry(service.clone()).or_insert(Waits {
            at: now,
            share: 0.0,
            stands: false,
        });
        let memory = objective.mul_f64(STANDING_TIME).as_secs_f64();
        let age = now.since(waiting.at).as_secs_f64();
        let weight = 1.0 - (-age / memory.max(f64::EPSILON)).exp();
        waiting.share += weight * (f64::from(u8::from(waits)) - waiting.share);
        waiting.at = now;
        waiting.stands = match waiting.stands {
            true => waiting.share >= WORKED_OFF_SHARE,
            false => waiting.share > STANDING_SHARE,
        };
        waiting.stands
    }

    /// Forgets the services that are no more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
