//! The forwarding entry, which passes opaque requests to the targets of a service.
//!
//! - [`Forwarder`] starts the servers for callers, for health and metrics and for the other
//!   entries, and the background tasks.
//! - `CallerApi` accepts requests, and an `ExchangeDriver` drives each one by the decisions of its
//!   [`cw_policy::forward::Exchange`].
//! - `LossCheck` finds out whether a target that did not answer has crashed, and records which
//!   requests may be the cause.
//! - `ConnectionPool` holds idle connections to targets.
//! - `EntryRegistry` finds the other entries, and `PeerExchange` exchanges load and directory
//!   changes with them.
//! - `StateStore` persists state that the entries share, in case all of them fail together: the
//!   targets that have read recent prompts (`RecentRunState`), and the evidence against requests
//!   that crash targets (`CrashEvidenceState`).
//! - `DirectorySync` keeps the configuration and the targets in sync with the key-value service: it watches the
//!   service in turn with other entries, and checks it (`directory_check`) whenever its knowledge is too old.
//! - `RolloutDecider` moves a service to another software version as the operator orders it (`rollout_orders`), by
//!   the decisions of [`cw_policy::rollout::Rollouts`] on what the runs tell (`rollout_record`). `RolloutWriter` writes
//!   them to the key-value service.

mod body_shares;
mod budget_loans;
mod caller_api;
mod chosen_target;
mod connection_pool;
mod copy_renewal;
mod crash_evidence_state;
mod directory_check;
mod directory_query;
mod directory_sync;
mod entry_registry;
mod exchange_driver;
mod forward_context;
mod forward_metrics;
mod forward_settings;
mod forwarder;
mod guards;
mod head_limit;
mod loss_check;
mod operator_api;
mod peer_api;
mod peer_exchange;
mod placement_choice;
mod receiving;
mod recent_run_state;
mod refusal_response;
mod response;
mod rollout_choice;
mod rollout_decider;
mod rollout_orders;
mod rollout_record;
mod rollout_writer;
mod send_deadline;
mod send_outcome;
mod sending;
mod state_store;
mod stream_take_up;
mod streaming;
mod target_connection;
mod target_identity;
mod target_records;
mod trial_guard;
mod upload;

pub use forward_settings::BudgetSettings;
pub use forward_settings::ForwardListen;
pub use forward_settings::ForwardSettings;
pub use forward_settings::RolloutSettings;
pub use forwarder::ForwardParts;
pub use forwarder::Forwarder;
pub use forwarder::ForwarderHandle;
