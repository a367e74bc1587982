//! What is true of one attempt over all lives of its agent.

use cw_types::AttemptId;
use cw_wire::Failure;
use cw_wire::Frame;

use super::fixtures::token;

/// What is true of one attempt: how often it ran, what it produced, and what was promised.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// How often the target was given it.
    pub(crate) starts: u32,
    /// Whether the target took it up.
    pub(crate) ran: bool,
    /// How many tokens the target produced.
    pub(crate) produced: u64,
    /// The index that the furthest stream has reached.
    pub(crate) reached: u64,
    /// Whether an entry was told that it was not run and will not be.
    pub(crate) promised: bool,
    /// Whether an entry cancelled it.
    pub(crate) cancelled: bool,
}

impl Oracle {
    /// Checks what must hold at any moment.
    pub(crate) fn check(&self, id: AttemptId) -> Result<(), String> {
        if self.starts > 1 {
            return Err(format!("{id} was started {} times", self.starts));
        }
        if self.promised && self.ran {
            return Err(format!("{id} ran although it was said not to"));
        }
        Ok(())
    }
}

/// One entry's stream, checked as it is read.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    next: u64,
    ended: bool,
}

impl Stream {
    /// Returns a stream that asked for `from`.
    pub(crate) fn new(from: u64) -> Self {
        Self {
            next: from,
            ended: false,
        }
    }

    /// Checks the next frame.
    pub(crate) fn take(
        &mut self,
        id: AttemptId,
        frame: &Frame,
        oracle: &mut Oracle,
        running: bool,
    ) -> Result<(), String> {
        if self.ended {
            return Err(format!("{id}: a frame after the last: {frame:?}"));
        }
        match frame {
            Frame::Tokens { first, tokens } => {
                if first.0 != self.next {
                    return Err(format!("{id}: expected {}, found {first}", self.next));
                }
                for found in tokens {
                    if *found != token(id, self.next) {
                        return Err(format!("{id}: a wrong token at {}", self.next));
                    }
                    self.next += 1;
                }
            }
            Frame::Done { next, .. } => {
                self.ended = true;
                if next.0 != oracle.produced || self.next < oracle.produced {
                    return Err(format!("{id}: done at {next} of {}", oracle.produced));
                }
            }
            Frame::Failed {
                failure: Failure::Trimmed,
                ..
            } if running && oracle.reached <= self.next => {
                return Err(format!("{id}: output from {} on was lost", self.next));
            }
            Frame::Failed { .. } | Frame::NotRun { .. } => self.ended = true,
            _ => {}
        }
        oracle.reached = oracle.reached.max(self.next);
        Ok(())
    }
}
