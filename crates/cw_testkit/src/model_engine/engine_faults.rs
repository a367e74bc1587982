//! What goes wrong in the stand-in.

/// The text that crashes an engine whose batch takes a prompt with it.
pub const POISON: &str = "crash-the-engine";

/// Faults that are switched on and off while an engine runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// How many of the next requests are answered with status 500.
    pub next_errors: u32,
    /// Whether requests are taken and produce nothing.
    pub stalled: bool,
    /// Whether the request that came last is finished first.
    pub reversed: bool,
    /// How many tokens each request gets before it stands still.
    pub stall_after: Option<u64>,
}
