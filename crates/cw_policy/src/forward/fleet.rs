//! The targets that the directory names.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::TargetShare;

use super::Demand;
use super::Fault;
use super::Listing;
use super::ReportedLoad;
use super::member::Member;
use super::peers::Peers;

/// How many targets of one availability zone must be lost at about the same time for the loss to be
/// taken for one of the zone.
const ZONE_LOSSES: usize = 3;

/// The time within which such losses fall: silence is noticed within a second.
const ZONE_WINDOW: Duration = Duration::from_secs(1);

/// Bounds of the fleet's beliefs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLimits {
    /// How long after the directory's return a target that lapsed meanwhile may still come back.
    pub relist_grace: Duration,
    /// How long the directory names a target that has stopped.
    pub lapse: Duration,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            relist_grace: Duration::from_secs(2),
            lapse: Duration::from_secs(4),
        }
    }
}

/// Whether the directory can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Directory {
    /// It answers, and has done so since then.
    Up(Time),
    /// Its last call failed.
    Down,
}

/// Whether a request may go to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// It may.
    Usable,
    /// The directory does not name the target.
    Unlisted,
    /// The target takes no new work.
    Leaving,
    /// The target could not be reached a moment ago.
    Resting,
}

/// The targets that the directory names, with what this entry has seen of them.
#[derive(Clone, Debug)]
pub struct Fleet {
    limits: FleetLimits,
    directory: Directory,
    pub(super) members: BTreeMap<TargetId, Member>,
    pub(super) peers: Peers,
    /// This entry, once it knows others.
    pub(super) own: Option<HostId>,
    /// All entries.
    pub(super) entries: BTreeSet<HostId>,
    /// When several targets of an availability zone were last lost at about the same time.
    zones: BTreeMap<ZoneId, Time>,
}

impl Fleet {
    /// Returns an empty fleet.
    pub fn new(limits: FleetLimits) -> Self {
        Self {
            limits,
            directory: Directory::Up(Time::default()),
            members: BTreeMap::new(),
            peers: Peers::default(),
            own: None,
            entries: BTreeSet::new(),
            zones: BTreeMap::new(),
        }
    }

    // ---- The directory ----

    /// The directory has an entry, or a new value of one. Returns whether a belief changed.
    pub fn listed(&mut self, now: Time, listing: Listing) -> bool {
        match self.members.get_mut(&listing.id) {
            Some(member) if member.listing == listing && member.missing.is_none() => false,
            Some(member) if member.listing.is_same_instance(&listing) => {
                // A target that is leaving does not stay after all, whatever an old entry says.
                let leaving = member.listing.leaving || listing.leaving;
                member.listing = Listing { leaving, ..listing };
                member.missing = None;
                true
            }
            Some(member) => {
                member.reborn(now, listing);
                true
            }
            None => {
                let id = listing.id.clone();
                let mut member = Member::new(now, listing);
                member.peers = self.peers.at(member.hash);
                member.own = self.is_own(&id);
                self.members.insert(id, member);
                true
            }
        }
    }

    /// An entry has vanished from the directory. Returns whether a belief changed.
    ///
    /// An entry that lapsed while the directory was away may come back; until then its target is
    /// used on.
    pub fn removed(&mut self, now: Time, id: &TargetId) -> bool {
        let trusted = self.is_trusted(now);
        self.unlisted(now, id, trusted)
    }

