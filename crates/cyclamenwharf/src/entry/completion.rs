//! The bodies of the completion interfaces.

use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Message;
use cw_wire::Prompt;
use serde::Deserialize;

use super::refusal::Refusal;

/// The most new tokens when the caller names none.
const MAX_TOKENS_DEFAULT: u64 = 256;

/// The most new tokens that a caller may ask for.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// The most stop texts.
const STOPS_MAX: usize = 16;

/// The highest temperature.
const TEMPERATURE_MAX: f64 = 2.0;

/// A prompt as text or tokens.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum PromptBody {
    Text(String),
    Ids(Vec<TokenId>),
}

/// One stop text or several.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum StopBody {
    One(String),
    Several(Vec<String>),
}

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CompletionBody {
    model: String,
    prompt: PromptBody,
    max_tokens: Option<u64>,
    seed: Option<u64>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    stop: Option<StopBody>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    return_token_ids: bool,
    #[serde(default)]
    output_so_far: Vec<TokenId>,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    seed: Option<u64>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    stop: Option<StopBody>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    return_token_ids: bool,
    #[serde(default)]
    output_so_far: Vec<TokenId>,
}

/// The form in which the caller reads the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// That of `/v1/completions`.
    Text,
    /// That of `/v1/chat/completions`.
    Chat,
}

/// What a caller asks for, checked.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    /// The name of the route.
    pub(crate) model: String,
    /// What to start from.
    pub(crate) prompt: Prompt,
    /// The most tokens of the output.
    pub(crate) max_tokens: TokenCount,
    /// The seed, if the caller names one.
    pub(crate) seed: Option<u64>,
    /// The temperature.
    pub(crate) temperature: f64,
    /// The probability mass to draw from.
    pub(crate) top_p: f64,
    /// Texts that end the output.
    pub(crate) stop: Vec<String>,
    /// Whether the answer is a stream of events.
    pub(crate) stream: bool,
    /// Whether events carry token ids.
    pub(crate) ids: bool,
    /// The tokens that the caller holds already.
    pub(crate) so_far: Vec<TokenId>,
    /// The form of the answer.
    pub(crate) form: Form,
}

impl Asked {
    /// Reads the body of `POST /v1/completions`.
    pub(crate) fn completion(bytes: &[u8]) -> Result<Self, Refusal> {
        let body: CompletionBody = read(bytes)?;
        let prompt = match body.prompt {
            PromptBody::Text(text) => Prompt::Text(text),
            PromptBody::Ids(ids) => Prompt::Ids(ids),
        };
        Self {
            model: body.model,
            prompt,
            max_tokens: TokenCount(body.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT)),
            seed: body.seed,
            temperature: body.temperature.unwrap_or(1.0),
            top_p: body.top_p.unwrap_or(1.0),
            stop: stops(body.stop),
            stream: body.stream,
            ids: body.return_token_ids,
            so_far: body.output_so_far,
            form: Form::Text,
        }
        .checked()
    }

    /// Reads the body of `POST /v1/chat/completions`.
    pub(crate) fn chat(bytes: &[u8]) -> Result<Self, Refusal> {
        let body: ChatBody = read(bytes)?;
        if body.messages.is_empty() {
            return Err(Refusal::bad_request("messages: expected at least one"));
        }
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        Self {
            model: body.model,
            prompt: Prompt::Chat(body.messages),
            max_tokens: TokenCount(max_tokens.unwrap_or(MAX_TOKENS_DEFAULT)),
            seed: body.seed,
            temperature: body.temperature.unwrap_or(1.0),
            top_p: body.top_p.unwrap_or(1.0),
            stop: stops(body.stop),
            stream: body.stream,
            ids: body.return_token_ids,
            so_far: body.output_so_far,
            form: Form::Chat,
        }
        .checked()
    }

    fn checked(self) -> Result<Self, Refusal> {
        let range = 1..=MAX_TOKENS_LIMIT;
        if !range.contains(&self.max_tokens.0) {
            let limit = MAX_TOKENS_LIMIT;
            return Err(Refusal::bad_request(format!(
                "max_tokens: expected 1 to {limit}"
            )));
        }
        if !(0.0..=TEMPERATURE_MAX).contains(&self.temperature) {
            return Err(Refusal::bad_request("temperature: expected 0 to 2"));
        }
        if !(self.top_p > 0.0 && self.top_p <= 1.0) {
            return Err(Refusal::bad_request(
                "top_p: expected more than 0 and at most 1",
            ));
        }
        if self.stop.len() > STOPS_MAX || self.stop.iter().any(String::is_empty) {
            return Err(Refusal::bad_request(format!(
                "stop: expected at most {STOPS_MAX} texts, none empty"
            )));
        }
        Ok(self)
    }
}

fn stops(stop: Option<StopBody>) -> Vec<String> {
    match stop {
        None => Vec::new(),
        Some(StopBody::One(text)) => vec![text],
        Some(StopBody::Several(texts)) => texts,
    }
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(Refusal::bad_request)
}
