//! The request for a generation.

use std::collections::BTreeMap;

use cw_types::TokenId;
use cw_wire::Prompt;
use serde_json::Value;
use serde_json::json;

use crate::TokenSource;
use crate::prompt_ids;

/// A request for a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The name of the route, sent as the model.
    pub model: String,
    /// The prompt text.
    pub prompt: String,
    /// The maximum number of output tokens.
    pub max_tokens: u64,
    /// The sampling seed.
    pub seed: u64,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// The output that the caller has already received.
    pub output_so_far: Vec<TokenId>,
    /// Additional HTTP headers.
    pub headers: BTreeMap<String, String>,
}

impl CompletionRequest {
    /// Returns a streaming request with seed 7.
    pub fn new(model: &str, prompt: &str, max_tokens: u64) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            seed: 7,
            stream: true,
            output_so_far: Vec::new(),
            headers: BTreeMap::new(),
        }
    }

    /// Requests a single response instead of a stream.
    #[must_use]
    pub fn non_streaming(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Sets the output that the caller has already received.
    #[must_use]
    pub fn with_output_so_far(mut self, tokens: Vec<TokenId>) -> Self {
        self.output_so_far = tokens;
        self
    }

    /// Returns the output that the fake engine generates for this request with this model and
    /// version.
    pub fn expected(&self, model: &str, version: &str) -> Vec<TokenId> {
        let prompt = prompt_ids(&Prompt::Text(self.prompt.clone()));
        TokenSource::new(&prompt, [model, version, ""], self.seed).ids(self.max_tokens)
    }

    /// Returns the JSON body of the request.
    pub fn body(&self) -> Value {
        let mut body = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "seed": self.seed,
            "stream": self.stream,
            "return_token_ids": true,
        });
        if !self.output_so_far.is_empty() {
            body["output_so_far"] = json!(self.output_so_far);
        }
        body
    }
}
