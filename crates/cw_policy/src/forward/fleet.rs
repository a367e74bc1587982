//! The targets that the directory lists, with their observed state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::TargetHash;
use cw_wire::TargetShare;

use super::Demand;
use super::Fault;
use super::Listing;
use super::ReportedLoad;
use super::departures::Departures;
use super::entry_ranking::EntryRanking;
use super::limit_shares;
use super::member::Member;
use super::peers::Peers;
use super::record_trust::RecordTrust;
use super::software_history::SoftwareHistories;
use crate::CurrentIncarnation;
use crate::IncarnationOrder;

/// The minimum number of targets of one availability zone that must be lost within
/// [`ZONE_LOSS_WINDOW`] to count as a loss of the zone.
const MIN_ZONE_LOSSES: usize = 3;

/// The time window for the losses of one zone. A silent target is detected within a second.
const ZONE_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// How long this entry counts as connected after it has received something. Other entries send
/// several messages a second.
const CONTACT_TTL: Duration = Duration::from_secs(1);

/// Time limits for the state of the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetLimits {
    /// How long a target whose record expired during an outage of the directory may take to
    /// register again after the outage.
    pub relist_grace: Duration,
    /// How long the directory still lists a target that has stopped.
    pub record_ttl: Duration,
    /// Whether requests go to a target at the pace that its answers show, and by its speed.
    pub find_pace: bool,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            relist_grace: Duration::from_secs(2),
            record_ttl: Duration::from_secs(4),
            find_pace: false,
        }
    }
}

/// Whether a request may be sent to a target, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// Requests may be sent to the target.
    Usable,
    /// The directory does not list the target, or another target has replaced it.
    Unlisted,
    /// The target is draining and accepts no new requests.
    Leaving,
    /// The target is in backoff because it was recently found lost.
    Resting,
}

