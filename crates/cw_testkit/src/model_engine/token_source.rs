//! The deterministic output of the fake engine.

use cw_types::TokenId;
use cw_wire::Generate;
use cw_wire::Prompt;
use cw_wire::Token;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens in the vocabulary.
const VOCABULARY_SIZE: u64 = 32_000;
/// The number of bytes of text in one prompt token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// The output of a generation. Each token is a pure function of the request and of its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSource {
    state: u64,
}

impl TokenSource {
    /// Returns the output for a prompt, the names of model, version and adapter, and a seed.
    pub fn new(prompt: &[TokenId], names: [&str; 3], seed: u64) -> Self {
        let mut hash = Xxh3::with_seed(seed);
        for name in names {
            hash.update(name.as_bytes());
            hash.update(&[0]);
        }
        for token in prompt {
            hash.update(&token.0.to_le_bytes());
        }
        Self {
            state: hash.digest(),
        }
    }

    /// Returns the output for work that an entry sends to an agent.
    pub fn for_work(work: &Generate) -> Self {
        let adapter = work.adapter.as_ref().map_or("", |name| name.as_str());
        let names = [work.model.as_str(), work.version.as_str(), adapter];
        Self::new(&prompt_ids(&work.prompt), names, work.sampling.seed)
    }

    /// Returns the output token at `index`.
    pub fn token(&self, index: u64) -> Token {
        let number = xxh3_64_with_seed(&index.to_le_bytes(), self.state) % VOCABULARY_SIZE;
        let id = u32::try_from(number).expect("the vocabulary size fits into 32 bits");
        Token {
            id: TokenId(id),
            text: format!(" w{id}"),
        }
    }

    /// Returns the ids of the first `count` output tokens.
    pub fn ids(&self, count: u64) -> Vec<TokenId> {
        (0..count).map(|index| self.token(index).id).collect()
    }

    /// Returns the text of the first `count` output tokens.
    pub fn text(&self, count: u64) -> String {
        (0..count).map(|index| self.token(index).text).collect()
    }
}

/// Returns the token ids of a prompt.
pub fn prompt_ids(prompt: &Prompt) -> Vec<TokenId> {
    match prompt {
        Prompt::Ids(ids) => ids.clone(),
        Prompt::Text(text) => text_ids(text),
        Prompt::Chat(messages) => {
            let line = |m: &cw_wire::Message| format!("{}: {}\n", m.role, m.content);
            text_ids(&messages.iter().map(line).collect::<String>())
        }
    }
}

fn text_ids(text: &str) -> Vec<TokenId> {
    let id = |chunk| {
        u32::try_from(xxh3_64(chunk) % VOCABULARY_SIZE)
            .expect("the vocabulary size fits into 32 bits")
    };
    text.as_bytes()
        .chunks(PROMPT_TOKEN_BYTES)
        .map(|chunk| TokenId(id(chunk)))
        .collect()
}
