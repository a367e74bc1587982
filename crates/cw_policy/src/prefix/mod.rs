//! Prompt prefixes: their blocks, and where they are cached.
//!
//! - [`blocks`] cuts a prompt into chained [`Block`]s.
//! - [`Overlap`] is what an entry learned of the targets' caches from their answers.
//! - [`Follower`] is what an agent knows of its engine's cache from the engine's events.

mod block;
mod follower;
mod overlap;

pub use block::Block;
pub use block::blocks;
pub use follower::CacheEvent;
pub use follower::CachePage;
pub use follower::Follower;
pub use overlap::Holder;
pub use overlap::Overlap;
