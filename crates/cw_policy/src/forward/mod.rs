//! Forwarded requests: opaque calls that pass through an entry to one of a service's targets.
//!
//! An entry neither reads nor writes what such a request or its answer says. It decides where the
//! request goes, whether it may be sent again, and how a stream of events goes on after a loss.
//!
//! - [`ForwardConfig`]: routes by host and path, services and callers' keys, at one version.
//! - [`Fleet`]: which targets there are, how loaded, and which one is next ([`Placement`]).
//! - [`Fleet::receive_peer`]: what the other entries say they have at the targets.
//! - [`Roster`]: which other entries there are.
//! - [`RunCopy`]: a copy of a run's memory at another engine.
//! - [`PromptLocations`]: which target has read which prompt.
//! - [`RunTimes`]: how long targets take to read prompts, and to answer them.
//! - [`StartEstimate`]: whether a request can begin in time, or a queue stands ([`StandingQueues`]).
//! - [`DirectoryLog`]: how a few entries follow the directory for all.
//! - [`Exchange`]: one request, from its arrival to its end.
//! - [`EventStream`]: cuts a target's bytes into events and keeps them in order.

mod directory_log;
mod event_stream;
mod exchange;
mod fleet;
mod forward_config;
mod listing;
mod member;
mod peers;
mod placement;
mod prompt_locations;
mod roster;
mod run_copy;
mod run_times;
mod standing_queues;
mod start_estimate;

pub use directory_log::DirectoryLog;
pub use directory_log::NewsStep;
pub use event_stream::EventStream;
pub use event_stream::StreamError;
pub use exchange::Exchange;
pub use exchange::ExchangeEvent;
pub use exchange::ExchangePlan;
pub use exchange::ExchangeStep;
pub use exchange::Resume;
pub use fleet::Fleet;
pub use fleet::FleetLimits;
pub use fleet::Usability;
pub use forward_config::Admitted;
pub use forward_config::CallerLimits;
pub use forward_config::ForwardConfig;
pub use forward_config::ForwardRoute;
pub use forward_config::ForwardService;
pub use forward_config::KeyHolder;
pub use forward_config::Repeat;
pub use listing::Listing;
pub use member::Demand;
pub use member::Fault;
pub use member::ReportedLoad;
pub use peers::PeerLimits;
pub use placement::Need;
pub use placement::Placement;
pub use prompt_locations::PromptLocationLimits;
pub use prompt_locations::PromptLocations;
pub use roster::Roster;
pub use run_copy::CopyName;
pub use run_copy::RunCopy;
pub use run_times::RunTimes;
pub use standing_queues::StandingQueues;
pub use start_estimate::Backlog;
pub use start_estimate::StartEstimate;
