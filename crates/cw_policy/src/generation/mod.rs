//! The state machine of one generation at its entry, from the caller's request to the end of the
//! response.
//!
//! The driver of a [`Generation`] opens and closes links to agents and feeds [`Event`]s to the
//! machine, which returns [`Step`]s. The machine alone decides which tokens reach the caller, when
//! an attempt counts as lost, and whether another attempt may be dispatched.

mod event;
mod frames;
mod generation_limits;
mod generation_plan;
mod generation_state;
mod recover;
mod refuse;
mod step;
mod tracked_attempt;

pub use event::Effect;
pub use event::Event;
pub use event::LinkId;
pub use generation_limits::GenerationLimits;
pub use generation_plan::GenerationPlan;
pub use generation_plan::WorkKind;
pub use generation_state::Generation;
pub use step::DropReason;
pub use step::Step;
