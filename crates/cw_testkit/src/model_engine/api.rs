//! Request and response bodies of the engine API.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::TokenId;
use cw_types::VersionName;
use cw_wire::Message;
use cw_wire::OrderKind;
use cw_wire::Prompt;
use serde::Deserialize;
use serde::Serialize;

/// A prompt as text or as token ids.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum PromptBody {
    Text(String),
    Ids(Vec<TokenId>),
}

/// The body of `POST /v1/completions` and `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CompletionBody {
    pub(super) model: ModelName,
    pub(super) version: VersionName,
    #[serde(default)]
    pub(super) adapter: Option<AdapterName>,
    #[serde(default)]
    prompt: Option<PromptBody>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) seed: u64,
    #[serde(default, rename = "temperature")]
    _temperature: f64,
    #[serde(default, rename = "top_p")]
    _top_p: f64,
    #[serde(default)]
    pub(super) stop: Vec<String>,
    pub(super) stream: bool,
    pub(super) return_token_ids: bool,
    #[serde(default)]
    pub(super) priority: i64,
    pub(super) request_id: String,
    #[serde(default)]
    pub(super) output_so_far: Vec<TokenId>,
}

impl CompletionBody {
    /// Takes the prompt out of the body, or returns why the request is invalid.
    pub(super) fn prompt(&mut self) -> Result<Prompt, &'static str> {
        if !self.stream || !self.return_token_ids {
            return Err("only streams with token ids are served");
        }
        if self.max_tokens == 0 {
            return Err("max_tokens must be at least 1");
        }
        match (self.prompt.take(), self.messages.take()) {
            (Some(PromptBody::Text(text)), None) => Ok(Prompt::Text(text)),
            (Some(PromptBody::Ids(ids)), None) => Ok(Prompt::Ids(ids)),
            (None, Some(messages)) => Ok(Prompt::Chat(messages)),
            _ => Err("expected either prompt or messages"),
        }
    }
}

/// The body of `POST /v1/abort`.
#[derive(Debug, Deserialize)]
pub(super) struct AbortBody {
    pub(super) request_id: String,
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Deserialize)]
pub(super) struct OrderBody {
    pub(super) fencing: u64,
    #[serde(rename = "sequence")]
    pub(super) _sequence: u64,
    pub(super) order: OrderKind,
}

/// Model versions by model.
pub(super) type Versions = BTreeMap<ModelName, BTreeSet<VersionName>>;

/// The response to `GET /v1/load`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct LoadBody {
    pub(super) boot: u64,
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) cached_tokens: u64,
    pub(super) capacity_tokens: u64,
    pub(super) prefill_tokens: u64,
    pub(super) step_micros: u64,
    pub(super) versions: Versions,
}

/// The only choice in an event.
#[derive(Debug, Serialize)]
pub(super) struct ChoiceBody<'a> {
    pub(super) index: u32,
    pub(super) text: &'a str,
    pub(super) token_ids: &'a [TokenId],
    pub(super) finish_reason: Option<&'static str>,
}

/// The number of prompt tokens, and how many of them were in the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct UsageBody {
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// The data of one server-sent event.
#[derive(Debug, Serialize)]
pub(super) struct EventBody<'a> {
    pub(super) id: &'a str,
    pub(super) choices: [ChoiceBody<'a>; 1],
    pub(super) usage: Option<UsageBody>,
}
