//! The targets that have said that they are leaving and that the directory does not list any more.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;

use super::Listing;

/// How long a departure is remembered. A target that leaves ends its runs first, which takes tens of seconds at most.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// The maximum number of departures that are remembered, more than the targets of a large deployment that leave in
/// [`DEPARTURE_TTL`].
const MAX_DEPARTURES: usize = 4096;

/// What has left.
#[derive(Clone, Debug)]
enum Departed {
    /// The target of this record.
    Listed(Listing),
    /// A target whose record was gone when it said that it is leaving.
    Unlisted(Incarnation),
}

impl Departed {
    /// Returns whether a record is of what has left.
    fn is_start_of(&self, listing: &Listing) -> bool {
        match self {
            Departed::Listed(departed) => departed.is_same_start(listing),
            Departed::Unlisted(incarnation) => *incarnation == listing.incarnation(),
        }
    }
}

/// The targets that have said that they are leaving and are not listed any more.
///
/// A directory that has come back from an older copy lists them again, and so does an older message.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    departed: BTreeMap<TargetId, (Departed, Time)>,
}

impl Departures {
    /// Records that a target that was leaving is not listed any more.
    pub(super) fn record(&mut self, now: Time, listing: Listing) {
        self.insert(now, listing.id.clone(), Departed::Listed(listing));
    }

    /// Records that an incarnation of a target that is not listed has said that it is leaving. Returns whether that is
    /// new.
    pub(super) fn record_unlisted(
        &mut self,
        now: Time,
        id: &TargetId,
        incarnation: Incarnation,
    ) -> bool {
        // A target that does not tell when it started cannot be told from the next one under its id.
        if incarnation == Incarnation::default() {
            return false;
        }
        let is_known = |departed: &Departed| match departed {
            Departed::Listed(listing) => listing.incarnation() == incarnation,
            Departed::Unlisted(known) => *known == incarnation,
        };
        let known = self.departed.get(id);
        if known.is_some_and(|(departed, _)| is_known(departed)) {
            return false;
        }
        self.insert(now, id.clone(), Departed::Unlisted(incarnation));
        true
    }

    fn insert(&mut self, now: Time, id: TargetId, departed: Departed) {
        if self.departed.len() >= MAX_DEPARTURES {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departed.remove(&id);
            }
        }
        self.departed.insert(id, (departed, now));
    }

    /// Returns whether a record is of a target that has said that it is leaving.
    pub(super) fn contains(&self, listing: &Listing) -> bool {
        let known = self.departed.get(&listing.id);
        known.is_some_and(|(departed, _)| departed.is_start_of(listing))
    }

    /// Returns whether it is known when the target with an id that has left had started.
    pub(super) fn knows_start(&self, id: &TargetId) -> bool {
        match self.departed.get(id) {
            Some((Departed::Listed(listing), _)) => listing.started.is_some(),
            Some((Departed::Unlisted(_), _)) => true,
            None => false,
        }
    }

    /// Forgets old departures.
    pub(super) fn expire(&mut self, now: Time) {
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTURE_TTL);
    }
}
