//! The sends that a crash of a target may have been caused by.

use std::collections::BTreeSet;

use cw_wire::Suspect;

/// The suspects that were in flight at a target when it crashed, and had not run on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LostSends {
    /// All of them.
    pub(super) suspects: BTreeSet<Suspect>,
    /// The requests all of whose sends to the target began after the request had been lost at another one. Other requests ran
    /// at several targets side by side, and may have been lost with them at one moment for one cause.
    pub(super) repeats: BTreeSet<Suspect>,
}

impl LostSends {
    /// Adds a suspect of a send.
    pub(super) fn insert(&mut self, suspect: Suspect, is_repeat: bool) {
        let is_new = self.suspects.insert(suspect);
        match is_repeat {
            true if is_new => drop(self.repeats.insert(suspect)),
            true => {}
            false => drop(self.repeats.remove(&suspect)),
        }
    }

    /// Adds sends that another entry has told, or that were found later.
    pub(super) fn merge(&mut self, other: &Self) {
        for suspect in &other.suspects {
            self.insert(*suspect, other.repeats.contains(suspect));
        }
    }

    /// Removes a suspect.
    pub(super) fn remove(&mut self, suspect: Suspect) {
        self.suspects.remove(&suspect);
        self.repeats.remove(&suspect);
    }
}
