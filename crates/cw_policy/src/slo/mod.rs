//! Service-level objectives: the criteria for good events, the windows over which they are counted,
//! and the burn rate of the error budget.
//!
//! An entry records events in an [`SloRecorder`] and exports the counts over each [`Window`] as
//! metrics, from which the operators' tool computes a [`Burn`]. Hosts store no counts, so a window
//! reaches back no further than the start of the process; [`SloRecorder::covered`] returns how much
//! of a window that is.

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
