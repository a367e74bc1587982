//! The snapshot in force.

use std::sync::Arc;

use cw_types::Config;
use cw_types::ConfigError;
use cw_types::Revision;
use cw_types::Snapshot;
use cw_wire::ConfigResponse;
use snafu::Snafu;

use super::apply_delta;
use super::make_delta;

/// Where a snapshot comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The key-value service.
    Store,
    /// Another entry.
    Peer,
}

/// Why what the key-value service holds is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Alarm {
    /// The service went back, as after a restore from an older backup.
    #[snafu(display("the key-value service holds revision {found}, in force is {held}"))]
    Reverted {
        /// What the service holds.
        found: Revision,
        /// What is in force.
        held: Revision,
    },
    /// The service holds a history that lacks what is in force.
    #[snafu(display("revision {found} of the key-value service lacks change {held} in force"))]
    Diverged {
        /// What the service holds.
        found: Revision,
        /// What is in force.
        held: Revision,
    },
}

/// What became of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum Taking {
    /// It is in force; these records could not be read, and what was known of them goes on.
    Applied(Vec<ConfigError>),
    /// It was in force already.
    Same,
    /// It is older than what is in force, as a peer that lags may have it.
    Older,
    /// It must not be taken, and operators have to know.
    Held(Alarm),
    /// Only the whole snapshot will do.
    NeedsWhole,
}

/// The snapshot in force, which never goes back.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    snapshot: Arc<Snapshot>,
    config: Arc<Config>,
    known: bool,
    alarm: Option<Alarm>,
}

impl InForce {
    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns its typed view.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns its revision.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Returns whether any configuration is known, were it the empty one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns why the key-value service is not followed, if so.
    pub fn alarm(&self) -> Option<&Alarm> {
        self.alarm.as_ref()
    }

    /// Takes a snapshot, unless that would go back.
    pub fn take(&mut self, source: Source, snapshot: Snapshot) -> Taking {
        let outcome = self.judge(source, &snapshot);
        if source == Source::Store {
            self.alarm = match &outcome {
                Taking::Held(alarm) => Some(alarm.clone()),
                _ => None,
            };
        }
        match outcome {
            Taking::Applied(_) => Taking::Applied(self.apply(snapshot)),
            other => other,
        }
    }

    /// Takes a peer's answer.
    pub fn take_answer(&mut self, answer: ConfigResponse) -> Taking {
        match answer {
            ConfigResponse::Current(revision) if revision < self.revision() => Taking::Older,
            ConfigResponse::Current(_) => Taking::Same,
            ConfigResponse::Whole(snapshot) => self.take(Source::Peer, snapshot),
            ConfigResponse::Delta(delta) => match apply_delta(&self.snapshot, &delta) {
                Ok(snapshot) => self.take(Source::Peer, snapshot),
                Err(_) if delta.to <= self.revision() => Taking::Older,
                Err(_) => Taking::NeedsWhole,
            },
        }
    }

    /// Answers a peer that has revision `have`.
    pub fn answer(&self, have: Revision) -> ConfigResponse {
        if !self.known || have >= self.revision() {
            return ConfigResponse::Current(self.revision());
        }
        match make_delta(&self.snapshot, have) {
            Some(delta) if have > Revision::default() => ConfigResponse::Delta(delta),
            _ => ConfigResponse::Whole(Snapshot::clone(&self.snapshot)),
        }
    }

    fn judge(&self, source: Source, snapshot: &Snapshot) -> Taking {
        let (found, held) = (snapshot.revision, self.revision());
        if !self.known {
            return Taking::Applied(Vec::new());
        }
        if found < held {
            return match source {
                Source::Store => Taking::Held(Alarm::Reverted { found, held }),
                Source::Peer => Taking::Older,
            };
        }
        if !self.continues(snapshot) {
            return Taking::Held(Alarm::Diverged { found, held });
        }
        match found == held {
            true => Taking::Same,
            false => Taking::Applied(Vec::new()),
        }
    }

    /// Returns whether `snapshot` has the last change in force in its history.
    fn continues(&self, snapshot: &Snapshot) -> bool {
        let Some(last) = self.snapshot.changes.last() else {
            return true;
        };
        let same = snapshot
            .changes
            .iter()
            .find(|change| change.revision == last.revision);
        match same {
            Some(change) => change.id == last.id,
            // A process that was away for very long finds its last change trimmed.
            None => snapshot
                .changes
                .first()
                .is_some_and(|oldest| oldest.revision > last.revision),
        }
    }

    fn apply(&mut self, snapshot: Snapshot) -> Vec<ConfigError> {
        let (mut config, errors) = Config::from_snapshot(&snapshot);
        for error in &errors {
            config.keep_previous(&error.key, &self.config);
        }
        self.snapshot = Arc::new(snapshot);
        self.config = Arc::new(config);
        self.known = true;
        errors
    }
}
