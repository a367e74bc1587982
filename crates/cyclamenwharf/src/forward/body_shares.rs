//! The parts of an entry's memory that bodies may take.

use cw_types::ByteSize;

/// The number of parts that the memory is divided into.
const PARTS: usize = 48;

/// The parts for the bodies of requests. They are kept until the request is answered, since it may be sent again.
const CALLER_PARTS: usize = 18;

/// The parts for the answers of targets, the longest of which has 8 MB.
const TARGET_PARTS: usize = 10;

/// The parts for what other entries send, such as the configuration with some megabytes.
const PEER_PARTS: usize = 4;

/// How much memory the bodies from each side may take, in bytes.
///
/// Together they take two thirds. The rest is for the program, its streams, and the answers of the key-value service,
/// whose client has a limit of its own. Each side has its own part, so that targets in trouble do not make the entry
/// refuse requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyShares {
    /// The bodies of requests.
    pub(super) callers: usize,
    /// The answers of targets.
    pub(super) targets: usize,
    /// What other entries send.
    pub(super) peers: usize,
}

impl BodyShares {
    /// Divides the memory of the process.
    pub(super) fn of(memory: ByteSize) -> Self {
        let part = memory.as_usize() / PARTS;
        Self {
            callers: CALLER_PARTS * part,
            targets: TARGET_PARTS * part,
            peers: PEER_PARTS * part,
        }
    }
}
