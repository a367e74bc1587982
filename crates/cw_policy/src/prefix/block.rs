//! Prompts as chains of hashed blocks.

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::VersionName;
use cw_types::WorkspaceId;
use cw_wire::Prompt;
use xxhash_rust::xxh3::Xxh3;

/// The length of the first block, and the unit of the others, in bytes.
const FIRST_BLOCK_BYTES: usize = 256;

/// The maximum number of bytes of a prompt that are hashed.
const MAX_PROMPT_BYTES: usize = 1 << 20;

/// A leading part of a prompt, identified by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Block {
    /// The hash of the prompt's scope and of the prompt up to the block's end.
    pub hash: u64,
    /// Where the block ends in the prompt, in bytes.
    pub end: u32,
}

/// Cuts a prompt into blocks that grow towards its end, so that any prompt has few of them.
///
/// The last block ends with the prompt. Equal prompts of different workspaces, versions or
/// adapters have different blocks, since caches do not share them.
pub fn blocks(
    workspace: &WorkspaceId,
    model: &ModelName,
    version: &VersionName,
    adapter: Option<&AdapterName>,
    prompt: &Prompt,
) -> Vec<Block> {
    let mut hash = Xxh3::new();
    let adapter = adapter.map_or("", AdapterName::as_str);
    for name in [
        workspace.as_str(),
        model.as_str(),
        version.as_str(),
        adapter,
    ] {
        hash.update(name.as_bytes());
        hash.update(&[0]);
    }
    match prompt {
        Prompt::Text(text) => hash_chain(hash, text.as_bytes()),
        Prompt::Ids(ids) => {
            let bytes: Vec<u8> = ids.iter().flat_map(|id| id.0.to_le_bytes()).collect();
            hash_chain(hash, &bytes)
        }
        Prompt::Chat(messages) => {
            let parts = messages
                .iter()
                .flat_map(|message| [message.role.as_str(), message.content.as_str()]);
            let bytes: Vec<u8> = parts
                .flat_map(|part| part.bytes().chain(std::iter::once(0)))
                .take(MAX_PROMPT_BYTES)
                .collect();
            hash_chain(hash, &bytes)
        }
    }
}

/// Hashes `bytes` up to the end of each block; `hash` already covers the scope, that is workspace,
/// model, version and adapter.
fn hash_chain(mut hash: Xxh3, bytes: &[u8]) -> Vec<Block> {
    let bytes = &bytes[..bytes.len().min(MAX_PROMPT_BYTES)];
    let mut blocks = Vec::new();
    let mut start = 0;
    while start < bytes.len() {
        let end = next_end(start).min(bytes.len());
        hash.update(&bytes[start..end]);
        blocks.push(Block {
            hash: hash.digest(),
            end: u32::try_from(end).unwrap_or(u32::MAX),
        });
        start = end;
    }
    blocks
}

/// Returns the end of the block that starts at `start`. The block's length is a third of `start`,
/// rounded down to a multiple of the first block's length and at least that length.
fn next_end(start: usize) -> usize {
    let step = (start / 3 / FIRST_BLOCK_BYTES).max(1) * FIRST_BLOCK_BYTES;
    start + step
}
