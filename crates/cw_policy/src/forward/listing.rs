//! The directory's record of one target.

use std::net::SocketAddr;

use cw_types::Incarnation;
use cw_types::ServiceName;
use cw_types::SoftwareVersion;
use cw_types::TargetId;
use cw_types::ZoneId;
use cw_wire::SoftwareHash;
use cw_wire::TargetHash;

/// The directory's record of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The id of the target.
    pub id: TargetId,
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The version of the target's software.
    pub version: SoftwareVersion,
    /// Whether the target is draining and accepts no new requests.
    pub leaving: bool,
    /// The Unix time at which the target started, in milliseconds. A different time under the same
    /// id means that the target has restarted.
    pub started: Option<u64>,
}

impl Listing {
    /// Returns the incarnation of the target, which is the time of its start, or 0 if that is not
    /// known.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.started.unwrap_or_default())
    }

    /// Returns the hash that identifies this incarnation in messages between entries.
    pub fn hash(&self) -> TargetHash {
        TargetHash::of_incarnation(&self.id, self.incarnation())
    }

    /// Returns the hash of the software that this incarnation runs.
    pub fn software(&self) -> SoftwareHash {
        SoftwareHash::of_version(&self.service, &self.version)
    }

    /// Returns whether `other` describes the same start of the same target, if both tell when that was, whatever else
    /// has changed in the record.
    pub fn is_same_start(&self, other: &Listing) -> bool {
        match (self.started, other.started) {
            (Some(own), Some(other)) => own == other,
            _ => self.is_same_instance(other),
        }
    }

    /// Returns whether `other` describes the same instance of the same target, without a restart.
    pub fn is_same_instance(&self, other: &Listing) -> bool {
        self.started == other.started
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }
}
