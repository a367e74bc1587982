//! The policy for forwarded requests: opaque calls that an entry proxies to a target of a service.
//!
//! An entry neither interprets nor changes the content of such a request or its answer. It selects
//! the target, decides whether the request may be sent again, and how a stream of events resumes
//! after the loss of its target.
//!
//! - [`ForwardConfig`]: one version of the routes by host and path, the services and the callers'
//!   keys.
//! - [`ConfigCheck`]: what is wrong in such a version, and what it changes, before it is sent.
//! - [`Fleet`]: the targets and their load, and the choice of one for a request ([`Placement`]).
//! - [`Fleet::receive_peer`]: the load that the other entries report to have at the targets.
//! - [`Fleet::next_slot`]: when a target takes the next request, by the limit that it names.
//! - [`EntryList`]: the list of the other entries.
//! - [`RunCopy`]: a copy of a run's cache memory at another engine.
//! - [`PromptLocations`]: the target that has read each prompt.
//! - [`StreamOrigins`]: the software version that began each stream, at which alone it goes on.
//! - [`RunTimes`]: the mean times that targets take to read prompts and to generate answers.
//! - [`StartEstimate`]: whether a request can start in time, also in view of a standing queue
//!   ([`StandingQueues`]).
//! - [`Precedence`]: what the rank of a request means for the decisions on it, by the recent work at
//!   other ranks ([`RankDemand`]).
//! - [`DirectoryLog`]: the directory changes that the watching entries send to all others.
//! - [`Freshness`]: how recent the knowledge of the key-value service is, and when to ask it.
//! - [`DrainLimits`]: how long requests may still reach a target that is leaving.
//! - [`ConnectionClose`]: when a process that ends closes a caller's connection.
//! - [`CrashTracker`]: the requests that may crash the targets that run them, and whether they may be sent
//!   ([`Standing`]).
//! - [`Exchange`]: the state machine of one request, whose waits and ends go by its [`Progress`].
//! - [`EventStream`]: splits a target's bytes into events and keeps them in order. It hands out an [`EventBatch`] and
//!   counts its events when they are passed on.

mod config_check;
mod connection_close;
mod crash_tracker;
mod departures;
mod directory_log;
mod drain_limits;
mod entry_list;
mod entry_ranking;
mod event_batch;
mod event_stream;
mod exchange;
mod fleet;
mod forward_config;
mod freshness;
mod limit_shares;
mod listing;
mod lost_sends;
mod member;
mod pace;
mod peers;
mod placement;
mod precedence;
mod progress;
mod prompt_locations;
mod rank;
mod rank_demand;
mod read_patience;
mod record_trust;
mod restored_software;
mod run_copy;
mod run_times;
mod slowness;
mod software_filter;
mod software_history;
mod sound_parts;
mod standing_queues;
mod start_estimate;
mod stream_life;
mod stream_origins;
mod suspect_keys;
mod suspect_ledger;
mod target_limit;
mod target_sends;
mod trials;

pub use config_check::ConfigCheck;
pub use config_check::Finding;
pub use config_check::Severity;
pub use connection_close::CloseStep;
pub use connection_close::ConnectionClose;
pub use crash_tracker::AnswerKind;
pub use crash_tracker::CrashTracker;
pub use directory_log::DirectoryLog;
pub use directory_log::DirectoryUpdateStep;
pub use drain_limits::DrainLimits;
pub use entry_list::EntryList;
pub use event_batch::EventBatch;
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
pub use forward_config::CallerKeys;
pub use forward_config::CallerLimits;
pub use forward_config::ForwardConfig;
pub use forward_config::ForwardRoute;
pub use forward_config::ForwardService;
pub use forward_config::KeyHolder;
pub use forward_config::Repeat;
pub use freshness::Freshness;
pub use freshness::FreshnessLimits;
pub use freshness::FreshnessStep;
pub use freshness::Topic;
pub use limit_shares::Slot;
pub use listing::Listing;
pub use member::Demand;
pub use member::Fault;
pub use member::ReportedLoad;
pub use peers::PeerLimits;
pub use placement::Placement;
pub use placement::Requirements;
pub use precedence::Precedence;
pub use progress::Progress;
pub use prompt_locations::PromptLocationLimits;
pub use prompt_locations::PromptLocations;
pub use rank::Rank;
pub use rank::RankPlace;
pub use rank_demand::RankDemand;
pub use rank_demand::RankShares;
pub use read_patience::ReadPatience;
pub use read_patience::ReadStep;
pub use restored_software::EarlierSoftware;
pub use restored_software::RestoredSoftware;
pub use run_copy::CopyName;
pub use run_copy::RunCopy;
pub use run_times::RunTimes;
pub use software_filter::SoftwareFilter;
pub use standing_queues::StandingQueues;
pub use start_estimate::Backlog;
pub use start_estimate::StartEstimate;
pub use stream_life::MIN_STREAM_LIFE;
pub use stream_life::StreamLife;
pub use stream_origins::PersistedOrigins;
pub use stream_origins::StreamOriginLimits;
pub use stream_origins::StreamOrigins;
pub use suspect_keys::SuspectKeys;
pub use suspect_ledger::Standing;
pub use target_sends::SendEnd;
pub use target_sends::SendId;
