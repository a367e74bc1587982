//! What the other entries say they have at the targets.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_wire::OutstandingWork;
use cw_wire::TargetHash;
use cw_wire::TargetShare;
use xxhash_rust::xxh3::xxh3_64;

use super::Fleet;

/// How long a doubt about a target holds without a new one: engines that crashed are back within two
/// seconds as a rule.
const DOUBT_LIFE: Duration = Duration::from_secs(2);

/// How many entries watch the directory: when one dies, another still tells the rest.
const WATCHERS: usize = 2;

/// How long an entry that watches the directory may be silent before others do so too. Changes must
/// be in force within two seconds, even if those that watched have stopped without a sign.
const WATCHER_SILENCE: Duration = Duration::from_millis(1000);

/// Bounds on what is believed of other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// How long the last message of an entry is believed, where there are few.
    pub life: Duration,
    /// How much longer for each entry: the more there are, the less often each tells.
    pub step: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            // Some messages may be lost; after as many the entry has gone, and its requests too.
            life: Duration::from_millis(1500),
            step: Duration::from_millis(30),
        }
    }
}

/// One other entry.
#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    incarnation: Incarnation,
    sequence: u64,
    shares: BTreeMap<TargetHash, TargetShare>,
    /// Whether it watches the directory, and the directory answers it.
    watches: bool,
}

/// The other entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    limits: PeerLimits,
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Returns what all of them have at a target.
    pub(super) fn at(&self, hash: TargetHash) -> TargetShare {
        let mut sum = TargetShare::default();
        for share in self
            .peers
            .values()
            .filter_map(|peer| peer.shares.get(&hash))
        {
            sum.runs += share.runs;
            sum.unread += share.unread;
            sum.copies += share.copies;
            sum.tokens += share.tokens;
        }
        sum
    }
}

impl Fleet {
    /// Another entry says what it has at the targets. Returns whether the message is news.
    pub fn heard_peer(&mut self, now: Time, message: &OutstandingWork) -> bool {
        let known = self.peers.peers.get(&message.host);
        let is_old = known.is_some_and(|peer| {
            peer.incarnation == message.incarnation && peer.sequence >= message.sequence
        });
        if is_old {
            return false;
        }
        let peer = Peer {
            heard: now,
            incarnation: message.incarnation,
            sequence: message.sequence,
            shares: message.shares.iter().copied().collect(),
            watches: message.directory.as_ref().is_some_and(|news| news.up),
        };
        self.peers.peers.insert(message.host.clone(), peer);
        self.sum_up(now);
        let lost: Vec<TargetId> = self
            .members
            .iter()
            .filter(|(_, member)| message.lost.contains(&member.hash))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            if let Some(member) = self.members.get_mut(&id) {
                member.doubt(now);
            }
            self.note_loss(now, &id);
        }
        true
    }

    /// Forgets what entries said that have not been heard for long. Returns which.
    pub fn forget_peers(&mut self, now: Time) -> Vec<HostId> {
        let count = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let limits = self.peers.limits;
        let life = limits.life + limits.step.saturating_mul(count);
        let gone: Vec<HostId> = self
            .peers
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) > life)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            self.peers.peers.remove(host);
        }
        if !gone.is_empty() {
            self.sum_up(now);
        }
        gone
    }

    /// Returns whether this entry is one of those that watch the directory for all: it is, unless
    /// enough others do whose names come first and whom the directory answers.
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watchers_before(now) < WATCHERS
    }

    /// Returns whether this entry writes down what all of them know.
    pub fn is_scribe(&self, now: Time) -> bool {
        self.watchers_before(now) == 0
    }

    fn watchers_before(&self, now: Time) -> usize {
        let Some(own) = &self.own else {
            return 0;
        };
        self.peers
            .peers
            .iter()
            .filter(|(host, peer)| *host < own && peer.watches)
            .filter(|(_, peer)| now.since(peer.heard) < WATCHER_SILENCE)
            .count()
    }

    /// Returns how many other entries are heard.
    pub fn peers(&self) -> usize {
        self.peers.peers.len()
    }

    /// Returns what this entry has at the targets.
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
            .filter(|(_, member)| member.found.is_some_and(|at| at > since))
            .map(|(_, member)| member.hash)
            .collect()
    }

    /// Returns whether a target may have stopped without a sign: it was found lost itself, or
    /// several others of its availability zone were and nothing has come from it since.
    pub fn is_doubted(&self, now: Time, id: &TargetId) -> bool {
        let Some(member) = self.members.get(id) else {
            return true;
        };
        let doubted = member.doubted;
        doubted.is_some_and(|at| now.since(at) < DOUBT_LIFE) || self.is_unproven(now, member)
    }

    /// Says which entries there are. Each target is preferred by one of them, which rendezvous
    /// hashing picks, so that entries that choose at the same moment choose differently.
    pub fn set_entries(&mut self, own: &HostId, others: impl Iterator<Item = HostId>) {
        self.entries = others.chain([own.clone()]).collect();
        self.own = Some(own.clone());
        let ids: Vec<TargetId> = self.members.keys().cloned().collect();
        for id in ids {
            let is_own = self.is_own(&id);
            if let Some(member) = self.members.get_mut(&id) {
                member.own = is_own;
            }
        }
    }

    pub(super) fn is_own(&self, id: &TargetId) -> bool {
        let weight = |host: &HostId| {
            let text = format!("{}/{}", host.as_str(), id.as_str());
            xxh3_64(text.as_bytes())
        };
        let preferring = self.entries.iter().max_by_key(|host| weight(host));
        preferring.is_some() && preferring == self.own.as_ref()
    }

    fn sum_up(&mut self, now: Time) {
        for member in self.members.values_mut() {
            let peers = self.peers.at(member.hash);
            member.change(now, |member| member.peers = peers);
        }
    }
}
