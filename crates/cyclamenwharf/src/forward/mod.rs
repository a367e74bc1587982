//! The forwarding entry: opaque requests, passed through to the targets of a service.
//!
//! - [`Forwarder`] starts it: a server for callers, one for health and metrics, and the upkeep of
//!   what it believes.
//! - `Front` takes each request in; a `Courier` carries it to its end, by the decisions of
//!   [`cw_policy::forward::Exchange`].
//! - `TargetPool` keeps connections to targets.
//! - `Registry` and `PeerExchange` find the other entries and tell them what is where.
//! - `Ledger` keeps where prompts were read, for when all entries die together.
//! - `Directory` follows the configuration and the targets in the key-value service.

mod answer;
mod copying;
mod courier;
mod directory;
mod forward_settings;
mod forwarder;
mod front;
mod guards;
mod ledger;
mod link;
mod metrics;
mod operator_api;
mod outcome;
mod peer_api;
mod peer_exchange;
mod placing;
mod registry;
mod sending;
mod shared;
mod streaming;
mod target_pool;

pub use forward_settings::BudgetSettings;
pub use forward_settings::ForwardListen;
pub use forward_settings::ForwardSettings;
pub use forwarder::ForwardParts;
pub use forwarder::Forwarder;
pub use forwarder::ForwarderHandle;
