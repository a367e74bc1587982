//! The list of hosts.

use std::net::SocketAddr;

use cw_macro::data;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::ZoneId;
use futures::future::BoxFuture;

use crate::StoreError;

/// What a host runs.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A target with its agent.
    Target,
}

/// How a host is.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is live, as far as the list knows.
    Live,
    /// It is about to go.
    Leaving,
}

/// One host.
#[data(Eq)]
pub struct Host {
    /// Its id.
    pub host: HostId,
    /// What it runs.
    pub role: HostRole,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// Where its process listens for its peers.
    pub peers: SocketAddr,
    /// How it is.
    pub state: HostState,
}

/// A list of hosts, which lags behind the truth.
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>>;
}
