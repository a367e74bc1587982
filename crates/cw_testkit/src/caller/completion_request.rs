//! What a caller asks for.

use std::collections::BTreeMap;

use cw_types::TokenId;
use cw_wire::Prompt;
use serde_json::Value;
use serde_json::json;

use crate::TokenSource;
use crate::prompt_ids;

/// One request for a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The route.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens of the output.
    pub max_tokens: u64,
    /// The seed.
    pub seed: u64,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The output that the caller holds already.
    pub output_so_far: Vec<TokenId>,
    /// Further headers.
    pub headers: BTreeMap<String, String>,
}

impl CompletionRequest {
    /// Returns a request for a stream.
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

    /// Asks for the whole answer in one piece.
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

    /// Says which tokens the caller holds already.
    #[must_use]
    pub fn with_output_so_far(mut self, tokens: Vec<TokenId>) -> Self {
        self.output_so_far = tokens;
        self
    }

    /// Returns the output that the stand-in engine produces for this request.
    pub fn expected(&self, model: &str, version: &str) -> Vec<TokenId> {
        let prompt = prompt_ids(&Prompt::Text(self.prompt.clone()));
        TokenSource::new(&prompt, [model, version, ""], self.seed).ids(self.max_tokens)
    }

    /// Returns the request's body.
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
