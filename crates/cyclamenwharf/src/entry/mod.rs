//! The entry, which serves callers' requests.

mod answer_format;
mod api_error;
mod attempts;
mod caller;
mod caller_api;
mod claims;
mod completion_request;
mod completions;
mod delivery;
mod driver;
mod entry_context;
mod entry_handle;
mod entry_metrics;
mod event_body;
mod event_id;
mod event_sources;
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

pub use entry_handle::Entry;
pub use entry_handle::EntryHandle;
pub use entry_handle::EntryParts;
