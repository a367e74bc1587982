//! Traces of decisions, kept in memory for operators.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cw_policy::Event;
use cw_policy::GenerationLimits;
use cw_policy::GenerationPlan;
use cw_policy::Step;
use cw_policy::trace::Ending;
use cw_policy::trace::Outcome;
use cw_policy::trace::TraceHeader;
use cw_policy::trace::TraceRecord;
use cw_policy::trace::redacted;
use cw_types::GenerationId;
use cw_types::Time;
use serde::Serialize;

use crate::TraceSettings;

/// The divisor of the store's size that gives the largest size of one trace.
const TRACE_DIVISOR: usize = 8;

/// Records the trace of one generation while it runs.
#[derive(Debug)]
pub struct TraceRecorder {
    generation: GenerationId,
    bodies: bool,
    max_bytes: usize,
    lines: Option<String>,
    outcome: Outcome,
    next: Option<u64>,
}

impl TraceRecorder {
    /// Appends an event and the resulting steps. A trace that grows too large is discarded.
    pub fn record(&mut self, now: Time, event: Event, steps: &[Step]) {
        for step in steps {
            self.outcome.observe(&mut self.next, step);
        }
        let entry = TraceRecord {
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
        if lines.len() > self.max_bytes {
            self.lines = None;
        }
    }

    /// Returns whether the generation failed, or needed more than one dispatch or attachment.
    fn is_worth_keeping(&self) -> bool {
        let connections = self.outcome.dispatches + self.outcome.attachments;
        self.outcome.ending != Ending::Complete || connections > 1
    }
}

/// The traces of an entry: the newest ones of generations that met a failure.
#[derive(Debug, Default)]
pub struct TraceStore {
    settings: TraceSettings,
    traces: Mutex<VecDeque<(GenerationId, String)>>,
}

impl TraceStore {
    /// Returns an empty store.
    pub fn new(settings: TraceSettings) -> Self {
        Self {
            settings,
            traces: Mutex::default(),
        }
    }

    /// Starts the trace of a generation, if traces are enabled.
    pub fn begin(
        &self,
        generation: GenerationId,
        plan: &GenerationPlan,
        limits: &GenerationLimits,
    ) -> Option<TraceRecorder> {
        let max_bytes = self.settings.kept.as_usize() / TRACE_DIVISOR;
        if max_bytes == 0 {
            return None;
        }
        let mut recorder = TraceRecorder {
            generation,
            bodies: self.settings.bodies,
            max_bytes,
            lines: Some(String::new()),
            outcome: Outcome::default(),
            next: None,
        };
        recorder.push(&TraceHeader {
            version: TraceHeader::VERSION,
            generation,
            plan: plan.clone(),
            limits: limits.clone(),
            outcome: None,
        });
        Some(recorder)
    }

    /// Stores a finished trace if the generation met a failure, and evicts the oldest traces if
    /// needed.
    pub fn end(&self, recorder: TraceRecorder) {
        let worth_keeping = recorder.is_worth_keeping();
        let Some(lines) = recorder.lines.filter(|_| worth_keeping) else {
            return;
        };
        let mut traces = self.lock();
        traces.push_back((recorder.generation, lines));
        let max_bytes = self.settings.kept.as_usize();
        while traces.iter().map(|(_, lines)| lines.len()).sum::<usize>() > max_bytes {
            traces.pop_front();
        }
    }

    /// Returns the generations with a stored trace, oldest first.
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
        // Traces are complete even after a panic in another thread, so a poisoned lock is ignored.
        self.traces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
