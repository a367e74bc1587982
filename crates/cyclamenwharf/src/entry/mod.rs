//! The entry, which serves callers' requests.
//!
//! - [`Entry`] starts the control plane and the server for callers.
//! - `CallerApi` routes requests to the endpoints in `completions` and `service`, which turn a
//!   request into a `Job`, and to the list of `models`.
//! - `idempotency` starts a job, or joins the earlier request with the same idempotency key: within
//!   this entry by the `IdempotencyCache`, across entries by a claim in the key-value service.
//! - `Driver` runs the state machine of one job: it sends attempts to agents, and a `Delivery`
//!   passes their output on to the caller.
//! - `Router` selects targets, `SharedQueue` holds the requests that wait for one, `SharedQuotas`
//!   enforces the quotas of workspaces, and `SuspicionTracker` tracks requests that crash targets.

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
