//! A queue that is fair between workspaces and starves no rank.

use std::collections::BTreeMap;

use cw_types::AttemptId;
use cw_types::Time;
use cw_types::WorkspaceId;

/// Every how many starts the oldest ticket goes first, whatever its rank.
const AGED_TURN: u64 = 8;
/// The virtual time that one start costs a workspace of weight 1.
const COST: u64 = 1 << 20;

/// An attempt that asks to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The attempt.
    pub id: AttemptId,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// The weight of that workspace.
    pub weight: u32,
    /// The rank of its priority: a higher one goes first.
    pub rank: u8,
    /// Whether it continues a lost attempt: those go before all ranks.
    pub resumed: bool,
    /// When it gives up waiting.
    pub deadline: Time,
    /// The tokens that it brings into the engine's cache.
    pub tokens: u64,
    /// The bytes that it keeps while it waits.
    pub bytes: u64,
}

/// Which tickets go first; the lowest is the first to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    ordinary: bool,
    rank_below: u8,
}

impl Class {
    fn of(ticket: &Ticket) -> Self {
        Self {
            ordinary: !ticket.resumed,
            rank_below: u8::MAX - ticket.rank,
        }
    }
}

/// A place in the queue: class, virtual finish time, number of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    class: Class,
    finish: u64,
    arrival: u64,
}

/// The virtual clock of one class.
#[derive(Clone, Debug, Default)]
struct Clock {
    now: u64,
    finishes: BTreeMap<WorkspaceId, u64>,
}

/// Weighted fair queueing between the workspaces of a class, and strict priority between classes,
/// except that every eighth start is given to the oldest ticket of all.
///
/// So a ticket of the lowest rank with `n` older tickets before it starts after at most
/// `8 × (n + 1)` starts.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    tickets: BTreeMap<Place, Ticket>,
    arrivals: BTreeMap<u64, Place>,
    places: BTreeMap<AttemptId, Place>,
    clocks: BTreeMap<Class, Clock>,
    arrival: u64,
    starts: u64,
    bytes: u64,
}

impl FairQueue {
    /// Returns how many tickets wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns how many bytes the waiting tickets keep.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a ticket.
    pub fn push(&mut self, ticket: Ticket) {
        let class = Class::of(&ticket);
        let clock = self.clocks.entry(class).or_default();
        let last = clock.finishes.get(&ticket.workspace).copied();
        let begin = clock.now.max(last.unwrap_or_default());
        let finish = begin + COST / u64::from(ticket.weight.max(1));
        clock.finishes.insert(ticket.workspace.clone(), finish);
        self.bytes += ticket.bytes;
        self.arrival += 1;
        let place = Place {
            class,
            finish,
            arrival: self.arrival,
        };
        self.places.insert(ticket.id, place);
        self.arrivals.insert(self.arrival, place);
        self.tickets.insert(place, ticket);
    }

    /// Returns the ticket that goes next; `reserved` leaves only resumed ones.
    pub fn peek(&self, reserved: bool) -> Option<&Ticket> {
        self.turn(reserved)
            .and_then(|place| self.tickets.get(&place))
    }

    /// Takes the ticket that goes next.
    pub fn pop(&mut self, reserved: bool) -> Option<Ticket> {
        let place = self.turn(reserved)?;
        if !reserved {
            self.starts += 1;
        }
        let clock = self.clocks.entry(place.class).or_default();
        clock.now = clock.now.max(place.finish);
        self.take(place)
    }

    /// Removes a ticket.
    pub fn remove(&mut self, id: AttemptId) -> Option<Ticket> {
        let place = *self.places.get(&id)?;
        self.take(place)
    }

    /// Returns the tickets whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<AttemptId> {
        self.tickets
            .values()
            .filter(|ticket| ticket.deadline <= now)
            .map(|ticket| ticket.id)
            .collect()
    }

    /// Returns the newest ticket of the lowest class if `ticket` is of a higher one.
    pub fn displaced_by(&self, ticket: &Ticket) -> Option<AttemptId> {
        let (place, last) = self.tickets.last_key_value()?;
        (Class::of(ticket) < place.class).then_some(last.id)
    }

    fn turn(&self, reserved: bool) -> Option<Place> {
        if reserved {
            let first = self.tickets.first_key_value()?;
            return first.1.resumed.then_some(*first.0);
        }
        if (self.starts + 1).is_multiple_of(AGED_TURN) {
            return self.arrivals.values().next().copied();
        }
        self.tickets.keys().next().copied()
    }

    fn take(&mut self, place: Place) -> Option<Ticket> {
        let ticket = self.tickets.remove(&place)?;
        self.bytes -= ticket.bytes;
        self.arrivals.remove(&place.arrival);
        self.places.remove(&ticket.id);
        let empty = !self.tickets.keys().any(|other| other.class == place.class);
        if empty {
            // Nobody waits, so nobody is owed anything.
            self.clocks.remove(&place.class);
        }
        Some(ticket)
    }
}
