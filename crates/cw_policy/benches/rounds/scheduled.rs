//! The order of the simulated events.

use std::cmp::Ordering;

use cw_types::Time;

/// A future event; events of one time occur in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct Scheduled<E> {
    pub(crate) at: Time,
    pub(crate) sequence: u64,
    pub(crate) event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
