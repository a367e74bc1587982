//! The state of one target as seen by this entry.

use std::time::Duration;

use cw_types::Time;
use cw_wire::SoftwareHash;
use cw_wire::TargetHash;
use cw_wire::TargetShare;

use super::Listing;
use super::Slot;
use super::entry_ranking::Nearness;
use super::pace::Pace;
use super::pace::PaceLoad;
use super::slowness::Slowness;
use super::target_limit::TargetLimit;

/// The half-life of a target's penalty.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(3);

/// The first backoff after a target could not be reached. It doubles with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// The maximum number of times that the backoff doubles. A target is usually back within seconds.
const BACKOFF_DOUBLINGS: u32 = 3;

/// The time over which the weight of a reported load falls to zero, which is about half the
/// duration of a generation.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// How long a loss casts doubt on the other targets of the zone for a request that has met with it. A silent target
/// is detected within a second.
const LATE_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// The resources that one request uses at its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The number of tokens in the prompt.
    pub prompt: u64,
    /// The maximum number of tokens to generate.
    pub output: u64,
}

impl Demand {
    /// Returns the cache memory that the request uses at its end, in tokens.
    pub fn tokens(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// A failure at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be established.
    Unreachable,
    /// The connection broke before the answer was complete.
    Broken,
    /// The target sent nothing until the deadline for its next bytes.
    Silent,
    /// The target answered with an error.
    Failed,
    /// The target rejected the request because it has no free capacity.
    Full,
    /// Another target now listens at the address.
    Replaced,
    /// The target has begun to leave since it was chosen.
    Leaving,
    /// The deadline of the request passed before it could be sent, which says nothing of the target.
    Late,
}

impl Fault {
    /// Returns how much the fault adds to the penalty of the target.
    fn weight(self) -> f64 {
        match self {
            Fault::Unreachable | Fault::Silent | Fault::Replaced => 2.0,
            Fault::Broken => 1.0,
            Fault::Failed | Fault::Full => 0.5,
            Fault::Leaving | Fault::Late => 0.0,
        }
    }

    /// Returns whether the fault suggests that the target is down.
    fn is_loss(self) -> bool {
        matches!(
            self,
            Fault::Unreachable | Fault::Broken | Fault::Silent | Fault::Replaced
        )
    }
}

/// The load that a target reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// How long work takes on the target's machine at this moment, in percent of the usual time. `None` if
    /// the target does not say.
    pub slowness: Option<u32>,
}

/// The state of one target as seen by this entry.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) listing: Listing,
    /// The hash that identifies this incarnation in messages between entries.
    pub(super) hash: TargetHash,
    /// The software that this incarnation runs.
    pub(super) software: SoftwareHash,
    /// The number of this entry's requests at the target.
    pub(super) runs: u32,
    /// The prompt tokens of those requests whose answer has not begun.
    pub(super) unread: u64,
    /// The number of copies of this entry's runs that the target keeps.
    pub(super) copies: u32,
    /// The cache memory that these runs and copies use, in tokens.
    pub(super) tokens: u64,
    /// When the record of the target disappeared from the directory while the directory was not
    /// trusted.
    pub(super) missing_since: Option<Time>,
    /// The end of the backoff. Until then, the target is used only if there is no other.
    pub(super) backoff_until: Time,
    /// The target gets no calls about copies until then.
    pub(super) copy_calls_from: Time,
    /// The number of consecutive losses.
    losses: u32,
    /// The penalty as of `penalized_at`.
    penalty: f64,
    penalized_at: Time,
    /// The number of other entries' requests in the last report of the target.
    reported_others: f64,
    reported_at: Time,
    /// The load that other entries report to have at the target.
    pub(super) peers: TargetShare,
    /// When any entry last found the target lost, unless it has responded since.
    pub(super) suspected_at: Option<Time>,
    /// When this entry itself last found the target lost.
    pub(super) lost_at: Option<Time>,
    /// When the target last responded.
    pub(super) responded_at: Time,
    /// When the directory first listed this instance of the target.
    pub(super) listed_at: Time,
    /// Whether another target now listens at the address.
    pub(super) replaced: bool,
    /// How near this entry is to the target among all entries.
    pub(super) nearness: Nearness,
    /// The number of entries that are nearer to the target than this one.
    pub(super) rank: usize,
    /// Whether the pace and the slowness of the target decide where requests go.
    pub(super) finds_pace: bool,
    /// The pace at which requests go to this incarnation after its start.
    pub(super) pace: Pace,
    /// How slow this incarnation is.
    pub(super) slowness: Slowness,
    /// The estimated time at which the target began to read its current prompt.
    pub(super) reading_since: Time,
    /// The limit that the target names on the requests that it takes from all entries together.
    pub(super) limit: TargetLimit,
}

impl Member {
    pub(super) fn new(now: Time, listing: Listing) -> Self {
        Self {
            hash: listing.hash(),
            software: listing.software(),
            listing,
            runs: 0,
            unread: 0,
            copies: 0,
            tokens: 0,
            missing_since: None,
            backoff_until: Time::default(),
            copy_calls_from: Time::default(),
            losses: 0,
            penalty: 0.0,
            penalized_at: Time::default(),
            reported_others: 0.0,
            reported_at: Time::default(),
            peers: TargetShare::default(),
            suspected_at: None,
            lost_at: None,
            responded_at: Time::default(),
            listed_at: now,
            replaced: false,
            nearness: Nearness::default(),
            rank: 0,
            finds_pace: false,
            pace: Pace::starting(now),
            slowness: Slowness::default(),
            reading_since: now,
            limit: TargetLimit::default(),
        }
    }

