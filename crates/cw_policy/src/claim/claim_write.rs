//! The write of a claim, which tolerates lost replies of the key-value service.

use super::Claim;

/// The revision of the key-value service at which a claim was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimRevision(pub i64);

/// The number of calls after which the key-value service counts as unavailable.
const MAX_CALLS: u32 = 4;

/// A reply of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimEvent {
    /// The claim is written.
    Written(ClaimRevision),
    /// The current value of the key, or `None` if it does not exist, as returned by a read or a
    /// refused write.
    Current(Option<(Box<Claim>, ClaimRevision)>),
    /// The reply is lost: the write may have taken effect, or may still do so.
    Unconfirmed,
    /// The call has failed without effect.
    Unavailable,
}

/// The next step in writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Write the claim if the key was last changed at `expected`.
    Swap {
        /// The expected revision; `None` if the key must not exist.
        expected: Option<ClaimRevision>,
        /// The claim to write, whose id tells this write from any other.
        claim: Box<Claim>,
    },
    /// Read the key.
    Read,
    /// The claim is written; its attempt may be dispatched.
    Acquired(ClaimRevision),
    /// The key holds another claim; the attempt must not be dispatched.
    Conflict(Box<Claim>, ClaimRevision),
    /// It is not confirmed that the claim is written; the attempt must not be dispatched.
    Unavailable,
}

/// The state machine that writes one claim.
///
/// After a lost reply it reads the key back; the id of the stored claim shows whether the write
/// took effect.
#[derive(Clone, Debug)]
pub struct ClaimWrite {
    claim: Claim,
    expected: Option<ClaimRevision>,
    calls: u32,
}

impl ClaimWrite {
    /// Returns a write of `claim` that replaces the claim of revision `expected`, or creates the
    /// key if `expected` is `None`.
    pub fn new(claim: Claim, expected: Option<ClaimRevision>) -> Self {
        Self {
            claim,
            expected,
            calls: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.swap()
    }

    /// Processes a reply of the key-value service and returns the next step.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written(revision) => ClaimStep::Acquired(revision),
            ClaimEvent::Current(Some((claim, revision))) => self.on_current(claim, revision),
            ClaimEvent::Current(None) if self.expected.is_none() => self.swap(),
            // The claim to replace has expired, so the state of its attempt is unknown.
            ClaimEvent::Current(None) => ClaimStep::Unavailable,
            ClaimEvent::Unconfirmed => self.read(),
            ClaimEvent::Unavailable => ClaimStep::Unavailable,
        }
    }

    fn on_current(&mut self, claim: Box<Claim>, revision: ClaimRevision) -> ClaimStep {
        if claim.id == self.claim.id {
            return ClaimStep::Acquired(revision);
        }
        match self.expected == Some(revision) {
            true => self.swap(),
            false => ClaimStep::Conflict(claim, revision),
        }
    }

    fn swap(&mut self) -> ClaimStep {
        self.limit_calls(ClaimStep::Swap {
            expected: self.expected,
            claim: Box::new(self.claim.clone()),
        })
    }

    fn read(&mut self) -> ClaimStep {
        self.limit_calls(ClaimStep::Read)
    }

    fn limit_calls(&mut self, step: ClaimStep) -> ClaimStep {
        self.calls += 1;
        match self.calls > MAX_CALLS {
            true => ClaimStep::Unavailable,
            false => step,
        }
    }
}
