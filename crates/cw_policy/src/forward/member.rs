//! One target of the fleet, as this entry sees it.

use std::time::Duration;

use cw_types::Time;
use cw_wire::TargetHash;
use cw_wire::TargetShare;

use super::Listing;

/// The time over which evidence against a target loses half of its weight.
const STRIKE_HALF_LIFE: Duration = Duration::from_secs(3);

/// The first rest of a target that could not be reached; the rest doubles with each failure.
const REST_BASE: Duration = Duration::from_millis(250);

/// How often the rest of a target doubles at most; it is back within seconds as a rule.
const REST_DOUBLINGS: u32 = 3;

/// The time over which a reported load is believed: about half the length of a generation.
const REPORT_LIFE: Duration = Duration::from_secs(3);

/// What one request takes up at its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that it may generate at most.
    pub output: u64,
}

impl Demand {
    /// Returns the cache memory that it takes at its end, in tokens.
    pub fn tokens(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// What went wrong at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made.
    Unreachable,
    /// A connection broke before the answer was whole.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// It answered with a failure of its own.
    Failed,
    /// It was too full to take the request.
    Full,
    /// Another target has its address.
    Replaced,
}

impl Fault {
    /// Returns how much it says against the target.
    fn weight(self) -> f64 {
        match self {
            Fault::Unreachable | Fault::Silent | Fault::Replaced => 2.0,
            Fault::Broken => 1.0,
            Fault::Failed | Fault::Full => 0.5,
        }
    }

    /// Returns whether the target is likely to be down.
    fn is_loss(self) -> bool {
        matches!(
            self,
            Fault::Unreachable | Fault::Broken | Fault::Silent | Fault::Replaced
        )
    }
}

/// The load that a target reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) listing: Listing,
    /// The name that entries have for it among themselves.
    pub(super) hash: TargetHash,
    /// Requests that this entry has there.
    pub(super) runs: u32,
    /// Tokens in the prompts of those whose answer has not begun.
    pub(super) unread: u64,
    /// Copies of this entry's runs that it keeps.
    pub(super) copies: u32,
    /// Cache memory that runs and copies take, in tokens.
    pub(super) tokens: u64,
    /// When its entry vanished from the directory while the directory was not to be trusted.
    pub(super) missing: Option<Time>,
    /// No request goes there before this, while others are left.
    pub(super) rest: Time,
    /// Losses in a row.
    losses: u32,
    strikes: f64,
    struck: Time,
    /// Requests of other entries, by the last report.
    foreign: f64,
    reported: Time,
    /// What other entries say they have there.
    pub(super) peers: TargetShare,
    /// When somebody last found it lost, and nobody has heard of it since.
    pub(super) doubted: Option<Time>,
    /// When this entry itself last found that.
    pub(super) found: Option<Time>,
    /// When something last came from it.
    pub(super) heard: Time,
    /// When the directory first named this life of it.
    pub(super) listed: Time,
    /// Whether another target was found at its address.
    pub(super) replaced: bool,
    /// Whether this entry is the one that should prefer it.
    pub(super) own: bool,
    /// When it began to read the prompt that it reads now, as far as is known.
    pub(super) reading: Time,
}

impl Member {
    pub(super) fn new(now: Time, listing: Listing) -> Self {
        Self {
            hash: TargetHash::from(&listing.id),
            listing,
            runs: 0,
            unread: 0,
            copies: 0,
            tokens: 0,
            missing: None,
            rest: Time::default(),
            losses: 0,
            strikes: 0.0,
            struck: Time::default(),
            foreign: 0.0,
            reported: Time::default(),
            peers: TargetShare::default(),
            doubted: None,
            found: None,
            heard: Time::default(),
            listed: now,
            replaced: false,
            own: false,
            reading: now,
        }
    }

    /// A new life begins under the same id: nothing of the old one holds.
    pub(super) fn reborn(&mut self, now: Time, listing: Listing) {
        *self = Self {
            runs: self.runs,
            unread: self.unread,
            copies: self.copies,
            tokens: self.tokens,
            peers: self.peers,
            own: self.own,
            ..Self::new(now, listing)
        };
    }

    pub(super) fn strikes(&self, now: Time) -> f64 {
        let age = now.since(self.struck).as_secs_f64() / STRIKE_HALF_LIFE.as_secs_f64();
        self.strikes * (-age * std::f64::consts::LN_2).exp()
    }

    pub(super) fn failed(&mut self, now: Time, fault: Fault) {
        self.strikes = self.strikes(now) + fault.weight();
        self.struck = now;
        if fault == Fault::Replaced {
            self.replaced = true;
        }
        if fault.is_loss() {
            self.doubted = Some(now);
            self.found = Some(now);
        }
        // A connection that broke says little of the target: the next attempt tells at once.
        if fault.is_loss() && fault != Fault::Broken {
            let rest = REST_BASE * 2_u32.pow(self.losses.min(REST_DOUBLINGS));
            self.rest = self.rest.max(now + rest);
            self.losses += 1;
        }
    }

    /// Returns the tokens that it has yet to read.
    pub(super) fn unread(&self) -> u64 {
        self.unread.saturating_add(self.peers.unread)
    }

    /// It has read a prompt of this entry, or never will.
    pub(super) fn read(&mut self, demand: Demand) {
        self.unread = self.unread.saturating_sub(demand.prompt);
    }

    /// What it has yet to read changes: it begins with the first prompt that comes, or with the
    /// next one when it has read one.
    pub(super) fn change(&mut self, now: Time, change: impl FnOnce(&mut Self)) {
        let before = self.unread();
        change(self);
        if before == 0 || self.unread() < before {
            self.reading = now;
        }
    }

    /// Something came from it: it lives.
    pub(super) fn heard(&mut self, now: Time) {
        self.heard = now;
        self.losses = 0;
        self.doubted = None;
        self.rest = Time::default();
    }

    /// Another entry found it silent or out of reach.
    pub(super) fn doubt(&mut self, now: Time) {
        self.doubted = Some(now);
        self.rest = self.rest.max(now + REST_BASE);
    }

    /// Returns what this entry has there.
    pub(super) fn share(&self) -> TargetShare {
        TargetShare {
            runs: self.runs,
            unread: self.unread,
            copies: self.copies,
            tokens: self.tokens,
        }
    }

    pub(super) fn reported(&mut self, now: Time, load: ReportedLoad) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        self.foreign = (all - f64::from(self.runs)).max(0.0);
        self.reported = now;
    }

    /// Returns how many requests of other entries are thought to be there.
    pub(super) fn foreign(&self, now: Time) -> f64 {
        let age = now.since(self.reported).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        self.foreign * (1.0 - age).max(0.0)
    }
}
