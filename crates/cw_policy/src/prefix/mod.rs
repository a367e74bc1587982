//! Prompt prefixes: their blocks, and where they are cached.
//!
//! - [`blocks`] cuts a prompt into chained [`Block`]s.
//! - [`CacheIndex`] is what an entry learned of the targets' caches from their answers.
//! - [`CacheFollower`] is what an agent knows of its engine's cache from the engine's events.

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
