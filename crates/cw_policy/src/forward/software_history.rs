//! Which software versions the targets of a service have had.
//!
//! While a service has had one version for longer than any stream lives, that version began all of its streams, and
//! no word of another entry is needed. An entry that has just started goes by what entries before it have persisted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::StoreEra;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::SoftwareHash;

use super::Fleet;
use super::RestoredSoftware;

/// The longest time without a confirmation of the targets in which no version can have come and gone unseen. The
/// record of a target that stops lasts for longer.
const MAX_GAP: Duration = Duration::from_secs(3);

/// The targets of one service that have the same software.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SoftwareSize {
    /// Those that take requests.
    pub(super) active: usize,
    /// Those that are leaving.
    pub(super) leaving: usize,
}

/// The software of the targets of one service, now and before.
#[derive(Clone, Debug, Default)]
pub(super) struct SoftwareHistory {
    sizes: BTreeMap<SoftwareHash, SoftwareSize>,
    /// The only software that the service has, and since when.
    only: Option<(SoftwareHash, Time)>,
    /// Whether the targets have had no other software since this entry first knew them.
    is_first: bool,
}

impl SoftwareHistory {
    /// Records the software of all targets of the service.
    pub(super) fn record(&mut self, now: Time, sizes: BTreeMap<SoftwareHash, SoftwareSize>) {
        let is_start = self.sizes.is_empty() && self.only.is_none();
        let before = self.only.map(|(software, _)| software);
        let mut found = sizes.keys();
        self.only = match (found.next(), found.next(), self.only) {
            // Nothing can begin a stream without a target.
            (None, ..) => self.only,
            (Some(one), None, Some((known, since))) if known == *one => Some((known, since)),
            (Some(one), None, _) => Some((*one, now)),
            (Some(_), Some(_), _) => None,
        };
        let now_only = self.only.map(|(software, _)| software);
        self.is_first = match is_start {
            true => now_only.is_some(),
            false => self.is_first && now_only == before,
        };
        self.sizes = sizes;
    }

    /// Forgets what was before, since changes may have been missed.
    fn forget(&mut self, now: Time) {
        self.only = self.only.map(|(software, _)| (software, now));
        self.is_first = false;
    }

    /// Returns the software that has begun all streams that are no older than `longest`.
    fn only(&self, now: Time, longest: Duration) -> Option<SoftwareHash> {
        let (software, since) = self.only?;
        (now.since(since) >= longest).then_some(software)
    }

    /// Returns the only software that this entry has ever known the targets to have.
    fn first(&self) -> Option<SoftwareHash> {
        let (software, _) = self.only?;
        self.is_first.then_some(software)
    }

    /// Returns the size of a software version, 0 if the service does not have it.
    pub(super) fn size(&self, software: SoftwareHash) -> SoftwareSize {
        self.sizes.get(&software).copied().unwrap_or_default()
    }

    /// Returns whether the targets have more than one software version.
    pub(super) fn is_mixed(&self) -> bool {
        self.sizes.len() > 1
    }

    /// Returns whether targets of a version are leaving while another version loses none.
    pub(super) fn is_retiring(&self, software: SoftwareHash) -> bool {
        let stays = |(other, size): (&SoftwareHash, &SoftwareSize)| {
            *other != software && size.leaving == 0 && size.active > 0
        };
        self.size(software).leaving > 0 && self.sizes.iter().any(stays)
    }
}

/// The software of the targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct SoftwareHistories {
    services: BTreeMap<ServiceName, SoftwareHistory>,
    /// As of when the targets were last known to be complete, `None` before the first time.
    confirmed_at: Option<Time>,
    /// The newest known era of the key-value service, `None` before the first one.
    era: Option<StoreEra>,
    /// What entries before this one have persisted, `None` if it has not been read.
    restored: Option<RestoredSoftware>,
    /// Whether changes of the targets may have been missed since this entry first knew them. What was persisted says
    /// nothing of these.
    has_gap: bool,
    /// The number of changes of the set of versions.
    changes: u64,
}

