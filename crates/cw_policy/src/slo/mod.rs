//! Service-level objectives: what counts as good, over which windows, and how fast the budget burns.
//!
//! An entry records events in a [`SloRecorder`]; the counts over each [`Window`] are its metrics, and the
//! operators' tool turns them into a [`Burn`]. Hosts keep nothing, so a window reaches back no
//! further than the start of the process; [`SloRecorder::covered`] says how far that is.

mod burn;
mod objective;
mod series;
mod slo_recorder;
mod window;

pub use burn::Burn;
pub use burn::Condition;
pub use objective::Objective;
pub use objective::Objectives;
pub use series::Counts;
pub use series::Series;
pub use slo_recorder::Class;
pub use slo_recorder::SloRecorder;
pub use window::Window;
