//! The handling of events at the target.

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

use super::AttemptEnd;
use super::AttemptStep;
use super::AttemptTable;
use super::Stage;
use crate::Chunk;
use crate::FlowControl;

impl AttemptTable {
    /// Handles the acceptance of an attempt, with `cached` of its prompt tokens in the cache.
    pub fn on_accepted(
        &mut self,
        now: Time,
        id: AttemptId,
        cached: TokenCount,
    ) -> Vec<AttemptStep> {
        let Some(attempt) = self.running(id) else {
            return Vec::new();
        };
        attempt.last_active = now;
        if attempt.accepted.is_some() {
            return Vec::new();
        }
        attempt.accepted = Some(cached);
        vec![AttemptStep::Wake(id)]
    }

    /// Handles output of the target.
    pub fn on_output(
        &mut self,
        now: Time,
        id: AttemptId,
        chunk: Chunk,
    ) -> (FlowControl, Vec<AttemptStep>) {
        let share = self.limits.output_share();
        let Some(attempt) = self.running(id) else {
            return (FlowControl::Stop, Vec::new());
        };
        attempt.last_active = now;
        attempt.accepted.get_or_insert_default();
        let (bytes, next) = (attempt.output.bytes(), attempt.output.next());
        attempt.output.push(chunk);
        let added = attempt.output.bytes() - bytes;
        let tokens = match attempt.pin {
            Some(_) => attempt.output.next() - next,
            None => 0,
        };
        attempt.paused = attempt.output.bytes() >= share;
        self.output_bytes += added;
        self.admission.add_output(id, tokens);
        let mut steps = vec![AttemptStep::Wake(id)];
        self.trim_output(now, id, &mut steps);
        self.evict_output();
        let paused = self.running(id).is_some_and(|attempt| attempt.paused);
        // The returned `FlowControl` already tells the caller whether to continue reading.
        steps.retain(|step| !matches!(step, AttemptStep::Resume(_)));
        match paused {
            true => (FlowControl::Pause, steps),
            false => (FlowControl::Continue, steps),
        }
    }

    /// Handles the end of an attempt at the target.
    ///
    /// `end` may only be [`AttemptEnd::NotRun`] if it is certain that the attempt did not run.
    pub fn on_end(&mut self, now: Time, id: AttemptId, end: AttemptEnd) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if self.running(id).is_some() {
            self.end(now, id, end, &mut steps);
        }
        steps
    }

    /// Handles a broken connection of an attempt to the target.
    pub fn on_disconnect(&mut self, now: Time, id: AttemptId) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        if let Some(attempt) = self.running(id) {
            let failure = Failure::TargetLost;
            let ran = attempt.ran();
            self.crashes.on_disconnect(now, id);
            // An attempt that starts at a crashed target would be counted as a suspect of the crash.
            self.disconnected_at = Some(now);
            self.admission.set_paused(true);
            self.end(now, id, AttemptEnd::Failed { failure, ran }, &mut steps);
        }
        steps
    }

    /// Handles the load and versions of the target, as it answers a request sent at `asked`.
    pub fn on_load(
        &mut self,
        now: Time,
        asked: Time,
        load: Load,
        versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    ) -> Vec<AttemptStep> {
        let mut steps = Vec::new();
        self.readiness.set_up(versions);
        self.crashes.on_alive(now, asked);
        if self.disconnected_at.is_none_or(|at| at <= asked) {
            self.resume_starts();
        }
        self.admission.observe(load);
        self.start_waiting(now, &mut steps);
        steps
    }

    /// Handles a crash of the target: it refuses connections, or answers with another boot id.
    pub fn on_crash(&mut self, now: Time) {
        // An unload order that was in progress is lost with the crash.
        self.readiness.clear_unloading();
        self.crashes.on_crash(now);
    }

    /// Handles a target that does not answer: waiting attempts are refused.
    pub fn on_down(&mut self, now: Time) -> Vec<AttemptStep> {
        self.readiness.set_down();
        self.resume_starts();
        self.refuse_waiting(now, NotRunReason::TargetDown)
    }

    /// Handles whether the target is leaving: waiting attempts are refused if it is.
    pub fn on_leaving(&mut self, now: Time, leaving: bool) -> Vec<AttemptStep> {
        self.readiness.set_leaving(leaving);
        match leaving {
            true => self.refuse_waiting(now, NotRunReason::Leaving),
            false => Vec::new(),
        }
    }

    /// Sets whether a version is about to be unloaded.
    pub fn on_unloading(&mut self, model: &ModelName, version: &VersionName, unloading: bool) {
        self.readiness.set_unloading(model, version, unloading);
    }

    /// Returns the number of live attempts that are pinned to a version.
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

    /// Returns the number of live attempts that are pinned to each version.
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
        self.disconnected_at = None;
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
            // All leave the queue first, because ending one could start another of them.
            self.admission.release(now, id);
        }
        for id in ids {
            self.end(now, id, AttemptEnd::NotRun(reason), &mut steps);
        }
        steps
    }
}
