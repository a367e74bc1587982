//! The interface of operators: its messages, its server and what stands behind it.

mod auth;
mod convert;
mod desk;
mod endpoints;
mod error;
mod keys;
mod messages;
mod server;
mod traces;

pub use error::AdminErrorKind;
pub use error::ErrorMessage;
pub use messages::AcceptMessage;
pub use messages::ChangeMessage;
pub use messages::ChangePath;
pub use messages::DiffMessage;
pub use messages::EditMessage;
pub use messages::HistoryQuery;
pub use messages::PlannerMessage;
pub use messages::ProcessMessage;
pub use messages::ProposalMessage;
pub use messages::ProposalStatus;
pub use messages::ProposeMessage;
pub use messages::RecordMessage;
pub use messages::RecordsQuery;
pub use messages::ReviewMessage;
pub use messages::RollMessage;
pub use messages::StatusMessage;
pub use messages::TargetMessage;
pub use server::admin_description;
pub use traces::TraceMessage;

pub(super) use desk::Desk;
pub(super) use server::AdminContext;
pub(super) use server::start;
