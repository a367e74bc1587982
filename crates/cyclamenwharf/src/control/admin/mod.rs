//! The admin API: its messages, its server and the changes of the configuration behind it.

mod admin_context;
mod auth;
mod change_service;
mod convert;
mod endpoints;
mod error;
mod messages;
mod server;
mod stored;
mod traces;

pub use error::AdminErrorKind;
pub use error::ErrorMessage;
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

pub(super) use admin_context::AdminContext;
pub(super) use change_service::ChangeService;
pub(super) use server::start;
