//! The two-step forwarding of batches between entries.

use cw_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

use crate::EntryPeer;

/// The largest number of entries that form a full mesh.
const MAX_FULL_MESH: usize = 16;

/// The peers to which an entry sends batches, with entries in groups of about the square root of
/// their number.
///
/// Each entry sends the reports that it receives from agents to its own group, and forwards the
/// batches of its group to a share of the other entries. An update reaches every entry in two
/// steps, and the number of messages per entry grows as the square root of the number of entries.
/// Groups and shares are chosen by hashing, so that adding or removing an entry reassigns only its
/// own share, and entries whose lists of peers differ slightly still form compatible groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayGroups {
    /// The other entries of this entry's group.
    pub group_peers: Vec<EntryPeer>,
    /// The entries of other groups to which this entry forwards the batches of its group.
    pub forward_peers: Vec<EntryPeer>,
    entry_count: usize,
}

impl RelayGroups {
    /// Groups `entries` as seen by the entry on `host`.
    pub fn new(host: &HostId, entries: &[EntryPeer]) -> Self {
        let groups = group_count(entries.len());
        let own = group_index(host, groups);
        let (group_peers, rest): (Vec<_>, Vec<_>) = entries
            .iter()
            .filter(|entry| entry.host != *host)
            .cloned()
            .partition(|entry| group_index(&entry.host, groups) == own);
        let chosen = |entry: &EntryPeer| {
            let rank = |via: &HostId| hash_weight(via.as_str(), entry.host.as_str());
            let best = group_peers.iter().map(|peer| rank(&peer.host)).max();
            best.is_none_or(|best| rank(host) > best)
        };
        let forward_peers = rest.into_iter().filter(chosen).collect();
        Self {
            group_peers,
            forward_peers,
            entry_count: entries.len(),
        }
    }

    /// Returns the number of entries in all groups.
    pub fn size(&self) -> usize {
        self.entry_count
    }
}

/// Returns the number of groups, a power of two so that it changes rarely.
fn group_count(entries: usize) -> usize {
    if entries <= MAX_FULL_MESH {
        return 1;
    }
    1 << (entries.isqrt().ilog2())
}

fn group_index(host: &HostId, groups: usize) -> usize {
    (xxh3_64(host.as_str().as_bytes()) % groups as u64) as usize
}

fn hash_weight(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}/{b}").as_bytes())
}
