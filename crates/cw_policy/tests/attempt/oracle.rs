//! The test oracle: the history of an attempt over all incarnations of its agent.

use cw_types::AttemptId;
use cw_wire::Failure;
use cw_wire::Frame;

use super::fixtures::token;

/// The history of one attempt: its starts, its output, and what entries were told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// The number of times that it was sent to the target.
    pub(crate) starts: u32,
    /// Whether the target ran it, or may have run it.
    pub(crate) ran: bool,
    /// The number of tokens that the target produced.
    pub(crate) produced: u64,
    /// The highest index that a stream has reached.
    pub(crate) reached: u64,
    /// Whether an entry was told that it did not run and never will.
    pub(crate) reported_not_run: bool,
    /// Whether an entry cancelled it.
    pub(crate) cancelled: bool,
}

impl Oracle {
    /// Checks the invariants: at most one start, and none after a report that it did not run.
    pub(crate) fn check(&self, id: AttemptId) -> Result<(), String> {
        if self.starts > 1 {
            return Err(format!("{id} was started {} times", self.starts));
        }
        if self.reported_not_run && self.ran {
            return Err(format!("{id} ran although it was reported as not run"));
        }
        Ok(())
    }
}

/// A stream to an entry, whose frames are checked as they are read.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    next: u64,
    ended: bool,
}

impl Stream {
    /// Returns a stream that starts at index `from`.
    pub(crate) fn new(from: u64) -> Self {
        Self {
            next: from,
            ended: false,
        }
    }

    /// Checks the next frame.
    pub(crate) fn check_frame(
        &mut self,
        id: AttemptId,
        frame: &Frame,
        oracle: &mut Oracle,
        running: bool,
    ) -> Result<(), String> {
        if self.ended {
            return Err(format!(
                "{id}: received a frame after the last one: {frame:?}"
            ));
        }
        match frame {
            Frame::Tokens { first, tokens } => {
                if first.0 != self.next {
                    return Err(format!(
                        "{id}: expected tokens from index {}, found {first}",
                        self.next
                    ));
                }
                for found in tokens {
                    if *found != token(id, self.next) {
                        return Err(format!("{id}: wrong token at index {}", self.next));
                    }
                    self.next += 1;
                }
            }
            Frame::Done { next, .. } => {
                self.ended = true;
                if next.0 != oracle.produced || self.next < oracle.produced {
                    return Err(format!(
                        "{id}: done at index {next} after {} produced tokens",
                        oracle.produced
                    ));
                }
            }
            Frame::Failed {
                failure: Failure::Trimmed,
                ..
            } if running && oracle.reached <= self.next => {
                return Err(format!("{id}: output from index {} on was lost", self.next));
            }
            Frame::Failed { .. } | Frame::NotRun { .. } => self.ended = true,
            _ => {}
        }
        oracle.reached = oracle.reached.max(self.next);
        Ok(())
    }
}