impl SoftwareHistories {
    /// Returns the history of a service.
    pub(super) fn get(&self, service: &ServiceName) -> Option<&SoftwareHistory> {
        self.services.get(service)
    }

    /// Records the software of all targets of a service.
    pub(super) fn record(
        &mut self,
        now: Time,
        service: &ServiceName,
        sizes: BTreeMap<SoftwareHash, SoftwareSize>,
    ) {
        let history = self.services.entry(service.clone()).or_default();
        if !history.sizes.keys().eq(sizes.keys()) {
            self.changes += 1;
        }
        history.record(now, sizes);
    }

    /// Records the era of the key-value service. Returns whether the service has come back from an older copy since this entry
    /// knew it.
    ///
    /// The records of targets that had come since the copy are gone, so that a version may have come and gone unseen.
    fn record_era(&mut self, now: Time, era: StoreEra) -> bool {
        let is_new = self.era.is_some_and(|known| known < era);
        self.era = self.era.max(Some(era));
        if is_new && !(self.confirmed_at.is_none() && self.services.is_empty()) {
            self.record_gap(now);
        }
        is_new
    }

    /// Records that all changes of the targets before a time are known.
    fn confirm(&mut self, as_of: Time) {
        let restored_at = (self.restored.as_ref()).map(|restored| restored.read_at);
        let before = self.confirmed_at.or(restored_at);
        if before.is_some_and(|before| as_of.since(before) > MAX_GAP) {
            self.record_gap(as_of);
        }
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    fn record_gap(&mut self, now: Time) {
        self.has_gap = true;
        for history in self.services.values_mut() {
            history.forget(now);
        }
    }

    fn is_confirmed(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.since(confirmed_at) <= MAX_GAP)
    }

    /// Returns the software that has begun all streams of a service that are no older than `longest`, `None` if
    /// several versions have, or if that is not certain.
    pub(super) fn only(
        &self,
        now: Time,
        service: &ServiceName,
        longest: Duration,
    ) -> Option<SoftwareHash> {
        let history = self.services.get(service)?;
        history
            .only(now, longest)
            .filter(|_| self.is_confirmed(now))
    }

    /// Returns the software that has begun all streams of a service by what entries before this one have persisted.
    fn restored(&self, now: Time, service: &ServiceName) -> Option<SoftwareHash> {
        let software = self.services.get(service)?.first()?;
        let era = self.era.unwrap_or_default();
        let is_only = (self.restored.as_ref()).is_some_and(|known| known.is_only(software, era));
        (is_only && !self.has_gap && self.is_confirmed(now)).then_some(software)
    }

    /// Returns whether the targets of any service have several versions.
    fn is_any_mixed(&self) -> bool {
        self.services.values().any(SoftwareHistory::is_mixed)
    }

    /// Returns the versions that alone have begun all streams of their services that are no older than `longest`, `None`
    /// as long as the targets are not known.
    fn all_only(&self, now: Time, longest: Duration) -> Option<BTreeSet<SoftwareHash>> {
        if self.confirmed_at.is_none() && !self.is_any_mixed() {
            return None;
        }
        let services = self.services.keys();
        let versions = services.filter_map(|service| {
            let only = self.only(now, service, longest);
            only.or_else(|| self.restored(now, service))
        });
        Some(versions.collect())
    }
}

impl Fleet {
    /// Records the software of the targets of a service after a change of one of them.
    pub(super) fn record_software(&mut self, now: Time, service: &ServiceName) {
        let members = self.members.values();
        let members = members.filter(|member| member.listing.service == *service);
        let mut sizes: BTreeMap<SoftwareHash, SoftwareSize> = BTreeMap::new();
        for member in members {
            let size = sizes.entry(member.software).or_default();
            match member.listing.leaving {
                true => size.leaving += 1,
                false => size.active += 1,
            }
        }
        self.software.record(now, service, sizes);
    }

