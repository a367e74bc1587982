//! Compares the answers that callers received with the expected ones.

use cw_macro::data;
use cw_types::TokenId;

use crate::CallError;
use crate::Completion;
use crate::CompletionRequest;
use crate::MODEL;
use crate::VERSION;

/// How many expected tokens are searched for a received one before it counts as foreign.
const LOOKAHEAD_TOKENS: usize = 256;

/// Counts of requests by outcome, and of tokens that differ from the expected answers.
#[data(Default, Eq)]
pub struct Tally {
    /// Complete answers.
    pub whole: u64,
    /// Requests that were refused without being run.
    pub refused: u64,
    /// Requests that ended with neither a complete answer nor a refusal.
    pub lost: u64,
    /// Tokens that callers received.
    pub delivered: u64,
    /// Expected tokens that an answer skips, or that a complete answer lacks at its end.
    pub missing: u64,
    /// Tokens that were delivered more than once.
    pub repeated: u64,
    /// Tokens that do not belong to the answer, such as those of another generation.
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

    /// Returns whether no request was lost and every answer was correct.
    pub fn is_clean(&self) -> bool {
        self.lost + self.missing + self.repeated + self.mixed == 0
    }

    fn add_answer(&mut self, ask: &CompletionRequest, answer: &Completion) {
        self.delivered += answer.ids.len() as u64;
        let expected = ask.expected(MODEL, VERSION);
        let covered = self.compare(&expected, &answer.ids);
        match answer.is_complete() {
            true => {
                self.whole += 1;
                self.missing += (expected.len() - covered) as u64;
            }
            false => self.lost += 1,
        }
    }

    /// Compares tokens in order, and returns the number of expected tokens that they cover.
    fn compare(&mut self, expected: &[TokenId], received: &[TokenId]) -> usize {
        let mut next = 0;
        for token in received {
            let ahead = expected[next..].iter().take(LOOKAHEAD_TOKENS);
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
