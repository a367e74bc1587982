//! Claims of idempotency keys, by which work that may run once runs once through all entries.
//!
//! A [`Claim`] is one value in the key-value service under a hash of workspace and key. It is
//! written before its attempt is dispatched, and names the agent that the attempt goes to: whoever
//! finds it can ask that agent what became of the attempt, or forbid it for good. So an entry that
//! dies between claim and dispatch leaves a claim that can be resolved.

mod record;
mod write;

pub use record::Claim;
pub use record::ClaimId;
pub use record::ClaimState;
pub use record::KeptAnswer;
pub use write::ClaimEvent;
pub use write::ClaimRevision;
pub use write::ClaimStep;
pub use write::ClaimWrite;
