//! The configuration in force at an entry.

use std::sync::Arc;

use cw_types::Config;
use cw_types::ConfigError;
use cw_types::Revision;
use cw_types::Snapshot;
use cw_wire::ConfigResponse;
use snafu::Snafu;

use super::apply_delta;
use super::make_delta;

/// The origin of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The key-value service.
    Store,
    /// Another entry.
    Peer,
}

/// The reason why the snapshot of the key-value service is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Alarm {
    /// The service holds an earlier revision, as after a restore from an older backup.
    #[snafu(display(
        "the key-value service holds revision {found}, but revision {held} is in force"
    ))]
    Reverted {
        /// The revision of the service.
        found: Revision,
        /// The revision in force.
        held: Revision,
    },
    /// The history of the service lacks the last change in force.
    #[snafu(display(
        "the history of revision {found} in the key-value service lacks the change of revision {held} in force"
    ))]
    Diverged {
        /// The revision of the service.
        found: Revision,
        /// The revision in force.
        held: Revision,
    },
}

/// The outcome of applying a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The snapshot is in force. These records could not be read and keep their previous values.
    Applied(Vec<ConfigError>),
    /// The snapshot was in force already.
    Unchanged,
    /// The snapshot is older than the one in force, as that of a lagging peer can be.
    Stale,
    /// The snapshot must not be applied, and operators must be alerted.
    Rejected(Alarm),
    /// The delta could not be applied; the full snapshot has to be fetched.
    NeedsSnapshot,
}

/// The snapshot in force and its typed view. Its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    snapshot: Arc<Snapshot>,
    config: Arc<Config>,
    known: bool,
    alarm: Option<Alarm>,
}

impl ActiveConfig {
    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the typed view of the snapshot.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Returns whether a snapshot has been applied, even an empty one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the reason why the last snapshot of the key-value service was not applied, if any.
    pub fn alarm(&self) -> Option<&Alarm> {
        self.alarm.as_ref()
    }

    /// Applies a snapshot, unless it is older than the one in force or diverges from it.
    pub fn apply(&mut self, source: Source, snapshot: Snapshot) -> ApplyOutcome {
        let outcome = self.classify(source, &snapshot);
        if source == Source::Store {
            self.alarm = match &outcome {
                ApplyOutcome::Rejected(alarm) => Some(alarm.clone()),
                _ => None,
            };
        }
        match outcome {
            ApplyOutcome::Applied(_) => ApplyOutcome::Applied(self.install(snapshot)),
            other => other,
        }
    }

    /// Applies a peer's response.
    pub fn apply_response(&mut self, response: ConfigResponse) -> ApplyOutcome {
        match response {
            ConfigResponse::Current(revision) if revision < self.revision() => ApplyOutcome::Stale,
            ConfigResponse::Current(_) => ApplyOutcome::Unchanged,
            ConfigResponse::Whole(snapshot) => self.apply(Source::Peer, snapshot),
            ConfigResponse::Delta(delta) => match apply_delta(&self.snapshot, &delta) {
                Ok(snapshot) => self.apply(Source::Peer, snapshot),
                Err(_) if delta.to <= self.revision() => ApplyOutcome::Stale,
                Err(_) => ApplyOutcome::NeedsSnapshot,
            },
        }
    }

    /// Returns the response to a peer that has revision `have`.
    pub fn response_to(&self, have: Revision) -> ConfigResponse {
        if !self.known || have >= self.revision() {
            return ConfigResponse::Current(self.revision());
        }
        match make_delta(&self.snapshot, have) {
            Some(delta) if have > Revision::default() => ConfigResponse::Delta(delta),
            _ => ConfigResponse::Whole(Snapshot::clone(&self.snapshot)),
        }
    }

    fn classify(&self, source: Source, snapshot: &Snapshot) -> ApplyOutcome {
        let (found, held) = (snapshot.revision, self.revision());
        if !self.known {
            return ApplyOutcome::Applied(Vec::new());
        }
        if found < held {
            return match source {
                Source::Store => ApplyOutcome::Rejected(Alarm::Reverted { found, held }),
                Source::Peer => ApplyOutcome::Stale,
            };
        }
        if !self.extends_history(snapshot) {
            return ApplyOutcome::Rejected(Alarm::Diverged { found, held });
        }
        match found == held {
            true => ApplyOutcome::Unchanged,
            false => ApplyOutcome::Applied(Vec::new()),
        }
    }

    /// Returns whether the history of `snapshot` contains the last change in force, or starts after
    /// it.
    fn extends_history(&self, snapshot: &Snapshot) -> bool {
        let Some(last) = self.snapshot.changes.last() else {
            return true;
        };
        let same = snapshot
            .changes
            .iter()
            .find(|change| change.revision == last.revision);
        match same {
            Some(change) => change.id == last.id,
            // The last change of a process that was away for very long has been trimmed.
            None => snapshot
                .changes
                .first()
                .is_some_and(|oldest| oldest.revision > last.revision),
        }
    }

    fn install(&mut self, snapshot: Snapshot) -> Vec<ConfigError> {
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
