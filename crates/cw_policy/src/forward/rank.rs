//! The rank of a request among those of its service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The rank of a request. The priority that holds for it goes before that of its route, which orders
/// the requests of a workspace with a priority of its own. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority of the workspace if it has one, otherwise that of the route.
    pub priority: u8,
    /// The priority of the route.
    pub route: u8,
}

impl Rank {
    /// Returns the rank of a request to a route, from a workspace without a priority of its own.
    pub fn of_route(priority: u8) -> Self {
        Self {
            priority,
            route: priority,
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.route)
    }
}

impl FromStr for Rank {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (priority, route) = text.split_once('.').unwrap_or((text, text));
        Ok(Self {
            priority: priority.parse()?,
            route: route.parse()?,
        })
    }
}

/// The place of the route of a request among the priorities of all routes to its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RankPlace {
    /// The routes to the service have one priority only.
    #[default]
    Only,
    /// No other route is more urgent.
    First,
    /// Some route is more urgent, whatever is below.
    Behind,
}

impl RankPlace {
    /// Returns the place of the route of `rank` among those of `ranks`.
    pub fn among(rank: Rank, ranks: impl Iterator<Item = Rank>) -> Self {
        let mut place = RankPlace::Only;
        for other in ranks {
            if other.route < rank.route {
                return RankPlace::Behind;
            }
            if other.route > rank.route {
                place = RankPlace::First;
            }
        }
        place
    }
}
