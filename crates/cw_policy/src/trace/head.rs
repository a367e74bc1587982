//! The first line of a trace.

use cw_macro::data;
use cw_types::GenerationId;

use super::Outcome;
use crate::Limits;
use crate::Plan;

/// The first line of a trace.
#[data]
pub struct Head {
    /// The version of the trace's form.
    pub version: u32,
    /// The generation whose decisions were recorded.
    pub generation: GenerationId,
    /// What was fixed for its life.
    pub plan: Plan,
    /// What it was held to.
    pub limits: Limits,
    /// What must come out; none in a trace that is still being recorded.
    #[serde(default)]
    pub outcome: Option<Outcome>,
}

impl Head {
    /// The version that this code reads and writes.
    pub const VERSION: u32 = 1;
}
