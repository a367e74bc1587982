//! The rule for state that belongs to one incarnation.

use cw_types::Incarnation;

/// How the incarnation in a message relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// It is the current one.
    Same,
    /// It follows the current one, whose state ends with it.
    Later,
    /// It has ended. Its messages arrive late and change nothing.
    Earlier,
}

/// The incarnation of a target or process to which some state belongs.
///
/// A target may start again under its id, and a process on its host. Counts and sequence numbers then
/// start anew, so nothing that is known of one incarnation applies to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CurrentIncarnation(Incarnation);

impl CurrentIncarnation {
    /// Returns the rule for state that belongs to `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(incarnation)
    }

    /// Returns the current incarnation.
    pub fn get(self) -> Incarnation {
        self.0
    }

    /// Makes a later incarnation the current one, and returns how the given one relates to the one
    /// before.
    pub fn observe(&mut self, incarnation: Incarnation) -> IncarnationOrder {
        let order = self.order(incarnation);
        if order == IncarnationOrder::Later {
            self.0 = incarnation;
        }
        order
    }

    /// Returns how an incarnation relates to the current one.
    pub fn order(self, incarnation: Incarnation) -> IncarnationOrder {
        match incarnation.cmp(&self.0) {
            std::cmp::Ordering::Equal => IncarnationOrder::Same,
            std::cmp::Ordering::Greater => IncarnationOrder::Later,
            std::cmp::Ordering::Less => IncarnationOrder::Earlier,
        }
    }
}
