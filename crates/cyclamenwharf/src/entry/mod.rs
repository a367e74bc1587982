//! The entry, which serves callers' requests.

mod answer_format;
mod api;
mod api_error;
mod attempts;
mod caller;
mod claims;
mod completion_request;
mod completions;
mod delivery;
mod driver;
mod entry_context;
mod entry_metrics;
mod event_body;
mod event_id;
mod event_sources;
mod handle;
mod idempotency;
mod idempotency_cache;
mod job;
mod models;
mod output;
mod peer_pool;
mod periodic_tasks;
mod router;
mod sent_attempt;
mod service;
mod shared_queue;
mod shared_quotas;
mod suspicion_tracker;

pub use handle::Entry;
pub use handle::EntryHandle;
pub use handle::EntryParts;
