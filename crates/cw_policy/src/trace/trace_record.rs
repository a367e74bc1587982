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
    /// The event that was fed to the machine.
    pub event: Event,
    /// The steps that the machine returned, which a replay must return again.
    pub steps: Vec<Step>,
}
