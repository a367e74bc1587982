//! The first line of a trace.

use cw_macro::data;
use cw_types::GenerationId;

use super::Outcome;
use crate::GenerationLimits;
use crate::GenerationPlan;

/// The first line of a trace.
#[data]
pub struct TraceHeader {
    /// The version of the trace format.
    pub version: u32,
    /// The generation whose decisions were recorded.
    pub generation: GenerationId,
    /// The parameters of the generation.
    pub plan: GenerationPlan,
    /// The timeouts and retry limits of the generation.
    pub limits: GenerationLimits,
    /// The expected outcome; `None` in a trace that is still being recorded.
    #[serde(default)]
    pub outcome: Option<Outcome>,
}

impl TraceHeader {
    /// The format version that this code reads and writes.
    pub const VERSION: u32 = 1;
}
