//! The JSON of answers to generations.

use cw_types::AdapterName;
use cw_types::AttemptId;
use cw_types::GenerationId;
use cw_types::TokenId;
use cw_types::VersionName;
use cw_wire::FinishReason;
use serde::Serialize;

use super::completion::Form;
use super::event_id::EventId;
use super::output::Piece;

/// How the answers to one generation are written.
#[derive(Clone, Debug)]
pub(crate) struct Format {
    /// The generation.
    pub(crate) generation: GenerationId,
    /// The id of the answer.
    pub(crate) id: String,
    /// The version that it is pinned to.
    pub(crate) version: VersionName,
    /// The adapter that it is pinned to.
    pub(crate) adapter: Option<AdapterName>,
    /// The model, as the caller named it.
    pub(crate) model: String,
    /// When it was accepted, in seconds since the Unix epoch.
    pub(crate) created: i64,
    /// Whether token ids are written.
    pub(crate) ids: bool,
    /// The form of the answer.
    pub(crate) form: Form,
}

/// An answer, whole or one event of it.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    created: i64,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    content: Content,
    #[serde(skip_serializing_if = "Option::is_none")]
    token_ids: Option<Vec<TokenId>>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Content {
    Text(String),
    Delta(Delta),
    Message(ChatMessage),
}

#[derive(Debug, Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "String::is_empty")]
    content: String,
}

#[derive(Debug, Serialize)]
struct ChatMessage {
    role: &'static str,
    content: String,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Who speaks in the output of a chat.
const ROLE: &str = "assistant";

impl Format {
    /// Returns the id of the event that carries `piece`.
    pub(crate) fn event_id(&self, piece: &Piece) -> EventId {
        EventId {
            attempt: AttemptId {
                generation: self.generation,
                attempt: piece.attempt,
            },
            next: piece.first.plus(piece.tokens.len()),
            target: piece.target.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
        }
    }

    /// Returns the event for some tokens.
    pub(crate) fn piece(&self, piece: &Piece) -> Answer<'_> {
        let text = piece.tokens.iter().map(|t| t.text.as_str()).collect();
        let ids = || piece.tokens.iter().map(|token| token.id).collect();
        let role = (piece.first.0 == 0).then_some(ROLE);
        self.event(self.delta(role, text), self.ids.then(ids), None)
    }

    /// Returns the event that ends a whole output.
    pub(crate) fn finish(&self, finish: FinishReason) -> Answer<'_> {
        self.event(self.delta(None, String::new()), None, Some(finish))
    }

    /// Returns the answer that is not streamed.
    pub(crate) fn whole(
        &self,
        text: String,
        ids: Vec<TokenId>,
        finish: FinishReason,
    ) -> Answer<'_> {
        let usage = Usage {
            completion_tokens: ids.len() as u64,
        };
        let content = match self.form {
            Form::Text => Content::Text(text),
            Form::Chat => Content::Message(ChatMessage {
                role: ROLE,
                content: text,
            }),
        };
        let mut answer = self.event(content, self.ids.then_some(ids), Some(finish));
        answer.usage = Some(usage);
        answer.object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion",
        };
        answer
    }

    fn delta(&self, role: Option<&'static str>, content: String) -> Content {
        match self.form {
            Form::Text => Content::Text(content),
            Form::Chat => Content::Delta(Delta { role, content }),
        }
    }

    fn event(
        &self,
        content: Content,
        token_ids: Option<Vec<TokenId>>,
        finish_reason: Option<FinishReason>,
    ) -> Answer<'_> {
        let object = match self.form {
            Form::Text => "text_completion",
            Form::Chat => "chat.completion.chunk",
        };
        let choice = Choice {
            index: 0,
            content,
            token_ids,
            finish_reason,
        };
        Answer {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }
}
