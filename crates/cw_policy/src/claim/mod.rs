//! Claims of idempotency keys, which keep non-idempotent work from running twice when it is
//! requested through several entries.
//!
//! A [`Claim`] is a value in the key-value service, stored under a hash of the workspace and the
//! idempotency key. It is written before its attempt is dispatched and names the agent that the
//! attempt is sent to. An entry that finds the claim can query that agent for the state of the
//! attempt, or cancel the attempt permanently. A claim left by an entry that crashes between the
//! claim and the dispatch can therefore be resolved.

mod claim_record;
mod claim_write;

pub use claim_record::Claim;
pub use claim_record::ClaimId;
pub use claim_record::ClaimState;
pub use claim_record::StoredAnswer;
pub use claim_write::ClaimEvent;
pub use claim_write::ClaimRevision;
pub use claim_write::ClaimStep;
pub use claim_write::ClaimWrite;
