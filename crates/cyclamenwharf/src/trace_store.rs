//! Recorded decisions, kept in memory until an operator fetches them.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_policy::Event;
use cw_policy::Limits;
use cw_policy::Plan;
use cw_policy::Step;
use cw_policy::trace::Ending;
use cw_policy::trace::Entry;
use cw_policy::trace::Head;
use cw_policy::trace::Outcome;
use cw_policy::trace::redacted;
use cw_types::GenerationId;
use cw_types::Time;
use serde::Serialize;

use crate::TraceSettings;

/// The part of the room that one trace may take, as a divisor.
const SHARE: usize = 8;

/// The trace of one generation while it runs.
#[derive(Debug)]
pub struct TraceRecorder {
    generation: GenerationId,
    bodies: bool,
    room: usize,
    lines: Option<String>,
    outcome: Outcome,
    next: Option<u64>,
}

impl TraceRecorder {
    /// Adds an event and the steps that it led to. A trace that grows too large is given up.
    pub fn record(&mut self, now: Time, event: Event, steps: &[Step]) {
        for step in steps {
            self.outcome.observe(&mut self.next, step);
        }
        let entry = Entry {
            at: now,
            event,
            steps: steps.to_vec(),
        };
        self.push(&entry);
    }

    fn push(&mut self, line: &impl Serialize) {
        let text = match serde_json::to_value(line) {
            Ok(value) if self.bodies => value.to_string(),
            Ok(value) => redacted(value).to_string(),
            Err(_) => return self.lines = None,
        };
        let Some(lines) = &mut self.lines else {
            return;
        };
        lines.push_str(&text);
        lines.push('\n');
        if lines.len() > self.room {
            self.lines = None;
        }
    }

    /// Returns whether a person may want to see it: something was lost or refused on the way.
    fn is_notable(&self) -> bool {
        let links = self.outcome.dispatches + self.outcome.attachments;
        self.outcome.ending != Ending::Whole || links > 1
    }
}

/// The traces of an entry: only of generations that met a failure, the newest ones.
#[derive(Debug, Default)]
pub struct TraceStore {
    settings: TraceSettings,
    traces: Mutex<VecDeque<(GenerationId, String)>>,
}

impl TraceStore {
    /// Returns an empty book.
    pub fn new(settings: TraceSettings) -> Self {
        Self {
            settings,
            traces: Mutex::default(),
        }
    }

    /// Begins the trace of a generation, if traces are recorded.
    pub fn begin(
        &self,
        generation: GenerationId,
        plan: &Plan,
        limits: &Limits,
    ) -> Option<TraceRecorder> {
        let room = self.settings.kept.as_usize() / SHARE;
        if room == 0 {
            return None;
        }
        let mut recorder = TraceRecorder {
            generation,
            bodies: self.settings.bodies,
            room,
            lines: Some(String::new()),
            outcome: Outcome::default(),
            next: None,
        };
        recorder.push(&Head {
            version: Head::VERSION,
            generation,
            plan: plan.clone(),
            limits: limits.clone(),
            outcome: None,
        });
        Some(recorder)
    }

    /// Keeps a trace that has ended, if it is worth keeping, in place of older ones.
    pub fn end(&self, recorder: TraceRecorder) {
        let notable = recorder.is_notable();
        let Some(lines) = recorder.lines.filter(|_| notable) else {
            return;
        };
        let mut traces = self.lock();
        traces.push_back((recorder.generation, lines));
        let room = self.settings.kept.as_usize();
        while traces.iter().map(|(_, lines)| lines.len()).sum::<usize>() > room {
            traces.pop_front();
        }
    }

    /// Returns the generations whose traces are kept, oldest first.
    pub fn list(&self) -> Vec<GenerationId> {
        self.lock().iter().map(|(id, _)| *id).collect()
    }

    /// Returns the trace of a generation, as JSON lines.
    pub fn get(&self, generation: GenerationId) -> Option<String> {
        self.lock()
            .iter()
            .find(|(id, _)| *id == generation)
            .map(|(_, lines)| lines.clone())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(GenerationId, String)>> {
        // A panic elsewhere leaves whole traces.
        self.traces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
