//! What the directory says of one target.

use std::net::SocketAddr;

use cw_types::ServiceName;
use cw_types::TargetId;
use cw_types::ZoneId;

/// What the directory says of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its id.
    pub id: TargetId,
    /// The service that it answers for.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The Unix time of its start, in milliseconds: another one under the same id is another life.
    pub born: Option<u64>,
}

impl Listing {
    /// Returns whether `other` is the same life of the same target.
    pub fn same_life(&self, other: &Listing) -> bool {
        self.born == other.born && self.address == other.address && self.service == other.service
    }
}
