//! A prompt as a chain of blocks.

use cw_types::AdapterName;
use cw_types::ModelName;
use cw_types::VersionName;
use cw_types::WorkspaceId;
use cw_wire::Prompt;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a block of text, in bytes.
const TEXT_BLOCK: usize = 256;

/// The length of a block of tokens.
const IDS_BLOCK: usize = 64;

/// The most blocks of one prompt.
const BLOCKS_MAX: usize = 256;

/// The hash of one block of a prompt and of all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Block(pub u64);

/// Cuts a prompt into blocks; only whole blocks count, and only the first few hundred.
///
/// Equal blocks of different workspaces, versions or adapters differ, since caches do not share
/// them.
pub fn blocks(
    workspace: &WorkspaceId,
    model: &ModelName,
    version: &VersionName,
    adapter: Option<&AdapterName>,
    prompt: &Prompt,
) -> Vec<Block> {
    let mut scope = Xxh3::new();
    let adapter = adapter.map_or("", AdapterName::as_str);
    for name in [
        workspace.as_str(),
        model.as_str(),
        version.as_str(),
        adapter,
    ] {
        scope.update(name.as_bytes());
        scope.update(&[0]);
    }
    let scope = scope.digest();
    match prompt {
        Prompt::Text(text) => chain(scope, text.as_bytes().chunks_exact(TEXT_BLOCK)),
        Prompt::Ids(ids) => {
            let bytes: Vec<u8> = ids
                .iter()
                .take(IDS_BLOCK * BLOCKS_MAX)
                .flat_map(|id| id.0.to_le_bytes())
                .collect();
            chain(scope, bytes.chunks_exact(IDS_BLOCK * size_of::<u32>()))
        }
        Prompt::Chat(messages) => {
            let mut bytes = Vec::new();
            for message in messages {
                if bytes.len() >= TEXT_BLOCK * BLOCKS_MAX {
                    break;
                }
                bytes.extend_from_slice(message.role.as_bytes());
                bytes.push(0);
                bytes.extend_from_slice(message.content.as_bytes());
                bytes.push(0);
            }
            chain(scope, bytes.chunks_exact(TEXT_BLOCK))
        }
    }
}

fn chain<'a>(scope: u64, chunks: impl Iterator<Item = &'a [u8]>) -> Vec<Block> {
    let next = |hash: &mut u64, chunk: &[u8]| {
        *hash = xxh3_64_with_seed(chunk, *hash);
        Some(Block(*hash))
    };
    chunks.take(BLOCKS_MAX).scan(scope, next).collect()
}
