//! Traces of decisions: recorded events and steps, replayed and compared.
//!
//! A trace is JSON lines: a [`Head`] with the machine's beginning and the stated [`Outcome`], then
//! one [`Entry`] for each event. Replay feeds the events to a new machine, compares each list of
//! steps, and checks the outcome. It is exact: the same bytes in give the same steps out.

mod entry;
mod head;
mod outcome;
mod redact;
mod replay;

pub use entry::Entry;
pub use head::Head;
pub use outcome::Ending;
pub use outcome::Outcome;
pub use redact::redacted;
pub use replay::Difference;
pub use replay::TraceError;
pub use replay::replay;
