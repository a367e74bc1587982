//! One generation at its entry: from the caller's request to the end of its answer.
//!
//! [`Generation`] is the state machine. Its driver opens and closes links to agents and feeds it
//! with [`Event`]s; the machine answers with [`Step`]s. It alone decides which tokens reach the
//! caller, when an attempt counts as lost, and whether another one may be dispatched.

mod event;
mod frames;
mod limits;
mod machine;
mod plan;
mod recover;
mod refuse;
mod step;
mod track;

pub use event::Effect;
pub use event::Event;
pub use event::LinkId;
pub use limits::Limits;
pub use machine::Generation;
pub use plan::Plan;
pub use plan::WorkKind;
pub use step::DropReason;
pub use step::Step;
