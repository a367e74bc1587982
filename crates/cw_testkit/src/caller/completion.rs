//! The output of a generation, as a caller receives it.

use std::time::Duration;
use std::time::Instant;

use cw_types::TokenId;
use serde_json::Value;

use super::Event;

/// The arrival of an event with tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When the caller read the event.
    pub at: Instant,
    /// The number of tokens received up to and including this event.
    pub tokens: usize,
    /// The target that generated the tokens, as named in the id of the event.
    pub target: Option<String>,
}

/// The part of one generation that a caller has received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Completion {
    /// The token ids.
    pub ids: Vec<TokenId>,
    /// The text of all received bodies and events, concatenated.
    pub text: String,
    /// The arrivals of events with tokens, in order.
    pub arrivals: Vec<Arrival>,
    /// The id of the last event.
    pub last_event_id: Option<String>,
    /// The finish reason, if the output has ended.
    pub finish_reason: Option<String>,
    /// Whether the stream ended with its closing event, or the response was not streamed.
    pub closed: bool,
    /// The error that ended the generation.
    pub error: Option<Value>,
}

impl Completion {
    /// Returns whether the output is complete and without error.
    pub fn is_complete(&self) -> bool {
        self.finish_reason.is_some() && self.closed && self.error.is_none()
    }

    /// Adds an event of the stream.
    pub fn push(&mut self, event: &Event) {
        self.last_event_id = event.id.clone().or(self.last_event_id.take());
        let Some(data) = &event.data else {
            self.closed = true;
            return;
        };
        if let Some(error) = data.get("error") {
            self.error = Some(error.clone());
            return;
        }
        self.append(data);
        if !self.ids.is_empty() && self.arrivals.last().map(|a| a.tokens) != Some(self.ids.len()) {
            self.arrivals.push(Arrival {
                at: event.at,
                tokens: self.ids.len(),
                target: event.id.as_deref().and_then(target_of),
            });
        }
    }

    /// Appends the tokens, text and finish reason of a response body or of an event.
    pub fn append(&mut self, data: &Value) {
        let choice = &data["choices"][0];
        let ids = choice["token_ids"].as_array().into_iter().flatten();
        let id = |value: &Value| u32::try_from(value.as_u64()?).ok().map(TokenId);
        self.ids.extend(ids.filter_map(id));
        let message = choice["delta"]["content"].as_str();
        let text = choice["text"]
            .as_str()
            .or(message)
            .or(choice["message"]["content"].as_str());
        self.text.push_str(text.unwrap_or_default());
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
    }

    /// Returns when the first token arrived.
    pub fn first_token_at(&self) -> Option<Instant> {
        self.arrivals.first().map(|arrival| arrival.at)
    }

    /// Returns the target that served the stream at `moment`.
    pub fn target_at(&self, moment: Instant) -> Option<&str> {
        let before = self.arrivals.iter().rev().find(|a| a.at <= moment)?;
        before.target.as_deref()
    }

    /// Returns the time from a fault until the stream resumed, which is the end of the longest gap
    /// between tokens since the fault.
    pub fn resume_latency(&self, fault: Instant) -> Option<Duration> {
        let start = self.arrivals.iter().rposition(|a| a.at <= fault)?;
        let gap = |pair: &&[Arrival]| pair[1].at - pair[0].at;
        let longest = self.arrivals[start..].windows(2).max_by_key(gap)?;
        Some(longest[1].at.saturating_duration_since(fault))
    }
}

/// Parses the target from an event id of the form `GENERATION/ATTEMPT/INDEX/TARGET/..`.
fn target_of(id: &str) -> Option<String> {
    id.split('/').nth(3).map(str::to_owned)
}
