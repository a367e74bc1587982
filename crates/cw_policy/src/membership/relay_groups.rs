//! Which entry passes a batch on to which others.

use cw_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// The most entries that all send to each other directly.
const DIRECT_MAX: usize = 16;

/// The entries in groups of about the square root of their number.
///
/// Each sends what it hears to its own group, and what its group says to a share of all others.
/// So news reaches all in two steps, and the messages of one entry grow as the square root of
/// the number of entries. Groups and shares are chosen by hashing, so that one entry more or
/// less moves only its own part, and views that differ a little still fit together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayGroups {
    /// The other entries of the own group.
    pub group_peers: Vec<EntryPeer>,
    /// The entries of other groups to which this one passes on what its group says.
    pub forward_peers: Vec<EntryPeer>,
    size: usize,
}

impl RelayGroups {
    /// Arranges `entries` from the side of the one on `host`.
    pub fn new(host: &HostId, entries: &[EntryPeer]) -> Self {
        let groups = group_count(entries.len());
        let own = group(host, groups);
        let (group_peers, rest): (Vec<_>, Vec<_>) = entries
            .iter()
            .filter(|entry| entry.host != *host)
            .cloned()
            .partition(|entry| group(&entry.host, groups) == own);
        let chosen = |entry: &EntryPeer| {
            let rank = |via: &HostId| weight(via.as_str(), entry.host.as_str());
            let best = group_peers.iter().map(|peer| rank(&peer.host)).max();
            best.is_none_or(|best| rank(host) > best)
        };
        let forward_peers = rest.into_iter().filter(chosen).collect();
        Self {
            group_peers,
            forward_peers,
            size: entries.len(),
        }
    }

    /// Returns the number of all entries.
    pub fn size(&self) -> usize {
        self.size
    }
}

/// Returns the number of groups: a power of two, so that it seldom changes.
fn group_count(entries: usize) -> usize {
    if entries <= DIRECT_MAX {
        return 1;
    }
    1 << (entries.isqrt().ilog2())
}

fn group(host: &HostId, groups: usize) -> usize {
    (xxh3_64(host.as_str().as_bytes()) % groups as u64) as usize
}

fn weight(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}/{b}").as_bytes())
}
