//! The writing of a claim, which survives the loss of answers.

use super::Claim;

/// The revision of the key-value service that wrote a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimRevision(pub i64);

/// How often the service is asked before it counts as unavailable.
const TRIES: u32 = 4;

/// What the key-value service answered.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimEvent {
    /// The claim was written.
    Written(ClaimRevision),
    /// The key holds this, as a read or a refused write says.
    Holds(Option<(Box<Claim>, ClaimRevision)>),
    /// The answer was lost: a write may have taken effect, or may yet do so.
    Lost,
    /// The call had no effect.
    Unavailable,
}

/// What to do next to write a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Write the claim if the key was last changed at `expected`; `None` if it does not exist.
    Swap {
        /// The revision to expect.
        expected: Option<ClaimRevision>,
        /// The claim.
        claim: Box<Claim>,
    },
    /// Read the key.
    Read,
    /// The claim is written: its attempt may be dispatched.
    Mine(ClaimRevision),
    /// Another claim is there: the attempt must not be dispatched.
    Taken(Box<Claim>, ClaimRevision),
    /// The claim could not be written for sure: the attempt must not be dispatched.
    Unavailable,
}

/// The writing of one claim.
///
/// A lost answer is settled by reading back: the claim's own id says whether the write took effect.
#[derive(Clone, Debug)]
pub struct ClaimWrite {
    claim: Claim,
    expected: Option<ClaimRevision>,
    tries: u32,
}

impl ClaimWrite {
    /// Returns the writing of `claim` over the one of revision `expected`, or over nothing.
    pub fn new(claim: Claim, expected: Option<ClaimRevision>) -> Self {
        Self {
            claim,
            expected,
            tries: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.swap()
    }

    /// Takes in what the service answered and returns what to do next.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written(revision) => ClaimStep::Mine(revision),
            ClaimEvent::Holds(Some((claim, revision))) => self.holds(claim, revision),
            ClaimEvent::Holds(None) if self.expected.is_none() => self.swap(),
            // The claim that was to be replaced has lapsed, so nothing is known of its attempt.
            ClaimEvent::Holds(None) => ClaimStep::Unavailable,
            ClaimEvent::Lost => self.read(),
            ClaimEvent::Unavailable => ClaimStep::Unavailable,
        }
    }

    fn holds(&mut self, claim: Box<Claim>, revision: ClaimRevision) -> ClaimStep {
        if claim.id == self.claim.id {
            return ClaimStep::Mine(revision);
        }
        match self.expected == Some(revision) {
            true => self.swap(),
            false => ClaimStep::Taken(claim, revision),
        }
    }

    fn swap(&mut self) -> ClaimStep {
        self.next(ClaimStep::Swap {
            expected: self.expected,
            claim: Box::new(self.claim.clone()),
        })
    }

    fn read(&mut self) -> ClaimStep {
        self.next(ClaimStep::Read)
    }

    fn next(&mut self, step: ClaimStep) -> ClaimStep {
        self.tries += 1;
        match self.tries > TRIES {
            true => ClaimStep::Unavailable,
            false => step,
        }
    }
}
