//! A short list of candidates, of fixed size.

/// The most candidates that a decision weighs.
const LENGTH_MAX: usize = 24;

/// The best few of many, without allocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortlist {
    items: [(u64, usize); LENGTH_MAX],
    length: usize,
}

impl Shortlist {
    /// Returns an empty list.
    pub(super) fn new() -> Self {
        Self {
            items: [(0, 0); LENGTH_MAX],
            length: 0,
        }
    }

    /// Inserts `item` if its weight is among the highest `most`, in falling order of weight.
    pub(super) fn offer(&mut self, weight: u64, item: usize, most: usize) {
        let most = most.min(LENGTH_MAX);
        if self.length == most && weight <= self.items[most - 1].0 {
            return;
        }
        let place = self.items[..self.length].partition_point(|entry| entry.0 >= weight);
        if self.length < most {
            self.length += 1;
        }
        self.items.copy_within(place..self.length - 1, place + 1);
        self.items[place] = (weight, item);
    }

    /// Appends `item` unless it is there or the list is full.
    pub(super) fn push(&mut self, item: usize) {
        if self.length < LENGTH_MAX && !self.iter().any(|other| other == item) {
            self.items[self.length] = (0, item);
            self.length += 1;
        }
    }

    /// Returns the items in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.items[..self.length].iter().map(|entry| entry.1)
    }
}
