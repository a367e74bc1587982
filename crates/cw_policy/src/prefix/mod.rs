//! Prompt prefixes: their blocks, and where they are cached.
//!
//! - [`blocks`] cuts a prompt into chained [`Block`]s.
//! - [`Overlap`] is what an entry learned of the targets' caches from their answers.

mod block;
mod overlap;

pub use block::Block;
pub use block::blocks;
pub use overlap::Holder;
pub use overlap::Overlap;
