//! The trace of a generation's decisions.

use cw_policy::Event;
use cw_policy::Step;
use cw_types::Time;

use super::Driver;

impl Driver {
    /// Decides what to do next, and records it.
    pub(super) fn decide(&mut self, now: Time, event: Event) -> Vec<Step> {
        let Some(recorder) = &mut self.recorder else {
            return self.machine.on_event(now, event);
        };
        let steps = self.machine.on_event(now, event.clone());
        recorder.record(now, event, &steps);
        steps
    }

    /// Hands in what was recorded.
    pub(super) fn end_trace(&mut self) {
        if let Some(recorder) = self.recorder.take() {
            self.front.traces.end(recorder);
        }
    }
}