    /// An entry has vanished from the directory; `trusted` says whether that is the truth.
    pub fn unlisted(&mut self, now: Time, id: &TargetId, trusted: bool) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        if trusted || member.listing.leaving {
            self.members.remove(id);
            return true;
        }
        let first = member.missing.is_none();
        member.missing.get_or_insert(now);
        first
    }

    /// The directory was read as a whole, and names these targets only.
    pub fn retain_listed(&mut self, now: Time, names: &BTreeSet<TargetId>) {
        let gone: Vec<TargetId> = self
            .members
            .keys()
            .filter(|id| !names.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.removed(now, &id);
        }
    }

    /// A call to the directory failed. Returns whether it answered before.
    pub fn directory_failed(&mut self) -> bool {
        let was_up = self.directory != Directory::Down;
        self.directory = Directory::Down;
        was_up
    }

    /// A call to the directory was answered. Returns whether it had failed before.
    pub fn directory_answered(&mut self, now: Time) -> bool {
        let was_down = self.directory == Directory::Down;
        if was_down {
            self.directory = Directory::Up(now);
        }
        was_down
    }

    /// Returns whether a target without an entry is gone: the directory has answered for longer than
    /// targets need to come back to it.
    pub fn is_trusted(&self, now: Time) -> bool {
        match self.directory {
            Directory::Up(since) => now.since(since) >= self.limits.relist_grace,
            Directory::Down => false,
        }
    }

    /// Returns whether the directory answered the last call.
    pub fn is_directory_up(&self) -> bool {
        self.directory != Directory::Down
    }

    /// Drops targets whose entries did not come back in time. Returns which.
    pub fn expire(&mut self, now: Time) -> Vec<TargetId> {
        let Directory::Up(since) = self.directory else {
            return Vec::new();
        };
        if now.since(since) < self.limits.relist_grace {
            return Vec::new();
        }
        let gone: Vec<TargetId> = self
            .members
            .iter()
            .filter(|(_, member)| member.missing.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.members.remove(id);
        }
        gone
    }

    // ---- Traffic ----

    /// A request was sent to a target.
    pub fn sent(&mut self, now: Time, id: &TargetId, demand: Demand) {
        if let Some(member) = self.members.get_mut(id) {
            member.runs += 1;
            member.change(now, |member| member.unread += demand.prompt);
            member.tokens += demand.tokens();
        }
    }

    /// The answer of a request has begun.
    pub fn began(&mut self, now: Time, id: &TargetId, demand: Demand) {
        if let Some(member) = self.members.get_mut(id) {
            member.change(now, |member| member.read(demand));
            member.heard(now);
        }
    }

    /// A request has left its target; `began` says whether its answer had begun.
    pub fn ended(&mut self, now: Time, id: &TargetId, demand: Demand, began: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.runs = member.runs.saturating_sub(1);
            member.tokens = member.tokens.saturating_sub(demand.tokens());
            if !began {
                member.change(now, |member| member.read(demand));
            }
        }
    }

    /// A target keeps a copy of a run, or no longer does.
    pub fn count_copy(&mut self, id: &TargetId, demand: Demand, kept: bool) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if kept {
            member.copies += 1;
            member.tokens += demand.tokens();
        } else {
            member.copies = member.copies.saturating_sub(1);
            member.tokens = member.tokens.saturating_sub(demand.tokens());
        }
    }

    /// A target reported its load with an answer.
    pub fn reported(&mut self, now: Time, id: &TargetId, load: ReportedLoad) {
        if let Some(member) = self.members.get_mut(id) {
            member.reported(now, load);
        }
    }

    /// Something went wrong at a target.
    pub fn failed(&mut self, now: Time, id: &TargetId, fault: Fault) {
        if let Some(member) = self.members.get_mut(id) {
            member.failed(now, fault);
        }
        self.note_loss(now, id);
    }

    /// Something came from a target, so it lives.
    pub fn responded(&mut self, now: Time, id: &TargetId) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard(now);
        }
    }

    /// Notes when a loss is one of several in an availability zone.
    pub(super) fn note_loss(&mut self, now: Time, id: &TargetId) {
        let Some(zone) = self.members.get(id).map(|member| &member.listing.zone) else {
            return;
        };
        let lost = self.members.values().filter(|member| {
            let at = member.doubted.filter(|at| now.since(*at) < ZONE_WINDOW);
            member.listing.zone == *zone && at.is_some()
        });
        if lost.count() >= ZONE_LOSSES {
            self.zones.insert(zone.clone(), now);
        }
    }

    /// Returns whether a target may be among those that its availability zone has lost: nothing has
    /// come from it since, and the directory has not had the time to drop it.
    pub(super) fn is_unproven(&self, now: Time, member: &Member) -> bool {
        let lost = self.zones.get(&member.listing.zone);
        lost.is_some_and(|&at| {
            now.since(at) < self.limits.lapse && member.heard < at && member.listed < at
        })
    }

    // ---- Questions ----

    /// Returns what the directory says of a target.
    pub fn listing(&self, id: &TargetId) -> Option<&Listing> {
        self.members.get(id).map(|member| &member.listing)
    }

    /// Returns whether work at this target should go on elsewhere.
    pub fn is_leaving(&self, id: &TargetId) -> bool {
        self.members
            .get(id)
            .is_none_or(|member| member.listing.leaving)
    }

    /// Returns whether a request may go to this target now.
    pub fn is_usable(&self, now: Time, id: &TargetId) -> bool {
        self.usability(now, id) == Usability::Usable
    }

    /// Returns whether a request may go to this target now, and why not.
    pub fn usability(&self, now: Time, id: &TargetId) -> Usability {
        match self.members.get(id) {
            None => Usability::Unlisted,
            Some(member) if member.listing.leaving => Usability::Leaving,
            Some(member) if member.replaced => Usability::Unlisted,
            Some(member) if member.rest > now => Usability::Resting,
            Some(_) => Usability::Usable,
        }
    }

    /// Returns what a target is thought to have: this entry's part, the other entries' by their
    /// messages, and all others' by the target's last report.
    pub fn load(&self, now: Time, id: &TargetId) -> Option<(TargetShare, TargetShare, f64)> {
        let member = self.members.get(id)?;
        Some((member.share(), member.peers, member.foreign(now)))
    }

    /// Returns how many targets there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
