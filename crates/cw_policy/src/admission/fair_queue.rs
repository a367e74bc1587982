//! A priority queue with fair shares between workspaces and a bound on every wait.

use std::collections::BTreeMap;

use cw_types::AttemptId;
use cw_types::Time;
use cw_types::WorkspaceId;

/// One in this many starts goes to the oldest ticket, whatever its rank.
const OLDEST_FIRST_PERIOD: u64 = 8;
/// The virtual time that one start costs a workspace of weight 1.
const START_COST: u64 = 1 << 20;

/// A request to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The attempt to admit.
    pub id: AttemptId,
    /// The workspace of the attempt.
    pub workspace: WorkspaceId,
    /// The fair-queueing weight of the workspace.
    pub weight: u32,
    /// The rank of its priority; higher ranks start first.
    pub rank: u8,
    /// Whether the attempt resumes a lost one; such attempts start before all ranks.
    pub resumed: bool,
    /// When the attempt stops waiting.
    pub deadline: Time,
    /// The tokens that the attempt adds to the engine's KV cache at its start.
    pub tokens: u64,
    /// The memory that the attempt takes while it waits, in bytes.
    pub bytes: u64,
}

/// A priority class; the lowest value starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    ordinary: bool,
    inverted_rank: u8,
}

impl Class {
    fn of(ticket: &Ticket) -> Self {
        Self {
            ordinary: !ticket.resumed,
            inverted_rank: u8::MAX - ticket.rank,
        }
    }
}

/// A ticket's sort key: class, virtual finish time, arrival number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    class: Class,
    finish: u64,
    arrival: u64,
}

/// The virtual clock of one class.
#[derive(Clone, Debug, Default)]
struct VirtualClock {
    now: u64,
    finishes: BTreeMap<WorkspaceId, u64>,
}

/// Weighted fair queueing between the workspaces of a class, and strict priority between classes,
/// except that every eighth start goes to the oldest ticket of all classes.
///
/// A ticket with `n` older tickets in the queue therefore starts within `8 × (n + 1)` starts,
/// whatever its rank.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    tickets: BTreeMap<QueueKey, Ticket>,
    arrivals: BTreeMap<u64, QueueKey>,
    keys: BTreeMap<AttemptId, QueueKey>,
    clocks: BTreeMap<Class, VirtualClock>,
    arrival: u64,
    starts: u64,
    bytes: u64,
}

impl FairQueue {
    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the memory that the waiting tickets take, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a ticket.
    pub fn push(&mut self, ticket: Ticket) {
        let class = Class::of(&ticket);
        let clock = self.clocks.entry(class).or_default();
        let previous = clock.finishes.get(&ticket.workspace).copied();
        let start = clock.now.max(previous.unwrap_or_default());
        let finish = start + START_COST / u64::from(ticket.weight.max(1));
        clock.finishes.insert(ticket.workspace.clone(), finish);
        self.bytes += ticket.bytes;
        self.arrival += 1;
        let key = QueueKey {
            class,
            finish,
            arrival: self.arrival,
        };
        self.keys.insert(ticket.id, key);
        self.arrivals.insert(self.arrival, key);
        self.tickets.insert(key, ticket);
    }

    /// Returns the next ticket; with `resumed_only`, only if it resumes an attempt.
    pub fn peek(&self, resumed_only: bool) -> Option<&Ticket> {
        self.next_key(resumed_only)
            .and_then(|key| self.tickets.get(&key))
    }

    /// Removes and returns the next ticket, as [`FairQueue::peek`] chooses it.
    pub fn pop(&mut self, resumed_only: bool) -> Option<Ticket> {
        let key = self.next_key(resumed_only)?;
        if !resumed_only {
            self.starts += 1;
        }
        let clock = self.clocks.entry(key.class).or_default();
        clock.now = clock.now.max(key.finish);
        self.remove_key(key)
    }

    /// Removes a ticket.
    pub fn remove(&mut self, id: AttemptId) -> Option<Ticket> {
        let key = *self.keys.get(&id)?;
        self.remove_key(key)
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
        let (key, last) = self.tickets.last_key_value()?;
        (Class::of(ticket) < key.class).then_some(last.id)
    }

    fn next_key(&self, resumed_only: bool) -> Option<QueueKey> {
        if resumed_only {
            let first = self.tickets.first_key_value()?;
            return first.1.resumed.then_some(*first.0);
        }
        if (self.starts + 1).is_multiple_of(OLDEST_FIRST_PERIOD) {
            return self.arrivals.values().next().copied();
        }
        self.tickets.keys().next().copied()
    }

    fn remove_key(&mut self, key: QueueKey) -> Option<Ticket> {
        let ticket = self.tickets.remove(&key)?;
        self.bytes -= ticket.bytes;
        self.arrivals.remove(&key.arrival);
        self.keys.remove(&ticket.id);
        let class_empty = !self.tickets.keys().any(|other| other.class == key.class);
        if class_empty {
            // With no ticket waiting, no workspace has a claim to earlier service.
            self.clocks.remove(&key.class);
        }
        Some(ticket)
    }
}
