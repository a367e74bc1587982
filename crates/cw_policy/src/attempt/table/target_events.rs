//! What the target does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::AttemptId;
use cw_types::ModelName;
use cw_types::Ran;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::VersionName;
use cw_wire::Failure;
use cw_wire::Load;
use cw_wire::NotRunReason;
use cw_wire::Pins;

use super::AttemptStep;
use super::AttemptTable;
use super::End;
use super::Stage;
use crate::Chunk;
use crate::Flow;

impl AttemptTable {
    /// The target has the attempt, with so many prompt tokens cached.
    pub fn on_accepted(
        &mut self,
        now: Time,
        id: AttemptId,
        cached: TokenCount,
    ) -> Vec<AttemptStep> {
        let Some(attempt) = self.running(id) else {
            return Vec::new();
        };
        attempt.active = now;
        if attempt.accepted.is_some() {
            return Vec::new();
        }
        attempt.accepted = Some(cached);
        vec![AttemptStep::Wake(id)]
    }

    /// The target produced output.
    pub fn on_output(
        &mut self,
        now: Time,
        id: AttemptId,
        chunk: Chunk,
    ) -> (Flow, Vec<AttemptStep>) {
        let share = self.limits.share();
        let Some(attempt) = self.running(id) else {
            return (Flow::Stop, Vec::new());
        };
        attempt.active = now;
        attempt.accepted.get_or_insert_default();
        let (bytes, next) = (attempt.output.bytes(), attempt.output.next());
        attempt.output.push(chunk);
        let added = attempt.output.bytes() - bytes;
        let tokens = match attempt.pin {
            Some(_) => attempt.output.next() - next,
            None => 0,
        };
        attempt.held = attempt.output.bytes() >= share;
        self.kept += added;
        self.admission.grow(id, tokens);
        let mut steps = vec![AttemptStep::Wake(id)];
        self.make_room(now, id, &mut steps);
        self.evict();
        let held = self.running(id).is_some_and(|attempt| attempt.held);
        // The caller is told by `Flow`, not by a step, that it may read on.
        steps.retain(|step| !matches!(step, AttemptStep::Resume(_)));
        match held {
            true => (Flow::Hold, steps),
            false => (Flow::Go, steps),
        }
    }

    /// The target finished the attempt, or refused it; a refusal needs proof that it was not run.
    pub fn on_end(&mut self, now: Time, id: AttemptId, end: End) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if self.running(id).is_some() {
            self.end(now, id, end, &mut steps);
        }
        steps
    }

    /// The attempt's connection to the target broke.
    pub fn on_break(&mut self, now: Time, id: AttemptId) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if let Some(attempt) = self.running(id) {
            let failure = Failure::TargetLost;
            let ran = attempt.ran();
            self.crashes.on_break(now, id);
            // What starts at a target that has died would be taken for a cause of its death.
            self.broken = Some(now);
            self.admission.set_paused(true);
            self.end(now, id, End::Failed { failure, ran }, &mut steps);
        }
        steps
    }

    /// The target answered a question asked at `asked` with its load and versions.
    pub fn on_load(
        &mut self,
        now: Time,
        asked: Time,
        load: Load,
        versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    ) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        self.gate.set_up(versions);
        self.crashes.on_alive(now, asked);
        if self.broken.is_none_or(|broken| broken <= asked) {
            self.resume_starts();
        }
        self.admission.observe(load);
        self.start_waiting(now, &mut steps);
        steps
    }

    /// The target died: it refuses connections, or it is another life of it that answers.
    pub fn on_crash(&mut self, now: Time) {
        // An order that it had begun has died with it.
        self.gate.clear_unloading();
        self.crashes.on_crash(now);
    }

    /// The target does not answer.
    pub fn on_down(&mut self, now: Time) -> Vec<AttemptStep> {
        self.gate.set_down();
        self.resume_starts();
        self.refuse_waiting(now, NotRunReason::TargetDown)
    }

    /// The target is leaving, or no longer.
    pub fn on_leaving(&mut self, now: Time, leaving: bool) -> Vec<AttemptStep> {
        self.gate.set_leaving(leaving);
        match leaving {
            true => self.refuse_waiting(now, NotRunReason::Leaving),
            false => Vec::new(),
        }
    }

    /// A version is about to be unloaded, or is kept after all.
    pub fn on_unloading(&mut self, model: &ModelName, version: &VersionName, unloading: bool) {
        self.gate.set_unloading(model, version, unloading);
    }

    /// Returns how many live attempts are pinned to a version.
    pub fn pinned(&self, model: &ModelName, version: &VersionName) -> u32 {
        let pinned = |id: &&AttemptId| {
            let pin = self
                .attempts
                .get(id)
                .and_then(|attempt| attempt.pin.as_ref());
            pin.is_some_and(|pin| pin.0 == *model && pin.1 == *version)
        };
        self.live.iter().filter(pinned).count() as u32
    }

    /// Returns how many live attempts are pinned to each version.
    pub fn pins(&self) -> Pins {
        let mut pins = Pins::new();
        let attempts = self.live.iter().filter_map(|id| self.attempts.get(id));
        for (model, version, ..) in attempts.filter_map(|attempt| attempt.pin.clone()) {
            let versions = pins.entry(model).or_default();
            *versions.entry(version).or_default() += 1;
        }
        pins
    }

    fn resume_starts(&mut self) {
        self.broken = None;
        self.admission.set_paused(false);
    }

    fn running(&mut self, id: AttemptId) -> Option<&mut super::AttemptState> {
        self.attempts
            .get_mut(&id)
            .filter(|attempt| attempt.stage == Stage::Running)
    }

    fn refuse_waiting(&mut self, now: Time, reason: NotRunReason) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        let waiting = |id: &AttemptId| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.ran() == Ran::No)
        };
        let ids: Vec<AttemptId> = self.live.iter().copied().filter(waiting).collect();
        for &id in &ids {
            // All leave the queue before any place is given away.
            self.admission.release(now, id);
        }
        for id in ids {
            self.end(now, id, End::NotRun(reason), &mut steps);
        }
        steps
    }
}
