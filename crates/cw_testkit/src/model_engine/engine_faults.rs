//! Fault injection for the fake engine.

/// The text that crashes an engine when it admits a prompt that contains it.
pub const POISON: &str = "crash-the-engine";

/// Injected faults, which can change while an engine runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// The number of next requests that fail with status 500.
    pub next_errors: u32,
    /// Whether requests are accepted but generate nothing.
    pub stalled: bool,
    /// Whether requests finish in reverse order of admission.
    pub reversed: bool,
    /// The number of tokens after which each request stalls.
    pub stall_after: Option<u64>,
}
