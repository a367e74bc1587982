//! The outcome of a generation, as computed from its steps.

use std::time::Duration;

use cw_macro::data;
use cw_types::DurationText;
use cw_types::ErrorKind;
use cw_types::Ran;
use serde_with::serde_as;

use crate::Step;

/// How a generation ended.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It has not ended.
    #[default]
    Open,
    /// The caller received the complete response.
    #[serde(rename = "whole")]
    Complete,
    /// The caller received an error.
    Failed {
        /// The error that was reported to the caller.
        kind: ErrorKind,
        /// Whether the request was run.
        ran: Ran,
    },
    /// The caller disconnected.
    Abandoned,
}

/// The outcome of a generation.
#[serde_as]
#[data(Default, Eq)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// How the generation ended.
    pub ending: Ending,
    /// The number of tokens delivered to the caller.
    pub delivered: u64,
    /// The number of tokens delivered to the caller after a gap or more than once.
    #[serde(rename = "misplaced", default)]
    pub out_of_order: u64,
    /// The number of dispatched attempts.
    pub dispatches: u32,
    /// The number of attachments to a running attempt over a new connection.
    #[serde(default)]
    pub attachments: u32,
    /// The longest interruption of the output after a loss.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(rename = "slowest", default)]
    pub longest_gap: Option<Duration>,
}

impl Outcome {
    /// Adds a step to the outcome; `next` is the next token index that the caller expects.
    pub fn observe(&mut self, next: &mut Option<u64>, step: &Step) {
        match step {
            Step::Dispatch { .. } => self.dispatches += 1,
            Step::Attach { .. } => self.attachments += 1,
            Step::Deliver { first, tokens, .. } => {
                let count = tokens.len() as u64;
                let expected = next.unwrap_or(first.0);
                self.delivered += count;
                if first.0 != expected {
                    self.out_of_order += count;
                }
                *next = Some(first.0 + count);
            }
            Step::Finish(_) | Step::Answer { .. } => self.ending = Ending::Complete,
            Step::Fail { kind, ran, .. } => {
                let (kind, ran) = (*kind, *ran);
                self.ending = Ending::Failed { kind, ran };
            }
            Step::Abandon => self.ending = Ending::Abandoned,
            Step::Resumed { latency } => self.longest_gap = self.longest_gap.max(Some(*latency)),
            _ => {}
        }
    }
}
