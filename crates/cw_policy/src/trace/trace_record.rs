//! A line of a trace after the first.

use cw_macro::data;
use cw_types::Time;

use crate::Event;
use crate::Step;

/// An event and the steps that the machine returned for it.
#[data]
pub struct TraceRecord {
    /// The time of the event, on the clock of the recording process.
    pub at: Time,
    /// The event.
    pub event: Event,
    /// The steps.
    pub steps: Vec<Step>,
}
