//! Sends on probation: a request that was in flight at several crashes, or one with a part of its prompt that
//! was, is sent once at a time, over all entries, and only a few times, until one runs on.
//!
//! One entry counts them for each suspect, its keeper ([`Fleet::trial_keepers`](super::Fleet::trial_keepers));
//! the others ask it before each such send. An entry that hears no other one is the keeper of all.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::HostId;
use cw_types::Time;
use cw_wire::Suspect;
use cw_wire::TrialAnswer;
use cw_wire::TrialEnd;

/// The number of trials of a suspect until one runs on. By the platform's rules, three sends may follow the third
/// crash.
const MAX_TRIALS: usize = 3;

/// How long after a trial without an answer the next one may begin. Within this time the entry finds out
/// whether the target has crashed and announces it.
const VERDICT_TIME: Duration = Duration::from_millis(300);

/// The longest time for which a trial keeps the next one waiting. An entry that is killed does not end its trials,
/// and a prompt is read within a few seconds.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(10);

/// How long the trials of a suspect are remembered, as long as crashes.
const RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of suspects whose trials are remembered.
const MAX_SUSPECTS: usize = 4096;

/// The trials of one suspect since it last ran on.
#[derive(Clone, Debug)]
struct Trials {
    /// How many trials have begun. Those that reached no target are not counted.
    begun: usize,
    /// The entry that has the current trial.
    holder: Option<HostId>,
    /// The time at which the next trial may begin in any case.
    busy_until: Time,
    last_at: Time,
}

/// The trials of the suspects whose keeper this entry is.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialBook {
    suspects: BTreeMap<Suspect, Trials>,
}

impl TrialBook {
    /// Begins a trial of a suspect for an entry, which takes no longer than `longest`, if none is in
    /// progress.
    pub(super) fn begin(
        &mut self,
        now: Time,
        suspect: Suspect,
        holder: &HostId,
        longest: Duration,
    ) -> TrialAnswer {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect) {
            self.remove_oldest();
        }
        let trials = self.suspects.entry(suspect).or_insert(Trials {
            begun: 0,
            holder: None,
            busy_until: now,
            last_at: now,
        });
        if now < trials.busy_until {
            return TrialAnswer::Busy;
        }
        if trials.begun >= MAX_TRIALS {
            return TrialAnswer::Refused;
        }
        trials.begun += 1;
        trials.holder = Some(holder.clone());
        trials.busy_until = now + longest.min(MAX_TRIAL_TIME);
        trials.last_at = now;
        TrialAnswer::Granted
    }

    /// Ends the trial that an entry has.
    pub(super) fn end(&mut self, now: Time, suspect: Suspect, holder: &HostId, end: TrialEnd) {
        let Some(trials) = self.suspects.get_mut(&suspect) else {
            return;
        };
        if trials.holder.as_ref() != Some(holder) {
            return;
        }
        trials.holder = None;
        match end {
            TrialEnd::NotRun => {
                trials.begun -= 1;
                trials.busy_until = now;
            }
            TrialEnd::Lost => trials.busy_until = now + VERDICT_TIME,
            TrialEnd::RanOn => {
                self.suspects.remove(&suspect);
            }
        }
    }

    /// Forgets the trials of a suspect that has run on.
    pub(super) fn clear(&mut self, suspect: Suspect) {
        self.suspects.remove(&suspect);
    }

    /// Drops what is outdated.
    pub(super) fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, trials| now.since(trials.last_at) <= RETENTION);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, trials)| trials.last_at);
        if let Some(suspect) = oldest.map(|(suspect, _)| *suspect) {
            self.suspects.remove(&suspect);
        }
    }
}
