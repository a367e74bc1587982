//! Prompt prefixes: their blocks, and the targets that have them cached.
//!
//! - [`blocks`] cuts a prompt into chained [`Block`]s.
//! - [`CacheIndex`] is an entry's estimate of the targets' caches, learned from their answers.
//! - [`CacheFollower`] is an agent's copy of its engine's cache state, from the engine's events.

mod block;
mod cache_follower;
mod cache_index;

pub use block::Block;
pub use block::blocks;
pub use cache_follower::CacheEvent;
pub use cache_follower::CacheFollower;
pub use cache_follower::CachePage;
pub use cache_index::CacheIndex;
pub use cache_index::Holder;
