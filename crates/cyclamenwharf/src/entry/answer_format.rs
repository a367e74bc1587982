//! The JSON of answers to completion requests.

use cw_types::AdapterName;
use cw_types::AttemptId;
use cw_types::GenerationId;
use cw_types::TokenId;
use cw_types::VersionName;
use cw_wire::FinishReason;
use serde::Serialize;

use super::completion_request::Endpoint;
use super::event_id::EventId;
use super::output::TokenChunk;

/// Formats the answer or the events of one generation.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFormat {
    /// The generation's id.
    pub(crate) generation: GenerationId,
    /// The `id` of the answer.
    pub(crate) id: String,
    /// The model version that the generation is pinned to.
    pub(crate) version: VersionName,
    /// The adapter that the generation is pinned to.
    pub(crate) adapter: Option<AdapterName>,
    /// The model name from the caller's request.
    pub(crate) model: String,
    /// When the request was accepted, in seconds since the Unix epoch.
    pub(crate) created: i64,
    /// Whether the answer includes token ids.
    pub(crate) token_ids: bool,
    /// The endpoint, which decides the JSON of the answer.
    pub(crate) endpoint: Endpoint,
}

/// The JSON of a full answer or of one streamed event.
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

/// The role of the output messages of a chat.
const CHAT_ROLE: &str = "assistant";

impl AnswerFormat {
    /// Returns the id of the event that carries `chunk`.
    pub(crate) fn event_id(&self, chunk: &TokenChunk) -> EventId {
        EventId {
            attempt: AttemptId {
                generation: self.generation,
                attempt: chunk.attempt,
            },
            next: chunk.first.plus(chunk.tokens.len()),
            target: chunk.target.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
        }
    }

    /// Returns the event that carries `chunk`.
    pub(crate) fn chunk_event(&self, chunk: &TokenChunk) -> Answer<'_> {
        let text = chunk.tokens.iter().map(|t| t.text.as_str()).collect();
        let ids = || chunk.tokens.iter().map(|token| token.id).collect();
        let role = (chunk.first.0 == 0).then_some(CHAT_ROLE);
        self.event(self.delta(role, text), self.token_ids.then(ids), None)
    }

    /// Returns the last event of a complete output.
    pub(crate) fn finish_event(&self, finish: FinishReason) -> Answer<'_> {
        self.event(self.delta(None, String::new()), None, Some(finish))
    }

    /// Returns the full answer to a request that is not streamed.
    pub(crate) fn full_answer(
        &self,
        text: String,
        ids: Vec<TokenId>,
        finish: FinishReason,
    ) -> Answer<'_> {
        let usage = Usage {
            completion_tokens: ids.len() as u64,
        };
        let content = match self.endpoint {
            Endpoint::Completions => Content::Text(text),
            Endpoint::Chat => Content::Message(ChatMessage {
                role: CHAT_ROLE,
                content: text,
            }),
        };
        let mut answer = self.event(content, self.token_ids.then_some(ids), Some(finish));
        answer.usage = Some(usage);
        answer.object = match self.endpoint {
            Endpoint::Completions => "text_completion",
            Endpoint::Chat => "chat.completion",
        };
        answer
    }

    fn delta(&self, role: Option<&'static str>, content: String) -> Content {
        match self.endpoint {
            Endpoint::Completions => Content::Text(content),
            Endpoint::Chat => Content::Delta(Delta { role, content }),
        }
    }

    fn event(
        &self,
        content: Content,
        token_ids: Option<Vec<TokenId>>,
        finish_reason: Option<FinishReason>,
    ) -> Answer<'_> {
        let object = match self.endpoint {
            Endpoint::Completions => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
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
