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
    pub started: Option<u64>,
}

impl Listing {
    /// Returns whether `other` is the same life of the same target.
    pub fn is_same_instance(&self, other: &Listing) -> bool {
        self.started == other.started
            && self.address == other.address
            && self.service == other.service
    }
}
