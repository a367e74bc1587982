//! The attempts at one target, tracked by its agent.

mod attempt_limits;
mod attempt_state;
mod attempt_step;
mod crash_log;
mod output;
mod reader;
mod table;
mod target_readiness;

pub use attempt_limits::AttemptLimits;
pub use attempt_state::AttemptEnd;
pub use attempt_step::AttemptAnswer;
pub use attempt_step::AttemptStep;
pub use attempt_step::FlowControl;
pub use crash_log::CrashLog;
pub use output::Chunk;
pub use output::Output;
pub use reader::ReadStep;
pub use reader::Reader;
pub use table::AttemptTable;
pub use target_readiness::TargetReadiness;
