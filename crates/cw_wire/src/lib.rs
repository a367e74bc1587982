//! Messages between the processes of the system.
//!
//! Bodies are MessagePack by `rmp-serde`; a stream of [`Frame`]s is length-delimited. Paths are
//! constants of [`path`]. Nothing here decides anything.
//!
//! - [`Dispatch`] asks an agent to run an attempt; the answer is a stream of [`Frame`]s.
//! - [`Attach`], [`Ack`] and [`Cancel`] refer to an attempt by id alone.
//! - [`Report`] goes from an agent to a relay, [`Batch`] from a relay to the other entries.
//! - [`Demand`] says how much of their quotas workspaces use, for sharing quotas among entries.
//! - [`Order`] goes from the planner to an agent.

mod codec;
mod demand;
mod directory_news;
mod dispatch;
mod frame;
mod load;
mod load_update;
mod order;
mod outstanding;
pub mod path;
mod report;
mod whereabouts;

pub use codec::FrameCodec;
pub use codec::WireError;
pub use codec::decode;
pub use codec::encode;
pub use demand::Demand;
pub use directory_news::DirectoryChange;
pub use directory_news::DirectoryCopy;
pub use directory_news::DirectoryNews;
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
pub use frame::Finish;
pub use frame::Frame;
pub use frame::Reason;
pub use frame::Token;
pub use load::Load;
pub use load_update::LoadUpdate;
pub use load_update::TargetHash;
pub use order::Order;
pub use order::OrderAnswer;
pub use order::OrderKind;
pub use outstanding::Outstanding;
pub use outstanding::TargetShare;
pub use report::Batch;
pub use report::ConfigAnswer;
pub use report::ConfigAsk;
pub use report::ConfigDelta;
pub use report::CrashReport;
pub use report::Fingerprint;
pub use report::Pins;
pub use report::ProcessState;
pub use report::Report;
pub use report::ReportAnswer;
pub use report::Silence;
pub use report::TargetState;
pub use whereabouts::PromptHash;
pub use whereabouts::ReadPrompt;
