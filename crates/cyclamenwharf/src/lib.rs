//! The daemon as a library: the entry, the agent and the forwarding entry, each with its settings.
//!
//! - [`EntrySettings`], [`AgentSettings`] and [`ForwardSettings`] are read and validated before
//!   anything starts.
//! - [`Entry::start`], [`Agent::start`] and [`Forwarder::start`] run a role in the background and
//!   return a handle that stops it.
//! - [`Control`] is the control plane of an entry: it publishes the [`SharedView`] of the targets
//!   and serves the API of [`admin`].
//! - [`Supervisor`] restarts background tasks that end, and stops them together.
//! - [`TraceStore`] keeps the recorded decisions, and [`SloMetrics`] the service-level events.
//! - [`check_config`] checks a configuration of forwarded traffic before it is sent.
//! - [`Clock`] is the only source of the current time; policy code gets the time as an argument.

mod agent;
mod caller_socket;
mod clock;
mod config_command;
mod control;
mod entry;
mod forward;
mod health;
mod json_logger;
mod line_queue;
mod listed_host;
mod peer_auth;
mod peer_client;
mod planner_key;
mod settings;
mod slo_metrics;
mod start_error;
mod stream_server;
mod supervisor;
mod trace_store;

pub use agent::Agent;
pub use agent::AgentHandle;
pub use clock::Clock;
pub use config_command::ConfigCommandError;
pub use config_command::InForce;
pub use config_command::check_config;
pub use config_command::render_findings;
pub use control::Control;
pub use control::ControlParts;
pub use control::DemandExchange;
pub use control::PlannerStatus;
pub use control::Services;
pub use control::SharedView;
pub use control::admin;
pub use entry::Entry;
pub use entry::EntryHandle;
pub use entry::EntryParts;
pub use forward::BudgetSettings;
pub use forward::ForwardListen;
pub use forward::ForwardParts;
pub use forward::ForwardSettings;
pub use forward::Forwarder;
pub use forward::ForwarderHandle;
pub use forward::RolloutSettings;
pub use health::Health;
pub use json_logger::JsonLogger;
pub use line_queue::LineQueue;
pub use peer_client::PeerClient;
pub use peer_client::PeerError;
pub use settings::AgentListen;
pub use settings::AgentSettings;
pub use settings::EngineSettings;
pub use settings::EntryListen;
pub use settings::EntrySettings;
pub use settings::LimitSettings;
pub use settings::LogLevel;
pub use settings::LogSettings;
pub use settings::PlatformSettings;
pub use settings::RecoverySettings;
pub use settings::Role;
pub use settings::RoutingSettings;
pub use settings::SecretSettings;
pub use settings::SettingsError;
pub use settings::TargetSettings;
pub use settings::TraceSettings;
pub use settings::read_settings;
pub use slo_metrics::SloCollector;
pub use slo_metrics::SloMetrics;
pub use start_error::StartError;
pub use supervisor::Supervisor;
pub use trace_store::TraceRecorder;
pub use trace_store::TraceStore;
