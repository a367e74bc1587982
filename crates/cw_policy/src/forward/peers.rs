//! The load and the losses at the targets that the other entries report.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Rate;
use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::DirectoryUpdate;
use cw_wire::OutstandingWork;
use cw_wire::StreamHash;
use cw_wire::Suspect;
use cw_wire::TargetHash;
use cw_wire::TargetShare;

use super::Fleet;
use super::Topic;
use super::entry_ranking::EntryRanking;
use crate::CurrentIncarnation;
use crate::IncarnationOrder;

/// How long a target stays suspected after its last reported loss. Engines that crashed are usually
/// back within two seconds.
const SUSPICION_TTL: Duration = Duration::from_secs(2);

/// The number of entries that watch the directory. When one crashes, the other still sends the
/// changes to the rest.
const WATCHERS: usize = 2;

/// How long an entry that watches the directory may be silent before another one takes over.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1000);

/// The delay after which each further entry takes over the watch from one that is lost. A message of the one that
/// has taken over arrives meanwhile.
const TAKEOVER_STEP: Duration = Duration::from_millis(50);

/// The maximum number of these delays.
const MAX_TAKEOVER_RANK: u32 = 20;

/// How long the word of the directory lasts for an entry that watches it. It is longer than what entries go by
/// themselves, as the role only saves calls and each change of it costs some.
const WATCH_TTL: Duration = Duration::from_millis(2000);

/// How long the messages of other entries are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// How long the last message of an entry is valid if there are few entries.
    pub ttl: Duration,
    /// The additional time for each entry. The more entries there are, the less often each one
    /// sends.
    pub ttl_per_entry: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            // The time allows for some lost messages. After it the entry is taken to have stopped,
            // and its requests with it.
            ttl: Duration::from_millis(1500),
            ttl_per_entry: Duration::from_millis(30),
        }
    }
}

/// What another entry has told of its own knowledge of one part of the directory.
#[derive(Clone, Copy, Debug)]
struct Watch {
    /// As of when the entry knew all changes, `None` if the directory has not answered it recently.
    confirmed_at: Option<Time>,
    /// Until when it counts as watching.
    until: Time,
}

/// The last message of one other entry.
#[derive(Clone, Debug)]
struct Peer {
    received_at: Time,
    incarnation: CurrentIncarnation,
    sequence: u64,
    /// The load at each target, in the order of the hashes.
    shares: Vec<(TargetHash, TargetShare)>,
    /// The demand of the entry for each service, `None` if it does not tell it.
    demands: Option<BTreeMap<ServiceName, Rate>>,
    /// The difference between this entry's clock and that of the other one, in microseconds, as its least delayed
    /// message shows it.
    clock_offset: Option<i64>,
    /// What the entry has told of the directory.
    watches: BTreeMap<Topic, Watch>,
    /// Whether its last message tells of the directory at all.
    tells_directory: bool,
    /// The version of the configuration in force at the entry, 0 for none.
    config: u64,
}

/// The last messages of the other entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    limits: PeerLimits,
    peers: BTreeMap<HostId, Peer>,
    /// The sum of the shares at each target.
    totals: BTreeMap<TargetHash, TargetShare>,
}

impl Peers {
    /// Returns the demand of an entry for a service, `None` if the entry does not tell it.
    pub(super) fn demand(&self, host: &HostId, service: &ServiceName) -> Option<f64> {
        let peer = self.peers.get(host)?;
        let demand = peer.demands.as_ref()?.get(service);
        Some(demand.map_or(0.0, |demand| demand.0))
    }

    /// Returns the total load of the other entries at a target.
    pub(super) fn total_at(&self, hash: TargetHash) -> TargetShare {
        self.totals.get(&hash).copied().unwrap_or_default()
    }

    /// Replaces the shares of an entry, and returns the targets at which they differ from those
    /// before. Only these are added up again.
    fn set_shares(
        &mut self,
        host: &HostId,
        new: Vec<(TargetHash, TargetShare)>,
    ) -> Vec<TargetHash> {
        let Some(peer) = self.peers.get_mut(host) else {
            return Vec::new();
        };
        let old = std::mem::replace(&mut peer.shares, new);
        let new = &peer.shares;
        let mut changed = Vec::new();
        let (mut from, mut to) = (old.iter().peekable(), new.iter().peekable());
        loop {
            let hash = match (from.peek(), to.peek()) {
                (Some((before, _)), Some((after, _))) => *before.min(after),
                (Some((hash, _)), None) | (None, Some((hash, _))) => *hash,
                (None, None) => return changed,
            };
            let before = from.next_if(|(other, _)| *other == hash);
            let after = to.next_if(|(other, _)| *other == hash);
            let share = |found: Option<&(TargetHash, TargetShare)>| {
                found.map(|(_, share)| *share).unwrap_or_default()
            };
            let (before, after) = (share(before), share(after));
            if before == after {
                continue;
            }
            changed.push(hash);
            let total = self.totals.entry(hash).or_default();
            *total = exchange_share(*total, before, after);
            if *total == TargetShare::default() {
                self.totals.remove(&hash);
            }
        }
    }
}

