//! Request bodies of the completion endpoints, and their validation.

use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Message;
use cw_wire::Prompt;
use serde::Deserialize;

use super::api_error::ApiError;

/// The default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The upper limit of `max_tokens`.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// The maximum number of stop sequences in one request.
const MAX_STOP_SEQUENCES: usize = 16;

/// The upper limit of `temperature`.
const MAX_TEMPERATURE: f64 = 2.0;

/// A prompt as text or as token ids.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum PromptBody {
    Text(String),
    Ids(Vec<TokenId>),
}

/// One stop sequence or a list of them.
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

/// The endpoint that a request was made to, which decides the JSON of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// The endpoint `/v1/completions`.
    Completions,
    /// The endpoint `/v1/chat/completions`.
    Chat,
}

/// A validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// The name of the route.
    pub(crate) model: String,
    /// The input to the model: text, token ids or chat messages.
    pub(crate) prompt: Prompt,
    /// The maximum number of output tokens.
    pub(crate) max_tokens: TokenCount,
    /// The sampling seed, if the caller sets one.
    pub(crate) seed: Option<u64>,
    /// The sampling temperature, from 0 to 2.
    pub(crate) temperature: f64,
    /// The probability mass for nucleus sampling, above 0 and at most 1.
    pub(crate) top_p: f64,
    /// The stop sequences, which end the output.
    pub(crate) stop: Vec<String>,
    /// Whether the answer is streamed as server-sent events.
    pub(crate) stream: bool,
    /// Whether the answer includes token ids.
    pub(crate) token_ids: bool,
    /// The output tokens that a reconnecting caller already has.
    pub(crate) so_far: Vec<TokenId>,
    /// The endpoint that the request was made to, which decides the JSON of the answer.
    pub(crate) endpoint: Endpoint,
}

impl CompletionRequest {
    /// Parses and validates the body of `POST /v1/completions`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`](cw_types::ErrorKind::BadRequest) for an invalid body.
    pub(crate) fn from_completion(bytes: &[u8]) -> Result<Self, ApiError> {
        let body: CompletionBody = parse(bytes)?;
        let prompt = match body.prompt {
            PromptBody::Text(text) => Prompt::Text(text),
            PromptBody::Ids(ids) => Prompt::Ids(ids),
        };
        Self {
            model: body.model,
            prompt,
            max_tokens: TokenCount(body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            seed: body.seed,
            temperature: body.temperature.unwrap_or(1.0),
            top_p: body.top_p.unwrap_or(1.0),
            stop: stop_sequences(body.stop),
            stream: body.stream,
            token_ids: body.return_token_ids,
            so_far: body.output_so_far,
            endpoint: Endpoint::Completions,
        }
        .validated()
    }

    /// Parses and validates the body of `POST /v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`](cw_types::ErrorKind::BadRequest) for an invalid body.
    pub(crate) fn from_chat(bytes: &[u8]) -> Result<Self, ApiError> {
        let body: ChatBody = parse(bytes)?;
        if body.messages.is_empty() {
            return Err(ApiError::bad_request("messages: expected at least one"));
        }
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        Self {
            model: body.model,
            prompt: Prompt::Chat(body.messages),
            max_tokens: TokenCount(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            seed: body.seed,
            temperature: body.temperature.unwrap_or(1.0),
            top_p: body.top_p.unwrap_or(1.0),
            stop: stop_sequences(body.stop),
            stream: body.stream,
            token_ids: body.return_token_ids,
            so_far: body.output_so_far,
            endpoint: Endpoint::Chat,
        }
        .validated()
    }

    fn validated(self) -> Result<Self, ApiError> {
        let range = 1..=MAX_TOKENS_LIMIT;
        if !range.contains(&self.max_tokens.0) {
            let limit = MAX_TOKENS_LIMIT;
            return Err(ApiError::bad_request(format!(
                "max_tokens: expected 1 to {limit}"
            )));
        }
        if !(0.0..=MAX_TEMPERATURE).contains(&self.temperature) {
            return Err(ApiError::bad_request("temperature: expected 0 to 2"));
        }
        if !(self.top_p > 0.0 && self.top_p <= 1.0) {
            return Err(ApiError::bad_request(
                "top_p: expected more than 0 and at most 1",
            ));
        }
        if self.stop.len() > MAX_STOP_SEQUENCES || self.stop.iter().any(String::is_empty) {
            return Err(ApiError::bad_request(format!(
                "stop: expected at most {MAX_STOP_SEQUENCES} texts, none empty"
            )));
        }
        Ok(self)
    }
}

fn stop_sequences(stop: Option<StopBody>) -> Vec<String> {
    match stop {
        None => Vec::new(),
        Some(StopBody::One(text)) => vec![text],
        Some(StopBody::Several(texts)) => texts,
    }
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(bytes).map_err(ApiError::bad_request)
}
