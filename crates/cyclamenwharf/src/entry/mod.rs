//! The entry, which takes callers' requests.

mod api;
mod caller;
mod calls;
mod completion;
mod driver;
mod event_id;
mod events;
mod format;
mod frontend;
mod handle;
mod inputs;
mod job;
mod metrics;
mod models;
mod output;
mod peer_pool;
mod refusal;
mod router;
mod service;

pub use handle::Entry;
pub use handle::EntryHandle;
pub use handle::EntryParts;
