//! Ranks the entries by rendezvous hashing, so that all of them agree without a message which entries
//! are near a target.

use std::collections::BTreeSet;

use cw_types::HostId;
use cw_types::TargetId;
use cw_wire::StreamHash;
use cw_wire::Suspect;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of entries near a target. They hear of each other's prompts there at once, so the cost
/// of a prompt is the same in a deployment of any size.
const MIN_NEAR_ENTRIES: usize = 16;

/// The number of targets of a service that an entry is near to, if there are that many. It leaves a
/// choice after the loss of an availability zone.
const MIN_NEAR_TARGETS: usize = 24;

/// The number of entries that are asked for a trial, one after the other. The second is asked if the first does
/// not answer.
const MAX_KEEPERS: usize = 2;

/// The number of entries that are told at once which software began a stream. Even if half of all entries are
/// killed at that moment, one of them is left most of the time; all others hear of it a second later.
const MAX_STREAM_KEEPERS: usize = 5;

/// How near this entry is to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Nearness {
    /// No other entry is nearer.
    Nearest,
    /// It is one of the entries that hear of each other's prompts at the target at once.
    Near,
    /// It hears of them with the regular messages.
    #[default]
    Far,
}

/// The entries with their hashes.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryRanking {
    own: u64,
    others: Vec<(u64, HostId)>,
}

impl EntryRanking {
    /// Creates a ranking of all entries, one of which is this one.
    pub(super) fn new(own: &HostId, entries: &BTreeSet<HostId>) -> Self {
        let others = entries.iter().filter(|host| *host != own);
        Self {
            own: host_hash(own),
            others: others.map(|host| (host_hash(host), host.clone())).collect(),
        }
    }

    /// Returns the number of entries near a target of a service with this number of targets.
    pub(super) fn near_entries(&self, targets: usize) -> usize {
        let entries = self.others.len() + 1;
        let enough = (entries * MIN_NEAR_TARGETS).div_ceil(targets.max(1));
        enough.max(MIN_NEAR_ENTRIES)
    }

    /// Returns the number of entries that are nearer to a target than this one.
    pub(super) fn rank(&self, target: &TargetId) -> usize {
        let seed = target_seed(target);
        let own = weight(self.own, seed);
        let others = self.others.iter();
        others.filter(|(host, _)| weight(*host, seed) > own).count()
    }

    /// Returns how near an entry of this rank is to a target of a service with this number of targets.
    pub(super) fn nearness(&self, rank: usize, targets: usize) -> Nearness {
        match rank {
            0 => Nearness::Nearest,
            _ if rank < self.near_entries(targets) => Nearness::Near,
            _ => Nearness::Far,
        }
    }

    /// Returns the first entries for a suspect among this one, which is `None`, and those that are heard.
    pub(super) fn first_heard(
        &self,
        suspect: Suspect,
        is_heard: impl Fn(&HostId) -> bool,
    ) -> Vec<Option<&HostId>> {
        self.first(suspect.hash(), MAX_KEEPERS, is_heard)
    }

    /// Returns the first entries that are told of a stream at once, among this one and those that are heard.
    pub(super) fn first_for_stream(
        &self,
        stream: StreamHash,
        is_heard: impl Fn(&HostId) -> bool,
    ) -> Vec<Option<&HostId>> {
        self.first(stream.number(), MAX_STREAM_KEEPERS, is_heard)
    }

    fn first(
        &self,
        hash: u64,
        count: usize,
        is_heard: impl Fn(&HostId) -> bool,
    ) -> Vec<Option<&HostId>> {
        let others = self.others.iter().filter(|(_, id)| is_heard(id));
        let others = others.map(|(host, id)| (weight(*host, hash), Some(id)));
        let mut ranked: Vec<_> = others.chain([(weight(self.own, hash), None)]).collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let first = ranked.into_iter().take(count);
        first.map(|(_, id)| id).collect()
    }

    /// Returns the other entries near a target of a service with this number of targets.
    pub(super) fn nearest_others(&self, target: &TargetId, targets: usize) -> Vec<&HostId> {
        let seed = target_seed(target);
        let others = self.others.iter();
        let mut ranked: Vec<(u64, &HostId)> =
            others.map(|(host, id)| (weight(*host, seed), id)).collect();
        let count = self.near_entries(targets).min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |one, other| other.0.cmp(&one.0));
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}

fn host_hash(host: &HostId) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}

fn target_seed(target: &TargetId) -> u64 {
    xxh3_64(target.as_str().as_bytes())
}

fn weight(host: u64, target: u64) -> u64 {
    xxh3_64_with_seed(&host.to_le_bytes(), target)
}