/// The targets that the directory lists, with their state as seen by this entry.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(super) limits: FleetLimits,
    record_trust: RecordTrust,
    pub(super) members: BTreeMap<TargetId, Member>,
    departures: Departures,
    /// The targets by the hash that messages between entries name them by.
    pub(super) by_hash: BTreeMap<TargetHash, TargetId>,
    /// The number of targets of each service.
    pub(super) service_sizes: BTreeMap<ServiceName, usize>,
    /// The software versions of the targets of each service.
    pub(super) software: SoftwareHistories,
    /// The targets that have reported a limit.
    pub(super) limited: BTreeSet<TargetId>,
    pub(super) peers: Peers,
    /// The host of this entry, once the other entries are known.
    pub(super) own_host: Option<HostId>,
    /// All entries, including this one.
    pub(super) entries: BTreeSet<HostId>,
    pub(super) ranking: EntryRanking,
    /// The demand of this entry for each service.
    pub(super) demands: BTreeMap<ServiceName, limit_shares::ServiceDemand>,
    /// The last loss of each availability zone, see [`MIN_ZONE_LOSSES`].
    zone_losses: BTreeMap<ZoneId, Time>,
    /// When this entry last received anything from a target or from another entry.
    contact_at: Time,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(limits: FleetLimits) -> Self {
        Self {
            limits,
            record_trust: RecordTrust::new(limits.record_ttl, limits.relist_grace),
            members: BTreeMap::new(),
            departures: Departures::default(),
            by_hash: BTreeMap::new(),
            service_sizes: BTreeMap::new(),
            software: SoftwareHistories::default(),
            limited: BTreeSet::new(),
            peers: Peers::default(),
            own_host: None,
            entries: BTreeSet::new(),
            ranking: EntryRanking::default(),
            demands: BTreeMap::new(),
            zone_losses: BTreeMap::new(),
            contact_at: Time::default(),
        }
    }

    // ---- The directory ----

    /// Returns whether a record lacks the time of the start that the target has told before. It comes from another writer then,
    /// and does not tell which start of the target it is about.
    pub fn lacks_start(&self, listing: &Listing) -> bool {
        let known = self.members.get(&listing.id);
        let is_start_known = known.is_some_and(|member| member.listing.started.is_some())
            || self.departures.knows_start(&listing.id);
        listing.started.is_none() && is_start_known
    }

    /// Records that the directory lists a target. Returns whether the state changed.
    ///
    /// A record that lacks the start of its target names no target to use, so it counts as removed.
    pub fn record_listing(&mut self, now: Time, listing: Listing) -> bool {
        if self.lacks_start(&listing) {
            return self.record_removal(now, &listing.id);
        }
        let service = listing.service.clone();
        let is_change = self.apply_listing(now, listing);
        if is_change {
            self.record_software(now, &service);
        }
        is_change
    }

    fn apply_listing(&mut self, now: Time, mut listing: Listing) -> bool {
        // A target never stops leaving, so a record that says otherwise is outdated.
        let known = self.members.get(&listing.id).map(|member| &member.listing);
        let is_leaving = |known: &Listing| known.leaving && known.is_same_start(&listing);
        listing.leaving |= known.is_some_and(is_leaving) || self.departures.contains(&listing);
        match self.members.get_mut(&listing.id) {
            Some(member) if member.listing == listing && member.missing_since.is_none() => false,
            Some(member) if member.listing.is_same_instance(&listing) => {
                member.listing = listing;
                member.missing_since = None;
                true
            }
            Some(_) => {
                self.replace_listing(now, listing);
                true
            }
            None => {
                self.add_member(now, listing);
                true
            }
        }
    }

    fn add_member(&mut self, now: Time, listing: Listing) {
        let id = listing.id.clone();
        let size = self
            .service_sizes
            .entry(listing.service.clone())
            .or_default();
        *size += 1;
        let mut member = Member::new(now, listing);
        member.finds_pace = self.limits.find_pace;
        member.peers = self.peers.total_at(member.hash);
        if self.own_host.is_some() {
            member.rank = self.ranking.rank(&id);
            member.nearness = self.ranking.nearness(member.rank, *size);
        }
        self.by_hash.insert(member.hash, id.clone());
        self.members.insert(id, member);
    }

    /// Replaces the record of a target by that of another incarnation, or of another service.
    fn replace_listing(&mut self, now: Time, listing: Listing) {
        let Some(member) = self.members.get_mut(&listing.id) else {
            return;
        };
        if member.listing.service != listing.service {
            self.remove_member(now, &listing.id);
            self.add_member(now, listing);
            return;
        }
        self.by_hash.remove(&member.hash);
        member.restart(now, listing);
        member.peers = self.peers.total_at(member.hash);
        self.by_hash.insert(member.hash, member.listing.id.clone());
    }

    fn remove_member(&mut self, now: Time, id: &TargetId) {
        let Some(member) = self.members.remove(id) else {
            return;
        };
        self.by_hash.remove(&member.hash);
        self.limited.remove(id);
        if member.listing.leaving {
            self.departures.record(now, member.listing.clone());
        }
        if let Some(size) = self.service_sizes.get_mut(&member.listing.service) {
            *size = size.saturating_sub(1);
        }
        self.record_software(now, &member.listing.service);
    }

    /// Records that the directory no longer lists a target. Returns whether the state changed.
    ///
    /// A record that expired during an outage of the directory may be registered again. Until then
    /// its target stays in use.
    pub fn record_removal(&mut self, now: Time, id: &TargetId) -> bool {
        let trusted = self.is_trusted(now);
        self.apply_removal(now, id, trusted)
    }

    /// Records that the directory no longer lists a target, which is dropped if `trusted` is set
    /// and marked as missing otherwise. Returns whether the state changed.
    pub fn apply_removal(&mut self, now: Time, id: &TargetId, trusted: bool) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        if trusted || member.listing.leaving {
            self.remove_member(now, id);
            return true;
        }
        let first = member.missing_since.is_none();
        member.missing_since.get_or_insert(now);
        first
    }

    /// Calls [`Self::record_removal`] for each target that is not in `names`, the full list of the
    /// directory.
    pub fn retain_listed(&mut self, now: Time, names: &BTreeSet<TargetId>) {
        let gone: Vec<TargetId> = self
            .members
            .keys()
            .filter(|id| !names.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.record_removal(now, &id);
        }
    }

    /// Records that a call to the directory failed. Returns whether the call before had succeeded.
    pub fn record_directory_failure(&mut self) -> bool {
        self.record_trust.record_failure()
    }

    /// Records that the directory answered a call. Returns whether the call before had failed.
    pub fn record_directory_answer(&mut self, now: Time) -> bool {
        self.record_trust.record_answer(now)
    }

    /// Records that the directory answered another entry at `as_of`, and whether that entry counts targets without a
    /// record as gone.
    pub fn record_directory_told(&mut self, as_of: Time, trusted: bool) {
        self.record_trust.record_told(as_of, trusted);
    }

    /// Returns whether a target without a record in the directory counts as gone: the directory has not been away
    /// for so long that records expire, or targets have had time to register again since.
    pub fn is_trusted(&self, now: Time) -> bool {
        self.record_trust.is_trusted(now)
    }

    /// Returns whether the last call to the directory succeeded.
    pub fn is_directory_up(&self) -> bool {
        self.record_trust.is_up()
    }

    /// Drops the targets that did not register again in time, and returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<TargetId> {
        self.departures.expire(now);
        if !self.is_trusted(now) {
            return Vec::new();
        }
        let gone: Vec<TargetId> = self
            .members
            .iter()
            .filter(|(_, member)| member.missing_since.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.remove_member(now, id);
        }
        gone
    }

    /// Records that an incarnation of a target has said itself that it is leaving, which its record may
    /// not say yet, or not any more. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Time, id: &TargetId, incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return self.departures.record_unlisted(now, id, incarnation);
        };
        let is_new = member.listing.incarnation() == incarnation && !member.listing.leaving;
        member.listing.leaving |= is_new;
        if is_new {
            let service = member.listing.service.clone();
            self.record_software(now, &service);
        }
        is_new
    }

    // ---- Traffic ----

    /// Records that a request was sent to a target.
    pub fn record_send(&mut self, now: Time, id: &TargetId, demand: Demand) {
        if let Some(member) = self.members.get_mut(id) {
            member.runs += 1;
            member.update_unread(now, |member| member.unread += demand.prompt);
            member.tokens += demand.tokens();
        }
    }

    /// Records that the answer to a request has begun.
    pub fn record_start(&mut self, now: Time, id: &TargetId, demand: Demand) {
        self.record_contact(now);
        if let Some(member) = self.members.get_mut(id) {
            member.update_unread(now, |member| member.finish_read(demand));
            member.record_response(now);
        }
    }

    /// Records that a request has ended at its target. `began` says whether its answer had begun.
    pub fn record_end(&mut self, now: Time, id: &TargetId, demand: Demand, began: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.runs = member.runs.saturating_sub(1);
            member.tokens = member.tokens.saturating_sub(demand.tokens());
            if !began {
                member.update_unread(now, |member| member.finish_read(demand));
            }
        }
    }

    /// Adds a copy of a run to the load of a target if `kept` is set, and removes it otherwise.
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

    /// Records the load that a target reported in an answer.
    pub fn record_load(&mut self, now: Time, id: &TargetId, load: ReportedLoad) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_load(now, load);
        }
    }

    /// Records that the answer to a prompt has begun after `time`, at an incarnation of a target. The mean
    /// target begins it after `usual`.
    pub fn record_read_time(
        &mut self,
        now: Time,
        id: &TargetId,
        incarnation: Incarnation,
        time: Duration,
        usual: Duration,
    ) {
        let member = self.members.get_mut(id);
        let member = member.filter(|member| member.listing.incarnation() == incarnation);
        if let Some(member) = member.filter(|_| !usual.is_zero()) {
            let ratio = time.as_secs_f64() / usual.as_secs_f64();
            member.slowness.record_answer(now, ratio);
            member.pace.record_answer(ratio);
        }
    }

    /// Returns the time that work takes at a target as a multiple of the mean time, 1 if nothing is known.
    pub fn slowness(&self, now: Time, id: &TargetId) -> f64 {
        let member = self.members.get(id);
        member.map_or(1.0, |member| member.slowness_factor(now))
    }

    /// Returns whether a prompt fits the pace of a target that has just started or was lost, true for all
    /// other targets.
    pub fn is_in_pace(&self, now: Time, id: &TargetId, demand: Demand) -> bool {
        let member = self.members.get(id);
        member.is_none_or(|member| member.is_in_pace(now, demand))
    }

    /// Records a failure of a request that was sent to an incarnation of a target. It says nothing
    /// about a later one.
    pub fn record_failure(
        &mut self,
        now: Time,
        id: &TargetId,
        incarnation: Incarnation,
        fault: Fault,
    ) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let current = CurrentIncarnation::new(member.listing.incarnation());
        if current.order(incarnation) == IncarnationOrder::Earlier {
            return;
        }
        member.record_failure(now, fault);
        self.record_zone_loss(now, id);
    }

    /// Records a response of a target, which shows that it is up.
    pub fn record_response(&mut self, now: Time, id: &TargetId) {
        self.record_contact(now);
        if let Some(member) = self.members.get_mut(id) {
            member.record_response(now);
        }
    }

    pub(super) fn record_contact(&mut self, now: Time) {
        self.contact_at = self.contact_at.max(now);
    }

    /// Returns whether this entry is connected to the rest of the system, so that a target that
    /// cannot be reached is down.
    pub fn is_in_contact(&self, now: Time) -> bool {
        now.since(self.contact_at) <= CONTACT_TTL
    }

    /// Returns whether a target has responded since a point in time.
    pub fn has_responded_since(&self, id: &TargetId, since: Time) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| member.responded_at > since)
    }

    /// Returns the targets that have responded since a point in time, and when.
    pub fn responses_since(&self, since: Time) -> impl Iterator<Item = (&Listing, Time)> {
        let members = self.members.values();
        members
            .filter(move |member| member.responded_at > since)
            .map(|member| (&member.listing, member.responded_at))
    }

    /// Records a loss of the target's availability zone if enough of its targets were lost
    /// recently.
    pub(super) fn record_zone_loss(&mut self, now: Time, id: &TargetId) {
        let Some(zone) = self.members.get(id).map(|member| &member.listing.zone) else {
            return;
        };
        let lost = self.members.values().filter(|member| {
            let at = member
                .suspected_at
                .filter(|at| now.since(*at) < ZONE_LOSS_WINDOW);
            member.listing.zone == *zone && at.is_some()
        });
        if lost.count() >= MIN_ZONE_LOSSES {
            self.zone_losses.insert(zone.clone(), now);
        }
    }

    /// Returns whether a target may have been lost with its availability zone: it has not responded
    /// since the loss, and the directory may still list it although it has stopped.
    pub(super) fn is_zone_suspect(&self, now: Time, member: &Member) -> bool {
        let lost = self.zone_losses.get(&member.listing.zone);
        lost.is_some_and(|&at| {
            now.since(at) < self.limits.record_ttl
                && member.responded_at < at
                && member.listed_at < at
        })
    }

    // ---- Queries ----

    /// Returns the directory's record of a target.
    pub fn listing(&self, id: &TargetId) -> Option<&Listing> {
        self.members.get(id).map(|member| &member.listing)
    }

    /// Returns the incarnation of a target that the directory lists, 0 if it lists none.
    pub fn incarnation(&self, id: &TargetId) -> Incarnation {
        let listing = self.listing(id);
        listing.map(Listing::incarnation).unwrap_or_default()
    }

    /// Returns the hash that identifies the incarnation of a target that the directory lists.
    pub fn hash(&self, id: &TargetId) -> Option<TargetHash> {
        self.listing(id).map(Listing::hash)
    }

    /// Returns whether runs at this target should move to another one.
    pub fn is_leaving(&self, id: &TargetId) -> bool {
        self.members
            .get(id)
            .is_none_or(|member| member.listing.leaving)
    }

    /// Returns whether a request may be sent to this target now.
    pub fn is_usable(&self, now: Time, id: &TargetId) -> bool {
        self.usability(now, id) == Usability::Usable
    }

    /// Returns whether a request may be sent to this target now, or why not.
    pub fn usability(&self, now: Time, id: &TargetId) -> Usability {
        match self.members.get(id) {
            None => Usability::Unlisted,
            Some(member) if member.listing.leaving => Usability::Leaving,
            Some(member) if member.replaced => Usability::Unlisted,
            Some(member) if member.backoff_until > now => Usability::Resting,
            Some(_) => Usability::Usable,
        }
    }

    /// Returns the estimated load of a target: the load of this entry, that of the other entries by
    /// their messages, and the number of all other requests by the target's last report.
    pub fn load(&self, now: Time, id: &TargetId) -> Option<(TargetShare, TargetShare, f64)> {
        let member = self.members.get(id)?;
        Some((member.share(), member.peers, member.other_requests(now)))
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the fleet has no targets.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
