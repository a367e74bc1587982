//! One line of a trace.

use cw_macro::data;
use cw_types::Time;

use crate::Event;
use crate::Step;

/// One event and the steps that it led to.
#[data]
pub struct Entry {
    /// When it happened, on the recording process's clock.
    pub at: Time,
    /// What happened.
    pub event: Event,
    /// What was done next.
    pub steps: Vec<Step>,
}