    /// Records that all changes of the targets before a time are known, in an era of the key-value service.
    pub fn confirm_targets(&mut self, as_of: Time, era: StoreEra) {
        self.software.record_era(as_of, era);
        self.software.confirm(as_of);
    }

    /// Records the era of the key-value service. Returns whether the service has come back from an older copy since this entry
    /// knew it.
    pub fn record_store_era(&mut self, now: Time, era: StoreEra) -> bool {
        self.software.record_era(now, era)
    }

    /// Returns the newest known era of the key-value service.
    pub fn store_era(&self) -> StoreEra {
        self.software.era.unwrap_or_default()
    }

    /// Returns the software that has begun all streams of a service that are no older than `longest`, `None` if
    /// several versions have, or if that is not certain.
    pub fn only_software(
        &self,
        now: Time,
        service: &ServiceName,
        longest: Duration,
    ) -> Option<SoftwareHash> {
        self.software.only(now, service, longest)
    }

    /// Adds a reading of what entries before this one have persisted. It may be read more than once, and late.
    pub fn restore_software(&mut self, read: RestoredSoftware) {
        let restored = &mut self.software.restored;
        *restored = Some(match restored.take() {
            Some(known) => known.and(read),
            None => read,
        });
    }

    /// Returns the software that has begun all streams of a service by what entries before this one have persisted.
    /// Entries that have run for longer may know better.
    pub fn restored_software(&self, now: Time, service: &ServiceName) -> Option<SoftwareHash> {
        self.software.restored(now, service)
    }

    /// Returns whether this entry has known the targets of a service to have several versions, or has lost sight of
    /// them, so that what was persisted earlier does not hold.
    pub fn had_several(&self, service: &ServiceName) -> bool {
        let history = self.software.get(service);
        history.is_some_and(|history| history.first().is_none())
    }

    /// Returns the versions that alone have begun all streams of their services that are no older than `longest`, `None`
    /// as long as the targets are not known, so that what was persisted earlier says more.
    pub fn only_versions(&self, now: Time, longest: Duration) -> Option<BTreeSet<SoftwareHash>> {
        self.software.all_only(now, longest)
    }

    /// Returns whether the targets of any service have several versions.
    pub fn is_any_mixed(&self) -> bool {
        self.software.is_any_mixed()
    }

    /// Returns a number that rises whenever a version comes or goes.
    pub fn software_changes(&self) -> u64 {
        self.software.changes
    }

    /// Returns the software of a target that the directory lists.
    pub fn software(&self, id: &TargetId) -> Option<SoftwareHash> {
        self.members.get(id).map(|member| member.software)
    }

    /// Returns how many targets of a service take requests: those with this software, and all others.
    pub fn software_sizes(&self, service: &ServiceName, software: SoftwareHash) -> (usize, usize) {
        let Some(history) = self.software.get(service) else {
            return (0, 0);
        };
        let sizes = history.sizes.iter();
        let others = sizes.filter(|(other, _)| **other != software);
        let others = others.map(|(_, size)| size.active).sum();
        (history.size(software).active, others)
    }

    /// Returns the runs of this entry at the targets of a service: at those with this software, and at all others.
    pub fn software_runs(&self, service: &ServiceName, software: SoftwareHash) -> (u32, u32) {
        let members = self.members.values();
        let members = members.filter(|member| member.listing.service == *service);
        members.fold((0, 0), |(same, others), member| {
            match member.software == software {
                true => (same + member.runs, others),
                false => (same, others + member.runs),
            }
        })
    }

    /// Returns the service whose targets have this software and take requests, `None` if there are none.
    pub fn service_with(&self, software: SoftwareHash) -> Option<&ServiceName> {
        let mut members = self.members.values();
        let member =
            members.find(|member| member.software == software && !member.listing.leaving)?;
        Some(&member.listing.service)
    }
}
