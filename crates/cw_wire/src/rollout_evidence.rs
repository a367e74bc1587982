//! What an entry has seen of the two versions of a roll-out, as entries tell it to each other.

use std::time::Duration;

use cw_types::RouteName;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::xxh3_64;

/// The upper bound of the shortest times that are told apart. No caller notices a difference below it.
const SHORTEST_TIME: Duration = Duration::from_millis(2);

/// The number of classes of times, each longer by the square root of two than the one before. The last one begins
/// above a minute.
const TIME_CLASSES: usize = 32;

/// A hash that identifies a route in a few bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteHash(u32);

impl RouteHash {
    /// Returns the hash of a route.
    pub fn of_name(route: &RouteName) -> Self {
        Self(xxh3_64(route.as_str().as_bytes()) as u32)
    }
}

/// How many times were of each length. Classes after the last one with a count are not encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeCounts(Vec<u32>);

impl TimeCounts {
    /// Returns the class of a time.
    pub fn class(time: Duration) -> usize {
        let ratio = time.as_secs_f64() / SHORTEST_TIME.as_secs_f64();
        // A negative logarithm becomes 0.
        let class = (2.0 * ratio.max(1.0).log2()) as usize;
        class.min(TIME_CLASSES - 1)
    }

    /// Counts a time.
    pub fn record(&mut self, time: Duration) {
        let class = Self::class(time);
        if self.0.len() <= class {
            self.0.resize(class + 1, 0);
        }
        self.0[class] = self.0[class].saturating_add(1);
    }

    /// Returns the counts by class.
    pub fn counts(&self) -> &[u32] {
        let len = self.0.len().min(TIME_CLASSES);
        &self.0[..len]
    }
}

/// What an entry has seen of one version on one route since the order.
///
/// It is encoded without the names of its fields, which are longer than the values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct SideEvidence {
    /// Requests sent, with repeats, copies and resumptions.
    pub sends: u32,
    /// Answers that the version gave in full.
    pub answers: u32,
    /// Answers that the version itself failed: errors, broken and garbled ones.
    pub failures: u32,
    /// Runs that ended with their connection. They tell of machines and links, not of the version.
    pub losses: u32,
    /// The times to the first part of an answer.
    pub firsts: TimeCounts,
    /// The longest pause within each answer.
    pub pauses: TimeCounts,
}

impl Serialize for SideEvidence {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let counts = (self.sends, self.answers, self.failures, self.losses);
        (
            counts.0,
            counts.1,
            counts.2,
            counts.3,
            &self.firsts,
            &self.pauses,
        )
            .serialize(serializer)
    }
}

/// What an entry has seen of both versions on one route since the order.
///
/// It is encoded without the names of its fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteHash,
    /// All versions but the target.
    pub old: SideEvidence,
    /// The target version.
    pub new: SideEvidence,
}

impl Serialize for RouteEvidence {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.route, &self.old, &self.new).serialize(serializer)
    }
}

/// What one incarnation of an entry has seen since the order. The counts only rise, so the latest message of an
/// incarnation replaces all before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct RolloutEvidence {
    /// By route.
    pub routes: Vec<RouteEvidence>,
    /// Runs in progress at the target version.
    pub runs_new: u32,
    /// Runs in progress at all other versions.
    pub runs_old: u32,
}

impl Serialize for RolloutEvidence {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.routes, self.runs_new, self.runs_old).serialize(serializer)
    }
}
