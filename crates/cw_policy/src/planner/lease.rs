//! The lease that elects the planner.

use std::cmp::Reverse;
use std::time::Duration;

use cw_types::FencingNumber;
use cw_types::HostId;
use cw_types::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// The time to live of a lease, after which the key-value service revokes it unless renewed.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// How long before the expiry of the lease its holder stops acting as the planner.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1500);

/// How often the holder renews the lease.
const RENEW_PERIOD: Duration = Duration::from_secs(2);

/// How long a candidate waits before it requests the lease again.
const REQUEST_PERIOD: Duration = Duration::from_secs(3);

/// The number of entries that request the lease.
const CANDIDATES: usize = 3;

/// Returns whether the entry on `host` may request the lease. The number of candidates does not
/// grow with the number of entries.
pub fn is_candidate(host: &HostId, entries: &[EntryPeer]) -> bool {
    let mut ranked: Vec<_> = entries.iter().map(|entry| &entry.host).collect();
    ranked.sort_by_key(|host| Reverse(xxh3_64(format!("planner/{host}").as_bytes())));
    ranked.truncate(CANDIDATES);
    ranked.contains(&host)
}

/// An event that concerns the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick {
        /// Whether this entry may request the lease.
        candidate: bool,
    },
    /// The key-value service granted a lease.
    Granted {
        /// When the lease was requested.
        requested_at: Time,
        /// The lease's id.
        lease: i64,
    },
    /// The planner's key was written under the lease.
    Claimed {
        /// The revision of the key-value service at which the key was created.
        created: FencingNumber,
    },
    /// Another entry holds the key.
    HeldElsewhere,
    /// The lease was renewed.
    Renewed {
        /// When the renewal was requested.
        requested_at: Time,
        /// The remaining time to live from then on.
        ttl: Duration,
    },
    /// The key-value service no longer has the lease.
    Expired,
    /// A call failed, or its response was lost.
    Failed,
}

/// The next step for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing until the next event.
    Wait,
    /// Read the key, and request a lease if the key does not exist.
    Grant {
        /// The time to live of the lease.
        ttl: Duration,
    },
    /// Write the key under this lease if it does not exist. After a lost response the key is read to
    /// find out whether the write took effect.
    Claim {
        /// The lease's id.
        lease: i64,
    },
    /// Renew the lease.
    Renew {
        /// The lease's id.
        lease: i64,
    },
    /// Revoke the lease.
    Revoke {
        /// The lease's id.
        lease: i64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// This entry has no lease and does not request one before the given time.
    Idle { request_at: Time },
    /// A lease has been requested; an event reports the result.
    Requesting { since: Time },
    /// This entry has a lease, but does not hold the key yet.
    Claiming { lease: i64, until: Time },
    /// This entry is the planner.
    Holding {
        lease: i64,
        fencing: FencingNumber,
        until: Time,
        renew_at: Time,
    },
}

/// The planner's lease as seen by one entry.
///
/// The holder measures the time to live by its own clock, from before the request, and stops a margin
/// before the lease can expire in the key-value service. A holder that was paused therefore notices
/// that it no longer holds the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    stage: Stage,
}

impl Lease {
    /// Returns the state of an entry without a lease.
    pub fn new(now: Time) -> Self {
        Self {
            stage: Stage::Idle { request_at: now },
        }
    }

    /// Returns the fencing number while this entry is the planner.
    pub fn fencing(&self, now: Time) -> Option<FencingNumber> {
        match self.stage {
            Stage::Holding { fencing, until, .. } if now < until => Some(fencing),
            _ => None,
        }
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, now: Time, event: LeaseEvent) -> LeaseStep {
        match event {
            LeaseEvent::Tick { candidate } => self.on_tick(now, candidate),
            LeaseEvent::Granted {
                requested_at,
                lease,
            } => self.on_granted(now, requested_at, lease),
            LeaseEvent::Claimed { created } => self.on_claimed(now, created),
            LeaseEvent::HeldElsewhere => self.on_held_elsewhere(now),
            LeaseEvent::Renewed { requested_at, ttl } => self.on_renewed(requested_at, ttl),
            LeaseEvent::Expired => self.become_idle(now),
            LeaseEvent::Failed => self.on_failed(now),
        }
    }

    fn on_tick(&mut self, now: Time, candidate: bool) -> LeaseStep {
        match self.stage {
            Stage::Idle { request_at } if candidate && now >= request_at => {
                self.stage = Stage::Requesting { since: now };
                LeaseStep::Grant { ttl: LEASE_TTL }
            }
            Stage::Requesting { since } if now.since(since) >= LEASE_TTL => self.become_idle(now),
            Stage::Claiming { until, .. } if now >= until => self.become_idle(now),
            Stage::Holding { until, .. } if now >= until => self.become_idle(now),
            Stage::Holding {
                lease,
                fencing,
                until,
                renew_at,
            } if now >= renew_at => {
                self.stage = Stage::Holding {
                    lease,
                    fencing,
                    until,
                    renew_at: now + RENEW_PERIOD,
                };
                LeaseStep::Renew { lease }
            }
            _ => LeaseStep::Wait,
        }
    }

    fn on_granted(&mut self, now: Time, requested_at: Time, lease: i64) -> LeaseStep {
        let until = expiry(requested_at, LEASE_TTL);
        if now >= until || !matches!(self.stage, Stage::Requesting { .. }) {
            return LeaseStep::Revoke { lease };
        }
        self.stage = Stage::Claiming { lease, until };
        LeaseStep::Claim { lease }
    }

    fn on_claimed(&mut self, now: Time, created: FencingNumber) -> LeaseStep {
        if let Stage::Claiming { lease, until } = self.stage {
            self.stage = Stage::Holding {
                lease,
                fencing: created,
                until,
                renew_at: now,
            };
        }
        LeaseStep::Wait
    }

    fn on_held_elsewhere(&mut self, now: Time) -> LeaseStep {
        let stage = self.stage;
        self.become_idle(now);
        match stage {
            Stage::Claiming { lease, .. } => LeaseStep::Revoke { lease },
            _ => LeaseStep::Wait,
        }
    }

    fn on_renewed(&mut self, requested_at: Time, ttl: Duration) -> LeaseStep {
        if let Stage::Holding { until, .. } = &mut self.stage {
            *until = (*until).max(expiry(requested_at, ttl));
        }
        LeaseStep::Wait
    }

    fn on_failed(&mut self, now: Time) -> LeaseStep {
        match self.stage {
            Stage::Requesting { .. } => self.become_idle(now),
            // Claiming again shows whether the key was written.
            Stage::Claiming { lease, until } if now < until => LeaseStep::Claim { lease },
            Stage::Claiming { .. } => self.become_idle(now),
            Stage::Idle { .. } | Stage::Holding { .. } => LeaseStep::Wait,
        }
    }

    fn become_idle(&mut self, now: Time) -> LeaseStep {
        self.stage = Stage::Idle {
            request_at: now + REQUEST_PERIOD,
        };
        LeaseStep::Wait
    }
}

fn expiry(requested_at: Time, ttl: Duration) -> Time {
    requested_at + ttl.saturating_sub(EXPIRY_MARGIN)
}
