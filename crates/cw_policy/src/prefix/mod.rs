//! Prompt prefixes: their blocks, and the targets that have them cached.
//!
//! - [`blocks`] cuts a prompt into chained [`Block`]s.
//! - [`CacheIndex`] is an entry's estimate of the targets' caches, learned from their answers.

mod block;
mod cache_index;

pub use block::Block;
pub use block::blocks;
pub use cache_index::CacheIndex;
pub use cache_index::Holder;