/// Returns a sum of shares in which one of them is replaced by another.
fn exchange_share(total: TargetShare, before: TargetShare, after: TargetShare) -> TargetShare {
    TargetShare {
        runs: total
            .runs
            .saturating_sub(before.runs)
            .saturating_add(after.runs),
        unread: (total.unread.saturating_sub(before.unread)).saturating_add(after.unread),
        copies: (total.copies.saturating_sub(before.copies)).saturating_add(after.copies),
        tokens: (total.tokens.saturating_sub(before.tokens)).saturating_add(after.tokens),
    }
}

/// Returns the difference between the own clock and that of a sender by its least delayed message, in
/// microseconds.
fn clock_offset(now: Time, message: &OutstandingWork, before: Option<&Peer>) -> Option<i64> {
    let offset = message_offset(now, message)?;
    let least = before.and_then(|peer| peer.clock_offset);
    Some(least.map_or(offset, |least| least.min(offset)))
}

/// Returns how long a message was under way, compared with the least delayed one.
fn message_delay(now: Time, message: &OutstandingWork, clock_offset: Option<i64>) -> Duration {
    let delay = message_offset(now, message).zip(clock_offset);
    let micros = delay.map_or(0, |(offset, least)| offset.saturating_sub(least));
    Duration::from_micros(u64::try_from(micros).unwrap_or_default())
}

fn message_offset(now: Time, message: &OutstandingWork) -> Option<i64> {
    let sent = i64::try_from(message.clock?.as_micros()).ok()?;
    i64::try_from(now.0).ok()?.checked_sub(sent)
}

/// Returns what an update of another entry, which was under way for `delay`, says of its own knowledge.
fn told_watches(now: Time, delay: Duration, update: &DirectoryUpdate) -> BTreeMap<Topic, Watch> {
    let ages = [
        (Topic::Config, update.config_age),
        (Topic::Targets, update.targets_age),
    ];
    // Entries of an earlier version tell only whether the directory answers them.
    let is_earlier = update.up && update.known == 0 && ages.iter().all(|(_, age)| age.is_none());
    let watch = |age: Option<Duration>| {
        let confirmed_at = age.map(|age| now.before(delay + age));
        let until = confirmed_at.map(|at| at + WATCH_TTL);
        Watch {
            confirmed_at,
            until: match is_earlier {
                true => now + WATCHER_TIMEOUT,
                false => until.unwrap_or(now).min(now + WATCHER_TIMEOUT),
            },
        }
    };
    ages.into_iter()
        .map(|(topic, age)| (topic, watch(age)))
        .collect()
}

/// Returns the watches of an entry that has just told nothing of the directory.
fn ended_watches(now: Time, peer: &Peer) -> BTreeMap<Topic, Watch> {
    let ended = |watch: &Watch| Watch {
        confirmed_at: None,
        until: watch.until.min(now),
    };
    let watches = peer.watches.iter();
    watches
        .map(|(topic, watch)| (*topic, ended(watch)))
        .collect()
}

