//! Messages between the processes of the system.
//!
//! Bodies are encoded as MessagePack by `rmp-serde`; a stream of [`Frame`]s is length-delimited.
//! The HTTP paths are constants of [`path`]. This crate contains no decision logic.
//!
//! - [`Dispatch`] requests an agent to run an attempt; the response is a stream of [`Frame`]s.
//! - [`Attach`], [`Ack`] and [`Cancel`] refer to an attempt only by its id.
//! - [`Report`] goes from an agent to a relay, [`ReportBatch`] from a relay to the other entries.
//! - [`QuotaDemand`] carries the quota demand of workspaces, by which entries share the quotas.
//! - [`ConfigRequest`] asks a peer for a newer configuration.
//! - [`Order`] goes from the planner to an agent.
//! - [`OutstandingWork`] goes from a forwarding entry to the other entries, with a
//!   [`DirectoryUpdate`] if the entry watches the directory.

mod budget_loan;
mod cached_prompt;
mod codec;
mod crash_notice;
mod directory_update;
mod dispatch;
mod frame;
mod limit_notice;
mod load;
mod load_update;
mod order;
mod outstanding_work;
pub mod path;
mod quota_demand;
mod report;
mod rollout_evidence;
mod rollout_notice;
mod stream_origin;
mod suspect;
mod trial;

pub use budget_loan::LoanAnswer;
pub use budget_loan::LoanCall;
pub use cached_prompt::CachedPrompt;
pub use cached_prompt::PromptHash;
pub use codec::FrameCodec;
pub use codec::WireError;
pub use codec::decode;
pub use codec::encode;
pub use crash_notice::CrashNews;
pub use crash_notice::CrashNotice;
pub use directory_update::DirectoryChange;
pub use directory_update::DirectorySnapshot;
pub use directory_update::DirectoryUpdate;
pub use dispatch::Ack;
pub use dispatch::Attach;
pub use dispatch::Call;
pub use dispatch::CallHead;
pub use dispatch::Cancel;
pub use dispatch::Cancelled;
pub use dispatch::Dispatch;
pub use dispatch::Generate;
pub use dispatch::Message;
pub use dispatch::Prompt;
pub use dispatch::Sampling;
pub use dispatch::Stamp;
pub use dispatch::Work;
pub use frame::Failure;
pub use frame::FinishReason;
pub use frame::Frame;
pub use frame::NotRunReason;
pub use frame::Token;
pub use limit_notice::LimitNotice;
pub use load::Load;
pub use load_update::LoadUpdate;
pub use load_update::TargetHash;
pub use order::Order;
pub use order::OrderKind;
pub use order::OrderResponse;
pub use outstanding_work::OutstandingWork;
pub use outstanding_work::TargetShare;
pub use quota_demand::QuotaDemand;
pub use report::ConfigDelta;
pub use report::ConfigRequest;
pub use report::ConfigResponse;
pub use report::CrashReport;
pub use report::Fingerprint;
pub use report::Pins;
pub use report::ProcessState;
pub use report::Report;
pub use report::ReportBatch;
pub use report::ReportResponse;
pub use report::SilentTarget;
pub use report::TargetState;
pub use rollout_evidence::RolloutEvidence;
pub use rollout_evidence::RouteEvidence;
pub use rollout_evidence::RouteHash;
pub use rollout_evidence::SideEvidence;
pub use rollout_evidence::TimeCounts;
pub use rollout_notice::MAX_REASON_BYTES;
pub use rollout_notice::RolloutNotice;
pub use rollout_notice::RolloutStage;
pub use rollout_notice::RolloutState;
pub use stream_origin::OriginAnswer;
pub use stream_origin::OriginCall;
pub use stream_origin::SoftwareHash;
pub use stream_origin::StreamHash;
pub use stream_origin::StreamOrigin;
pub use suspect::PartHash;
pub use suspect::Suspect;
pub use trial::TrialAction;
pub use trial::TrialAnswer;
pub use trial::TrialCall;
pub use trial::TrialEnd;
