//! Who the planner is.

use std::cmp::Reverse;
use std::time::Duration;

use cw_types::FencingNumber;
use cw_types::HostId;
use cw_types::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// How long the service keeps a lease that is not kept alive.
const TTL: Duration = Duration::from_secs(6);

/// How long before the service gives the lease away its holder stops.
const MARGIN: Duration = Duration::from_millis(1500);

/// How often the holder keeps the lease alive.
const RENEW_PERIOD: Duration = Duration::from_secs(2);

/// How often a candidate asks whether the lease is free.
const ASK_PERIOD: Duration = Duration::from_secs(3);

/// How many entries ask for the lease.
const CANDIDATES: usize = 3;

/// Returns whether the entry on `host` may ask for the lease; few may, however many there are.
pub fn is_candidate(host: &HostId, entries: &[EntryPeer]) -> bool {
    let mut ranked: Vec<_> = entries.iter().map(|entry| &entry.host).collect();
    ranked.sort_by_key(|host| Reverse(xxh3_64(format!("planner/{host}").as_bytes())));
    ranked.truncate(CANDIDATES);
    ranked.contains(&host)
}

/// What happens to the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick {
        /// Whether this entry may ask for the lease.
        candidate: bool,
    },
    /// The service granted a lease that was asked for at this moment.
    Granted {
        /// When it was asked for.
        asked: Time,
        /// The lease.
        lease: i64,
    },
    /// The key was written under the lease, at this revision of the service.
    Claimed {
        /// The revision.
        created: FencingNumber,
    },
    /// Another entry has the key.
    HeldElsewhere,
    /// The lease was kept alive by a call at this moment.
    Renewed {
        /// When the call was made.
        asked: Time,
        /// How long the lease lives from then on.
        ttl: Duration,
    },
    /// The service does not know the lease any more.
    Expired,
    /// A call failed, or its answer was lost.
    Failed,
}

/// What to do about the lease next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Read the key, and ask for a lease of this length if it is free.
    Grant {
        /// How long the service is to keep it.
        ttl: Duration,
    },
    /// Write the key under this lease if it does not exist; a lost answer is settled by reading
    /// the key.
    Claim {
        /// The lease.
        lease: i64,
    },
    /// Keep the lease alive.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// Give the lease up.
    Revoke {
        /// The lease.
        lease: i64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Without a lease.
    Out { ask: Time },
    /// A call is under way, of whose end an event tells.
    Asking { since: Time },
    /// With a lease, but not yet with the key.
    Claiming { lease: i64, until: Time },
    /// The planner.
    Holding {
        lease: i64,
        fencing: FencingNumber,
        until: Time,
        renew: Time,
    },
}

/// The lease of the planner, from the side of one entry.
///
/// The holder counts from before it asked, by its own clock, and stops a margin before the
/// service would give the lease away. So a holder that was paused finds that it is none.
#[derive(Clone, Debug)]
pub struct Lease {
    stage: Stage,
}

impl Lease {
    /// Returns the state of an entry without a lease.
    pub fn new(now: Time) -> Self {
        Self {
            stage: Stage::Out { ask: now },
        }
    }

    /// Returns the fencing number, while this entry is the planner.
    pub fn fencing(&self, now: Time) -> Option<FencingNumber> {
        match self.stage {
            Stage::Holding { fencing, until, .. } if now < until => Some(fencing),
            _ => None,
        }
    }

    /// Takes an event and says what to do next.
    pub fn on_event(&mut self, now: Time, event: LeaseEvent) -> LeaseStep {
        match event {
            LeaseEvent::Tick { candidate } => self.on_tick(now, candidate),
            LeaseEvent::Granted { asked, lease } => self.on_granted(now, asked, lease),
            LeaseEvent::Claimed { created } => self.on_claimed(now, created),
            LeaseEvent::HeldElsewhere => self.on_taken(now),
            LeaseEvent::Renewed { asked, ttl } => self.on_renewed(asked, ttl),
            LeaseEvent::Expired => self.leave(now),
            LeaseEvent::Failed => self.on_failed(now),
        }
    }

    fn on_tick(&mut self, now: Time, candidate: bool) -> LeaseStep {
        match self.stage {
            Stage::Out { ask } if candidate && now >= ask => {
                self.stage = Stage::Asking { since: now };
                LeaseStep::Grant { ttl: TTL }
            }
            Stage::Asking { since } if now.since(since) >= TTL => self.leave(now),
            Stage::Claiming { until, .. } if now >= until => self.leave(now),
            Stage::Holding { until, .. } if now >= until => self.leave(now),
            Stage::Holding {
                lease,
                fencing,
                until,
                renew,
            } if now >= renew => {
                self.stage = Stage::Holding {
                    lease,
                    fencing,
                    until,
                    renew: now + RENEW_PERIOD,
                };
                LeaseStep::Renew { lease }
            }
            _ => LeaseStep::Wait,
        }
    }

    fn on_granted(&mut self, now: Time, asked: Time, lease: i64) -> LeaseStep {
        let until = end_of(asked, TTL);
        if now >= until || !matches!(self.stage, Stage::Asking { .. }) {
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
                renew: now,
            };
        }
        LeaseStep::Wait
    }

    fn on_taken(&mut self, now: Time) -> LeaseStep {
        let stage = self.stage;
        self.leave(now);
        match stage {
            Stage::Claiming { lease, .. } => LeaseStep::Revoke { lease },
            _ => LeaseStep::Wait,
        }
    }

    fn on_renewed(&mut self, asked: Time, ttl: Duration) -> LeaseStep {
        if let Stage::Holding { until, .. } = &mut self.stage {
            *until = (*until).max(end_of(asked, ttl));
        }
        LeaseStep::Wait
    }

    fn on_failed(&mut self, now: Time) -> LeaseStep {
        match self.stage {
            Stage::Asking { .. } => self.leave(now),
            // Whether the key was written is found out by claiming again.
            Stage::Claiming { lease, until } if now < until => LeaseStep::Claim { lease },
            Stage::Claiming { .. } => self.leave(now),
            Stage::Out { .. } | Stage::Holding { .. } => LeaseStep::Wait,
        }
    }

    fn leave(&mut self, now: Time) -> LeaseStep {
        self.stage = Stage::Out {
            ask: now + ASK_PERIOD,
        };
        LeaseStep::Wait
    }
}

fn end_of(asked: Time, ttl: Duration) -> Time {
    asked + ttl.saturating_sub(MARGIN)
}
