//! The targets that have said that they are leaving and that the directory does not list any more.

use std::collections::BTreeMap;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::Listing;

/// How long a departure is remembered. A target that leaves ends its runs first, which takes tens of seconds at most.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// The maximum number of departures that are remembered, more than the targets of a large deployment that leave in
/// [`DEPARTURE_TTL`].
const MAX_DEPARTURES: usize = 4096;

/// The targets that have said that they are leaving and are not listed any more.
///
/// A directory that has come back from an older copy lists them again, and so does an older message.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    departed: BTreeMap<TargetId, (Listing, Time)>,
}

impl Departures {
    /// Records that a target that was leaving is not listed any more.
    pub(super) fn record(&mut self, now: Time, listing: Listing) {
        if self.departed.len() >= MAX_DEPARTURES {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departed.remove(&id);
            }
        }
        self.departed.insert(listing.id.clone(), (listing, now));
    }

    /// Returns whether a record is of a target that has said that it is leaving.
    pub(super) fn contains(&self, listing: &Listing) -> bool {
        let known = self.departed.get(&listing.id);
        known.is_some_and(|(departed, _)| departed.is_same_start(listing))
    }

    /// Forgets old departures.
    pub(super) fn expire(&mut self, now: Time) {
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTURE_TTL);
    }
}
