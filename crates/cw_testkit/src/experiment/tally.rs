//! Comparison of what callers received with what they should have received.

use cw_macro::data;
use cw_types::TokenId;

use crate::CallError;
use crate::Completion;
use crate::CompletionRequest;
use crate::MODEL;
use crate::VERSION;

/// How far ahead a token is looked for before it counts as another generation's.
const LOOK_AHEAD: usize = 256;

/// What was wrong with the answers of a run.
#[data(Default, Eq)]
pub struct Tally {
    /// Answers that came whole.
    pub whole: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that ended otherwise than by a whole answer or a refusal.
    pub lost: u64,
    /// Tokens delivered.
    pub delivered: u64,
    /// Tokens that a whole answer lacks.
    pub missing: u64,
    /// Tokens delivered twice.
    pub repeated: u64,
    /// Tokens that do not belong to the answer.
    pub mixed: u64,
}

impl Tally {
    /// Adds the outcome of one request.
    pub fn add(&mut self, ask: &CompletionRequest, outcome: &Result<Completion, CallError>) {
        match outcome {
            Ok(answer) => self.add_answer(ask, answer),
            Err(error) if error.ran() == Some("no") => self.refused += 1,
            Err(_) => self.lost += 1,
        }
    }

    /// Returns whether every answer came whole and right.
    pub fn is_clean(&self) -> bool {
        self.lost + self.missing + self.repeated + self.mixed == 0
    }

    fn add_answer(&mut self, ask: &CompletionRequest, answer: &Completion) {
        self.delivered += answer.ids.len() as u64;
        let expected = ask.expected(MODEL, VERSION);
        let reached = self.compare(&expected, &answer.ids);
        match answer.is_complete() {
            true => {
                self.whole += 1;
                self.missing += (expected.len() - reached) as u64;
            }
            false => self.lost += 1,
        }
    }

    /// Compares tokens in order, and returns how far they reach.
    fn compare(&mut self, expected: &[TokenId], found: &[TokenId]) -> usize {
        let mut next = 0;
        for token in found {
            let ahead = expected[next..].iter().take(LOOK_AHEAD);
            match ahead.clone().position(|other| other == token) {
                Some(0) => next += 1,
                _ if expected[..next].contains(token) => self.repeated += 1,
                Some(skipped) => {
                    self.missing += skipped as u64;
                    next += skipped + 1;
                }
                None => self.mixed += 1,
            }
        }
        next
    }
}
