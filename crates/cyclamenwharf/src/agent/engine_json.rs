//! The engine's HTTP interface in JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::AttemptId;
use cw_types::FencingNumber;
use cw_types::ModelName;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::VersionName;
use cw_wire::FinishReason;
use cw_wire::Generate;
use cw_wire::Load;
use cw_wire::Message;
use cw_wire::OrderKind;
use cw_wire::Prompt;
use cw_wire::Token;
use serde::Deserialize;
use serde::Serialize;

/// The engine's priority of rank 0; a lower number goes first there, a higher rank here.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// A prompt as the engine takes it.
#[derive(Serialize)]
#[serde(untagged)]
enum PromptField<'a> {
    Text(&'a str),
    Ids(&'a [TokenId]),
}

/// The body of a completion.
#[derive(Serialize)]
pub(super) struct Completion<'a> {
    model: &'a ModelName,
    version: &'a VersionName,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<PromptField<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<&'a [Message]>,
    max_tokens: u64,
    seed: u64,
    temperature: f64,
    top_p: f64,
    stop: &'a [String],
    stream: bool,
    return_token_ids: bool,
    priority: u8,
    request_id: String,
    output_so_far: &'a [TokenId],
}

impl<'a> Completion<'a> {
    /// Returns the path and body that ask for `work`.
    pub(super) fn new(id: AttemptId, rank: u8, work: &'a Generate) -> (&'static str, Self) {
        let (path, prompt, messages) = match &work.prompt {
            Prompt::Text(text) => ("/v1/completions", Some(PromptField::Text(text)), None),
            Prompt::Ids(ids) => ("/v1/completions", Some(PromptField::Ids(ids)), None),
            Prompt::Chat(chat) => ("/v1/chat/completions", None, Some(chat.as_slice())),
        };
        let body = Self {
            model: &work.model,
            version: &work.version,
            adapter: work.adapter.as_ref().map(|adapter| adapter.as_str()),
            prompt,
            messages,
            max_tokens: remaining(work),
            seed: work.sampling.seed,
            temperature: work.sampling.temperature,
            top_p: work.sampling.top_p,
            stop: &work.sampling.stop,
            stream: true,
            return_token_ids: true,
            priority: LOWEST_PRIORITY - rank,
            request_id: id.to_string(),
            output_so_far: &work.so_far,
        };
        (path, body)
    }
}

/// Returns how many tokens are still to be produced.
pub(super) fn remaining(work: &Generate) -> u64 {
    work.max_tokens.0.saturating_sub(work.so_far.len() as u64)
}

/// The body of an abort.
#[derive(Serialize)]
pub(super) struct Abort {
    pub(super) request_id: String,
}

/// One choice of an event.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Choice {
    text: String,
    texts: Vec<String>,
    token_ids: Vec<TokenId>,
    finish_reason: Option<FinishReason>,
}

/// How many prompt tokens there were, and how many of them were cached.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Usage {
    cached_tokens: TokenCount,
}

/// One event of a completion.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

impl Event {
    /// Returns how many prompt tokens were cached, if the event says so.
    pub(super) fn cached(&self) -> Option<TokenCount> {
        self.usage.as_ref().map(|usage| usage.cached_tokens)
    }

    /// Returns the tokens and how the output ended, if it did; none if texts and tokens differ in
    /// number.
    pub(super) fn output(self) -> Option<(Vec<Token>, Option<FinishReason>)> {
        let Some(choice) = self.choices.into_iter().next() else {
            return Some((Vec::new(), None));
        };
        let texts = match (choice.texts.is_empty(), choice.token_ids.len()) {
            (true, 0) => Vec::new(),
            (true, _) => vec![choice.text],
            (false, _) => choice.texts,
        };
        if texts.len() != choice.token_ids.len() {
            return None;
        }
        let pairs = choice.token_ids.into_iter().zip(texts);
        let tokens = pairs.map(|(id, text)| Token { id, text }).collect();
        Some((tokens, choice.finish_reason))
    }
}

/// The engine's load.
#[derive(Deserialize)]
pub(super) struct EngineLoad {
    /// The engine's life.
    pub(super) boot: u64,
    running: u32,
    waiting: u32,
    cached_tokens: u64,
    capacity_tokens: u64,
    prefill_tokens: u64,
    step_micros: u64,
    /// The versions it holds.
    pub(super) versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
}

impl EngineLoad {
    /// Returns the load; the agent adds what it knows itself.
    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            cached: TokenCount(self.cached_tokens),
            capacity: TokenCount(self.capacity_tokens),
            prefill: TokenCount(self.prefill_tokens),
            step: Duration::from_micros(self.step_micros),
            ..Load::default()
        }
    }
}

/// The body of an order.
#[derive(Serialize)]
pub(super) struct OrderBody<'a> {
    pub(super) fencing: FencingNumber,
    pub(super) sequence: u64,
    pub(super) order: &'a OrderKind,
}

/// Whether an order is done.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum OrderState {
    /// It is done.
    Done,
    /// It is begun.
    Begun,
}

/// The engine's answer to an order that it takes.
#[derive(Deserialize)]
pub(super) struct OrderTaken {
    pub(super) state: OrderState,
}

/// The engine's answer to an order with an old fencing number.
#[derive(Deserialize)]
pub(super) struct OrderFenced {
    pub(super) highest: FencingNumber,
}
