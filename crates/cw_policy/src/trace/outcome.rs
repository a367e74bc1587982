//! What came out of a generation, as its steps tell.

use std::time::Duration;

use cw_macro::data;
use cw_types::ErrorKind;
use cw_types::Ran;
use cw_types::units::DurationText;
use serde_with::serde_as;

use crate::Step;

/// How a generation ended.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It has not ended.
    #[default]
    Open,
    /// The caller got its whole answer.
    Whole,
    /// The caller got an error.
    Failed {
        /// Which.
        kind: ErrorKind,
        /// Whether the request was run.
        ran: Ran,
    },
    /// The caller was gone.
    Abandoned,
}

/// What came out of a generation.
#[serde_as]
#[data(Default, Eq)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// How many tokens reached the caller.
    pub delivered: u64,
    /// How many tokens reached the caller out of their place: missing before them, or again.
    #[serde(default)]
    pub misplaced: u64,
    /// How many attempts were dispatched.
    pub dispatches: u32,
    /// How often an attempt was reached again over a new connection.
    #[serde(default)]
    pub attachments: u32,
    /// The longest time for which output stood still after a loss.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub slowest: Option<Duration>,
}

impl Outcome {
    /// Takes in one step; `next` is the index that the caller needs next.
    pub fn observe(&mut self, next: &mut Option<u64>, step: &Step) {
        match step {
            Step::Dispatch { .. } => self.dispatches += 1,
            Step::Attach { .. } => self.attachments += 1,
            Step::Deliver { first, tokens, .. } => {
                let count = tokens.len() as u64;
                let expected = next.unwrap_or(first.0);
                self.delivered += count;
                if first.0 != expected {
                    self.misplaced += count;
                }
                *next = Some(first.0 + count);
            }
            Step::Finish(_) | Step::Answer { .. } => self.ending = Ending::Whole,
            Step::Fail { kind, ran, .. } => {
                let (kind, ran) = (*kind, *ran);
                self.ending = Ending::Failed { kind, ran };
            }
            Step::Abandon => self.ending = Ending::Abandoned,
            Step::Resumed { latency } => self.slowest = self.slowest.max(Some(*latency)),
            _ => {}
        }
    }
}
