//! The interface of the platform's host list.

use std::net::SocketAddr;

use cw_macro::data;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::ZoneId;
use futures::future::BoxFuture;

use crate::StoreError;

/// The kind of process that a host runs.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry, which accepts the callers' requests.
    Entry,
    /// A target and its agent.
    Target,
}

/// The state of a host in the list.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is live according to the list, which may be out of date.
    Live,
    /// The host is about to shut down.
    Leaving,
}

/// A host in the list.
#[data(Eq)]
pub struct Host {
    /// The host's id.
    pub host: HostId,
    /// The kind of process that it runs.
    pub role: HostRole,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The region of the availability zone.
    pub region: RegionId,
    /// The address on which its process listens for peers.
    pub peers: SocketAddr,
    /// The state of the host.
    pub state: HostState,
}

/// A list of hosts, which may lag behind their actual state.
pub trait HostList: Send + Sync {
    /// Returns all hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>>;
}
