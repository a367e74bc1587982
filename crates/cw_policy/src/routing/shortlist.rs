//! A short list of candidates in an array of fixed size.

/// The maximum number of candidates that a decision compares.
const MAX_LENGTH: usize = 24;

/// A list of a few candidates that needs no heap allocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortlist {
    items: [(u64, usize); MAX_LENGTH],
    length: usize,
}

impl Shortlist {
    /// Returns an empty list.
    pub(super) fn new() -> Self {
        Self {
            items: [(0, 0); MAX_LENGTH],
            length: 0,
        }
    }

    /// Inserts `item` if its weight is among the highest `limit`, in falling order of weight.
    pub(super) fn offer(&mut self, weight: u64, item: usize, limit: usize) {
        let limit = limit.min(MAX_LENGTH);
        if self.length == limit && weight <= self.items[limit - 1].0 {
            return;
        }
        let position = self.items[..self.length].partition_point(|entry| entry.0 >= weight);
        if self.length < limit {
            self.length += 1;
        }
        self.items
            .copy_within(position..self.length - 1, position + 1);
        self.items[position] = (weight, item);
    }

    /// Appends `item` unless the list has it already or is full.
    pub(super) fn push(&mut self, item: usize) {
        if self.length < MAX_LENGTH && !self.iter().any(|other| other == item) {
            self.items[self.length] = (0, item);
            self.length += 1;
        }
    }

    /// Returns the items in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.items[..self.length].iter().map(|entry| entry.1)
    }
}
