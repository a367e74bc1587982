//! Traces of the decisions of a generation, and their replay.
//!
//! A trace is a JSON Lines text: a [`TraceHeader`] with the machine's parameters and the expected
//! [`Outcome`], then one [`TraceRecord`] for each event. Replay feeds the events to a new machine,
//! compares each list of steps and checks the outcome. It is deterministic: the same input bytes
//! give the same steps.

mod outcome;
mod redact;
mod replay;
mod trace_header;
mod trace_record;

pub use outcome::Ending;
pub use outcome::Outcome;
pub use redact::redacted;
pub use replay::Difference;
pub use replay::TraceError;
pub use replay::replay;
pub use trace_header::TraceHeader;
pub use trace_record::TraceRecord;