impl Fleet {
    /// Processes a message of another entry. Returns false for a duplicate or outdated message.
    pub fn receive_peer(&mut self, now: Time, message: &OutstandingWork) -> bool {
        let known = self.peers.peers.get(&message.host);
        // Once the last message of an entry has expired, any incarnation counts: the clock of its host
        // may have been set back before it started again.
        let is_stale = |peer: &Peer| match peer.incarnation.order(message.incarnation) {
            IncarnationOrder::Same => peer.sequence >= message.sequence,
            IncarnationOrder::Earlier => true,
            IncarnationOrder::Later => false,
        };
        if known.is_some_and(is_stale) {
            return false;
        }
        let before = known.filter(|peer| peer.incarnation.get() == message.incarnation);
        let clock_offset = clock_offset(now, message, before);
        let delay = message_delay(now, message, clock_offset);
        let watches = match &message.directory {
            Some(update) => told_watches(now, delay, update),
            None => before
                .map(|peer| ended_watches(now, peer))
                .unwrap_or_default(),
        };
        let peer = Peer {
            received_at: now,
            incarnation: CurrentIncarnation::new(message.incarnation),
            sequence: message.sequence,
            shares: known.map(|peer| peer.shares.clone()).unwrap_or_default(),
            demands: (message.demands.as_ref()).map(|demands| demands.iter().cloned().collect()),
            clock_offset,
            watches,
            tells_directory: message.directory.is_some(),
            config: (message.directory.iter())
                .map(|update| update.config)
                .fold(message.config, u64::max),
        };
        self.peers.peers.insert(message.host.clone(), peer);
        self.record_contact(now);
        let mut shares = message.shares.clone();
        shares.sort_unstable_by_key(|(hash, _)| *hash);
        shares.dedup_by_key(|(hash, _)| *hash);
        self.update_peer_shares(now, &message.host, shares);
        self.receive_limits(now, &message.limits);
        let lost = message.lost.iter();
        let lost: Vec<TargetId> = lost
            .filter_map(|hash| self.by_hash.get(hash).cloned())
            .collect();
        for id in lost {
            if let Some(member) = self.members.get_mut(&id) {
                member.record_suspicion(now);
            }
            self.record_zone_loss(now, &id);
        }
        true
    }

    /// Returns whether the last message of an entry is valid and of this incarnation.
    pub fn knows_peer(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let known = self.peers.peers.get(host);
        known.is_some_and(|peer| peer.incarnation.get() == incarnation)
    }

