//! The entry, which takes callers' requests.

mod api;
mod attempts;
mod caller;
mod calls;
mod claims;
mod completion;
mod delivery;
mod driver;
mod event_id;
mod events;
mod format;
mod frontend;
mod handle;
mod inputs;
mod job;
mod key_book;
mod keyed;
mod metrics;
mod models;
mod output;
mod peer_pool;
mod quota_gate;
mod refusal;
mod router;
mod sent;
mod service;
mod suspicion;
mod upkeep;
mod wait_line;

pub use handle::Entry;
pub use handle::EntryHandle;
pub use handle::EntryParts;
