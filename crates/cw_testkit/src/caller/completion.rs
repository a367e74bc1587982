//! What a caller has received.

use std::time::Duration;
use std::time::Instant;

use cw_types::TokenId;
use serde_json::Value;

use super::Event;

/// Tokens that came in one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When they came.
    pub at: Instant,
    /// How many tokens the caller had then.
    pub tokens: usize,
    /// The target that made them, as the event's id names it.
    pub target: Option<String>,
}

/// What a caller has received of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Completion {
    /// The tokens.
    pub ids: Vec<TokenId>,
    /// The text.
    pub text: String,
    /// When tokens came.
    pub arrivals: Vec<Arrival>,
    /// The id of the last event.
    pub last_event_id: Option<String>,
    /// How the output ended, if it is whole.
    pub finish_reason: Option<String>,
    /// Whether the stream was closed as it should be.
    pub closed: bool,
    /// The error that ended the stream.
    pub error: Option<Value>,
}

impl Completion {
    /// Returns whether the whole answer came.
    pub fn is_complete(&self) -> bool {
        self.finish_reason.is_some() && self.closed && self.error.is_none()
    }

    /// Adds an event of a stream.
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

    /// Adds what a body or an event holds.
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

    /// Returns when the first token came.
    pub fn first_token_at(&self) -> Option<Instant> {
        self.arrivals.first().map(|arrival| arrival.at)
    }

    /// Returns the target that served the stream at a moment.
    pub fn target_at(&self, moment: Instant) -> Option<&str> {
        let before = self.arrivals.iter().rev().find(|a| a.at <= moment)?;
        before.target.as_deref()
    }

    /// Returns how long after a fault the stream went on: the end of its longest gap since.
    pub fn resume_latency(&self, fault: Instant) -> Option<Duration> {
        let start = self.arrivals.iter().rposition(|a| a.at <= fault)?;
        let gap = |pair: &&[Arrival]| pair[1].at - pair[0].at;
        let longest = self.arrivals[start..].windows(2).max_by_key(gap)?;
        Some(longest[1].at.saturating_duration_since(fault))
    }
}

/// Reads the target from an event's id, `GENERATION/ATTEMPT/INDEX/TARGET/..`.
fn target_of(id: &str) -> Option<String> {
    id.split('/').nth(3).map(str::to_owned)
}