    /// Resets the state after a restart under the same id. Only the nearness remains, and the
    /// outstanding load of this entry, whose requests end with the connections to the incarnation
    /// before.
    pub(super) fn restart(&mut self, now: Time, listing: Listing) {
        *self = Self {
            runs: self.runs,
            unread: self.unread,
            copies: self.copies,
            tokens: self.tokens,
            nearness: self.nearness,
            finds_pace: self.finds_pace,
            rank: self.rank,
            ..Self::new(now, listing)
        };
    }

    /// Returns the penalty, which decays with [`PENALTY_HALF_LIFE`].
    pub(super) fn penalty(&self, now: Time) -> f64 {
        let age = now.since(self.penalized_at).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        self.penalty * (-age * std::f64::consts::LN_2).exp()
    }

    pub(super) fn record_failure(&mut self, now: Time, fault: Fault) {
        self.penalty = self.penalty(now) + fault.weight();
        self.penalized_at = now;
        if fault == Fault::Replaced {
            self.replaced = true;
        }
        if fault.is_loss() {
            self.suspected_at = Some(now);
            self.lost_at = Some(now);
        }
        if fault == Fault::Broken {
            self.pace.record_break(now);
        }
        // A broken connection says little about the target, and the next attempt shows its state at
        // once, so it causes no backoff.
        if fault.is_loss() && fault != Fault::Broken {
            let backoff = BACKOFF_BASE * 2_u32.pow(self.losses.min(BACKOFF_DOUBLINGS));
            self.backoff_until = self.backoff_until.max(now + backoff);
            self.losses += 1;
            self.pace.record_loss(self.backoff_until);
        }
    }

    /// Returns the tokens that the target has yet to read, for all entries.
    pub(super) fn unread(&self) -> u64 {
        self.unread.saturating_add(self.peers.unread)
    }

    /// Removes a prompt of this entry from the unread tokens, because it was read or never will be.
    pub(super) fn finish_read(&mut self, demand: Demand) {
        self.unread = self.unread.saturating_sub(demand.prompt);
    }

    /// Applies a change to the unread tokens.
    ///
    /// The target is taken to begin with a prompt when it had none to read before, or when the
    /// number of unread tokens falls.
    pub(super) fn update_unread(&mut self, now: Time, change: impl FnOnce(&mut Self)) {
        let before = self.unread();
        change(self);
        if before == 0 || self.unread() < before {
            self.reading_since = now;
        }
    }

    /// Records a response of the target, which shows that it is up.
    pub(super) fn record_response(&mut self, now: Time) {
        self.responded_at = now;
        self.pace.record_response(now);
        self.losses = 0;
        self.suspected_at = None;
        self.backoff_until = Time::default();
    }

    /// Records that another entry found the target lost.
    pub(super) fn record_suspicion(&mut self, now: Time) {
        self.suspected_at = Some(now);
        self.backoff_until = self.backoff_until.max(now + BACKOFF_BASE);
        self.pace.record_loss(self.backoff_until);
    }

    /// Returns how long work takes at the target, as a multiple of the mean target.
    pub(super) fn slowness_factor(&self, now: Time) -> f64 {
        match self.finds_pace {
            true => self.slowness.factor(now),
            false => 1.0,
        }
    }

    /// Returns whether a request of this entry fits the pace of the target.
    pub(super) fn is_in_pace(&self, now: Time, demand: Demand) -> bool {
        if !self.finds_pace {
            return true;
        }
        // Requests without a prompt take milliseconds, so none of them fills a target.
        demand.prompt == 0
            || self.pace.has_room(
                now,
                PaceLoad {
                    rank: self.rank,
                    runs: self.runs,
                    requests: self.runs.saturating_add(self.peers.runs),
                    unread: self.unread(),
                    prompt: demand.prompt,
                },
            )
    }

    /// Returns whether any entry has found the target lost a moment ago, and it has not responded since.
    pub(super) fn is_lately_lost(&self, now: Time) -> bool {
        self.suspected_at
            .is_some_and(|at| now.since(at) < LATE_LOSS_WINDOW)
    }

    /// Returns whether the target takes a request of this entry now, by the limit that it names.
    pub(super) fn has_slot(&self, now: Time) -> bool {
        self.limit.next_slot(now).is_some_and(|at| at <= now)
    }

    /// Returns the slot of this incarnation at a time.
    pub(super) fn slot(&self, now: Time, at: Time) -> Slot {
        Slot {
            target: self.listing.id.clone(),
            incarnation: self.listing.incarnation(),
            at,
            is_paced: self.limit.is_paced(),
            after_rest: self.limit.rest_until() > now,
        }
    }

    /// Returns the load of this entry at the target.
    pub(super) fn share(&self) -> TargetShare {
        TargetShare {
            runs: self.runs,
            unread: self.unread,
            copies: self.copies,
            tokens: self.tokens,
        }
    }

    pub(super) fn record_load(&mut self, now: Time, load: ReportedLoad) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        self.reported_others = (all - f64::from(self.runs)).max(0.0);
        self.reported_at = now;
        if let Some(percent) = load.slowness {
            self.slowness.record_report(now, f64::from(percent) / 100.0);
        }
    }

    /// Returns the estimated number of other entries' requests, by the last report of the target.
    pub(super) fn other_requests(&self, now: Time) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        self.reported_others * (1.0 - age).max(0.0)
    }
}
