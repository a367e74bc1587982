//! The entry, which takes callers' requests.

mod api;
mod caller;
mod calls;
mod chooser;
mod completion;
mod driver;
mod event_id;
mod events;
mod format;
mod frontend;
mod handle;
mod in_flight;
mod inputs;
mod job;
mod metrics;
mod models;
mod output;
mod peer_pool;
mod refusal;
mod service;

pub use handle::Entry;
pub use handle::EntryHandle;
pub use handle::EntryParts;
