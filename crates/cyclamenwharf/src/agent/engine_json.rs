//! The JSON messages of the engine's HTTP interface.

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

/// The engine's priority for rank 0. The engine runs lower priority numbers first, while a dispatch
/// with a higher rank goes first.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// A prompt in the engine's format.
#[derive(Serialize)]
#[serde(untagged)]
enum PromptField<'a> {
    Text(&'a str),
    Ids(&'a [TokenId]),
}

/// The body of a completion request.
#[derive(Serialize)]
pub(super) struct CompletionRequest<'a> {
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

impl<'a> CompletionRequest<'a> {
    /// Returns the path and the body of the request for `work`.
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
            max_tokens: remaining_tokens(work),
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

/// Returns the number of tokens still to be generated.
pub(super) fn remaining_tokens(work: &Generate) -> u64 {
    work.max_tokens.0.saturating_sub(work.so_far.len() as u64)
}

/// The body of an abort request.
#[derive(Serialize)]
pub(super) struct AbortRequest {
    pub(super) request_id: String,
}

/// A choice of a completion event.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Choice {
    text: String,
    texts: Vec<String>,
    token_ids: Vec<TokenId>,
    finish_reason: Option<FinishReason>,
}

/// The token usage of a completion.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Usage {
    cached_tokens: TokenCount,
}

/// An event of a completion's stream.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct CompletionEvent {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

impl CompletionEvent {
    /// Returns the number of cached prompt tokens, if the event contains it.
    pub(super) fn cached_tokens(&self) -> Option<TokenCount> {
        self.usage.as_ref().map(|usage| usage.cached_tokens)
    }

    /// Returns the tokens and the finish reason, if the output has ended, or `None` if the numbers
    /// of texts and token ids differ.
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

/// The engine's response to a load request.
#[derive(Deserialize)]
pub(super) struct EngineLoad {
    /// The boot number of the engine, which changes when the engine restarts.
    pub(super) boot: u64,
    running: u32,
    waiting: u32,
    cached_tokens: u64,
    capacity_tokens: u64,
    prefill_tokens: u64,
    step_micros: u64,
    /// The versions that the engine has loaded, by model.
    pub(super) versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
}

impl EngineLoad {
    /// Returns the engine's part of the load; the agent fills in the other fields.
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

/// The body of an order request.
#[derive(Serialize)]
pub(super) struct OrderRequest<'a> {
    pub(super) fencing: FencingNumber,
    pub(super) sequence: u64,
    pub(super) order: &'a OrderKind,
}

/// The state of an accepted order.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum OrderState {
    /// The order is complete.
    Done,
    /// The order has started.
    Begun,
}

/// The engine's response to an accepted order.
#[derive(Deserialize)]
pub(super) struct OrderAccepted {
    pub(super) state: OrderState,
}

/// The engine's response to an order with an outdated fencing number.
#[derive(Deserialize)]
pub(super) struct OrderFenced {
    pub(super) highest: FencingNumber,
}
