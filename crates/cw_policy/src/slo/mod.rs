//! Service-level objectives: what counts as good, over which windows, and how fast the budget burns.
//!
//! An entry records events in a [`Book`]; the counts over each [`Window`] are its metrics, and the
//! operators' tool turns them into a [`Burn`]. Hosts keep nothing, so a window reaches back no
//! further than the start of the process; [`Book::covered`] says how far that is.

mod book;
mod burn;
mod objective;
mod series;
mod window;

pub use book::Book;
pub use book::Class;
pub use burn::Burn;
pub use burn::Condition;
pub use objective::Objective;
pub use objective::Objectives;
pub use series::Counts;
pub use series::Series;
pub use window::Window;
