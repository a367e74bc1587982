//! One request inside the engine.

use bytes::Bytes;
use cw_types::TokenId;
use cw_wire::Token;
use tokio::sync::mpsc::Sender;

use super::TokenSource;
use super::api::ChoiceBody;
use super::api::EventBody;
use super::api::UsageBody;

/// What became of a job in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It goes on.
    Running,
    /// Its reader is slow: it produced nothing.
    Blocked,
    /// It is over.
    Finished,
}

/// One request inside the engine.
#[derive(Debug)]
pub(super) struct Job {
    /// The request's id.
    pub(super) id: String,
    /// The prompt and the output so far.
    pub(super) tokens: Vec<TokenId>,
    /// How many of them are the prompt's.
    pub(super) prompt: usize,
    /// The output.
    pub(super) source: TokenSource,
    /// How many tokens may still be generated.
    pub(super) remaining: u64,
    /// How many were generated.
    pub(super) generated: u64,
    /// Texts that end the output.
    pub(super) stop: Vec<String>,
    /// Whether the prompt crashes the engine.
    pub(super) poison: bool,
    /// The stream's events.
    pub(super) events: Sender<Bytes>,
}

impl Job {
    /// Returns the tokens that the job needs at most.
    pub(super) fn size(&self) -> u64 {
        self.tokens.len() as u64 + self.remaining
    }

    /// Returns whether the reader is gone.
    pub(super) fn is_cancelled(&self) -> bool {
        self.events.is_closed()
    }

    /// Sends the first event.
    pub(super) fn send_usage(&self, cached: u64) {
        let usage = UsageBody {
            prompt_tokens: self.tokens.len() as u64,
            cached_tokens: cached,
        };
        // The channel is empty, and a reader that is gone is noticed later.
        let _ = self.events.try_send(self.event("", &[], None, Some(usage)));
    }

    /// Generates one token.
    pub(super) fn advance(&mut self) -> Progress {
        if self.events.capacity() < 3 {
            return Progress::Blocked;
        }
        let index = (self.tokens.len() - self.prompt) as u64;
        let token = self.source.token(index);
        if self.stop.iter().any(|stop| token.text.contains(stop)) {
            return self.finish("stop");
        }
        self.tokens.push(token.id);
        self.generated += 1;
        self.remaining -= 1;
        self.send_token(&token);
        if self.remaining == 0 {
            return self.finish("length");
        }
        Progress::Running
    }

    fn send_token(&self, token: &Token) {
        let event = self.event(&token.text, &[token.id], None, None);
        // There is room, and a reader that is gone is noticed later.
        let _ = self.events.try_send(event);
    }

    fn finish(&self, reason: &'static str) -> Progress {
        // There is room, and a reader that is gone is noticed later.
        let _ = self
            .events
            .try_send(self.event("", &[], Some(reason), None));
        let _ = self
            .events
            .try_send(Bytes::from_static(b"data: [DONE]\n\n"));
        Progress::Finished
    }

    fn event(
        &self,
        text: &str,
        token_ids: &[TokenId],
        finish_reason: Option<&'static str>,
        usage: Option<UsageBody>,
    ) -> Bytes {
        let choice = ChoiceBody {
            index: 0,
            text,
            token_ids,
            finish_reason,
        };
        let body = EventBody {
            id: &self.id,
            choices: [choice],
            usage,
        };
        let mut line = b"data: ".to_vec();
        serde_json::to_writer(&mut line, &body).expect("the type has string keys");
        line.extend_from_slice(b"\n\n");
        Bytes::from(line)
    }
}