    /// Drops the entries whose last message is no longer valid, and returns their hosts.
    pub fn expire_peers(&mut self, now: Time) -> Vec<HostId> {
        let count = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let limits = self.peers.limits;
        let ttl = limits.ttl + limits.ttl_per_entry.saturating_mul(count);
        let gone: Vec<HostId> = self
            .peers
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.received_at) > ttl)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            self.update_peer_shares(now, host, Vec::new());
            self.peers.peers.remove(host);
        }
        gone
    }

    /// Returns as of when another entry knew all changes of a part of the directory, by its last message.
    pub fn confirmation(&self, host: &HostId, topic: Topic) -> Option<Time> {
        self.peers
            .peers
            .get(host)?
            .watches
            .get(&topic)?
            .confirmed_at
    }

    /// Returns whether this entry has to watch a part of the directory for all. It does unless enough
    /// entries with a smaller host id watch it and get answers.
    ///
    /// After the loss of a watching entry the others take over one after the other, in the order of their host
    /// ids, so that not all of them call the directory.
    pub fn is_watcher(&self, now: Time, topic: Topic) -> bool {
        let mut ends = self.watch_ends(topic);
        let active = ends.iter().filter(|end| **end > now).count();
        if active >= WATCHERS {
            return false;
        }
        ends.sort_unstable_by_key(|end| std::cmp::Reverse(*end));
        let Some(last) = ends.get(WATCHERS - 1) else {
            return true;
        };
        let before = self
            .peers_before()
            .filter(|peer| !peer.tells_directory && now.since(peer.received_at) < WATCHER_TIMEOUT);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        now >= *last + TAKEOVER_STEP.saturating_mul(rank.min(MAX_TAKEOVER_RANK))
    }

    /// Returns whether this entry has to watch any part of the directory for all.
    pub fn is_any_watcher(&self, now: Time) -> bool {
        self.is_watcher(now, Topic::Config) || self.is_watcher(now, Topic::Targets)
    }

    /// Returns whether this entry has to read the directory right after its start, for those that start
    /// with it: no more than a few of the listed entries have a smaller host id, or none is listed.
    pub fn is_first_watcher(&self) -> bool {
        match &self.own_host {
            Some(own) => self.entries.range(..own).count() < WATCHERS,
            None => false,
        }
    }

    /// Returns whether this entry writes the shared state of all entries to the store, and sends the changes
    /// of the directory to them.
    pub fn is_writer(&self, now: Time) -> bool {
        let ends = self.watch_ends(Topic::Targets);
        self.is_watcher(now, Topic::Targets) && ends.iter().all(|end| *end <= now)
    }

    /// Returns until when each entry with a smaller host id that has watched a part of the directory counts as
    /// watching it.
    fn watch_ends(&self, topic: Topic) -> Vec<Time> {
        self.peers_before()
            .filter_map(|peer| Some(peer.watches.get(&topic)?.until))
            .collect()
    }

    /// Returns the entries with a smaller host id than this one, none before its own is known.
    fn peers_before(&self) -> impl Iterator<Item = &Peer> {
        let own = self.own_host.as_ref();
        let peers = self.peers.peers.iter();
        peers
            .filter(move |(host, _)| own.is_some_and(|own| *host < own))
            .map(|(_, peer)| peer)
    }

    /// Returns the entries that may count the trials of a suspect, the first one of which does while it is
    /// heard; `None` stands for this entry. All entries that hear each other choose the same one.
    pub fn trial_keepers(&self, suspect: Suspect) -> Vec<Option<&HostId>> {
        let heard = |host: &HostId| self.peers.peers.contains_key(host);
        self.ranking.first_heard(suspect, heard)
    }

    /// Returns the other entries that are told at once which software began a stream, and that are asked for it.
    pub fn stream_keepers(&self, stream: StreamHash) -> Vec<&HostId> {
        let heard = |host: &HostId| self.peers.peers.contains_key(host);
        let keepers = self.ranking.first_for_stream(stream, heard);
        keepers.into_iter().flatten().collect()
    }

    /// Returns the newest version of the configuration that another entry has in force, 0 for none.
    pub fn newest_config(&self) -> u64 {
        let versions = self.peers.peers.values().map(|peer| peer.config);
        versions.max().unwrap_or_default()
    }

    /// Returns the other entries that have a version of the configuration, or a newer one, in force.
    pub fn entries_with_config(&self, version: u64) -> impl Iterator<Item = &HostId> {
        let peers = self.peers.peers.iter();
        peers
            .filter(move |(_, peer)| peer.config >= version)
            .map(|(host, _)| host)
    }

    /// Returns the number of other entries with a valid message.
    pub fn peer_count(&self) -> usize {
        self.peers.peers.len()
    }

    /// Returns the load of this entry at the targets, without those where it has none.
    pub fn shares(&self) -> Vec<(TargetHash, TargetShare)> {
        self.members
            .values()
            .map(|member| (member.hash, member.share()))
            .filter(|(_, share)| *share != TargetShare::default())
            .collect()
    }

    /// Returns the targets that this entry found lost after `since`.
    pub fn lost_since(&self, since: Time) -> Vec<TargetHash> {
        self.members
            .iter()
            .filter(|(_, member)| member.lost_at.is_some_and(|at| at > since))
            .map(|(_, member)| member.hash)
            .collect()
    }

    /// Returns whether a target may have stopped silently: it was itself found lost, or it may have
    /// been lost with its availability zone.
    pub fn is_suspect(&self, now: Time, id: &TargetId) -> bool {
        let Some(member) = self.members.get(id) else {
            return true;
        };
        let suspected_at = member.suspected_at;
        suspected_at.is_some_and(|at| now.since(at) < SUSPICION_TTL)
            || self.is_zone_suspect(now, member)
    }

    /// Sets the list of entries.
    ///
    /// Each target has a nearest entry and some that are near it, selected by rendezvous hashing, so that
    /// entries that place requests at the same moment choose different targets.
    pub fn set_entries(&mut self, own: &HostId, others: impl Iterator<Item = HostId>) {
        let entries: BTreeSet<HostId> = others.chain([own.clone()]).collect();
        if entries == self.entries && self.own_host.as_ref() == Some(own) {
            return;
        }
        self.ranking = EntryRanking::new(own, &entries);
        self.entries = entries;
        self.own_host = Some(own.clone());
        for (id, member) in &mut self.members {
            let size = self.service_sizes.get(&member.listing.service);
            member.rank = self.ranking.rank(id);
            let size = size.copied().unwrap_or_default();
            member.nearness = self.ranking.nearness(member.rank, size);
        }
    }

    /// Returns the other entries that are near a target. They choose it as readily as this one, so they
    /// hear of its prompts there at once.
    pub fn entries_near(&self, target: &TargetId) -> Vec<&HostId> {
        let member = self.members.get(target);
        let size = member.and_then(|member| self.service_sizes.get(&member.listing.service));
        let size = size.copied().unwrap_or_default();
        self.ranking.nearest_others(target, size)
    }

    fn update_peer_shares(
        &mut self,
        now: Time,
        host: &HostId,
        shares: Vec<(TargetHash, TargetShare)>,
    ) {
        for hash in self.peers.set_shares(host, shares) {
            let member = self.by_hash.get(&hash);
            if let Some(member) = member.and_then(|id| self.members.get_mut(id)) {
                let peers = self.peers.total_at(hash);
                member.update_unread(now, |member| member.peers = peers);
            }
        }
    }
}
