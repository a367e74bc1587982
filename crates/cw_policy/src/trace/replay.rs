//! Replay of a trace.

use std::fmt;

use snafu::ResultExt;
use snafu::Snafu;

use super::Entry;
use super::Head;
use super::Outcome;
use crate::Generation;
use crate::Step;

/// The first place at which a replay differs from its trace.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// An event led to other steps.
    Steps {
        /// The line, counted from 1.
        line: usize,
        /// What was recorded, with its event and time.
        recorded: Box<Entry>,
        /// What the machine does now.
        replayed: Vec<Step>,
    },
    /// Something else came out than is stated.
    Outcome {
        /// What is stated.
        stated: Outcome,
        /// What came out.
        replayed: Outcome,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Steps {
                line,
                recorded,
                replayed,
            } => write!(
                f,
                "line {line}, at {}: event {:?}\n  recorded: {:?}\n  replayed: {replayed:?}",
                recorded.at, recorded.event, recorded.steps
            ),
            Difference::Outcome { stated, replayed } => {
                write!(
                    f,
                    "outcome\n  stated:   {stated:?}\n  replayed: {replayed:?}"
                )
            }
        }
    }
}

/// A trace that cannot be replayed.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The trace has no lines.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// A line is not what it should be.
    #[snafu(display("line {line}: {source}"))]
    Line {
        /// The line, counted from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// The trace has another form.
    #[snafu(display("the trace has version {found}, this program reads {}", Head::VERSION))]
    Version {
        /// The version found.
        found: u32,
    },
}

/// Replays a trace and returns what came out, or the first difference.
///
/// # Errors
///
/// Fails when the trace cannot be read.
pub fn replay(text: &str) -> Result<Result<Outcome, Difference>, TraceError> {
    let mut lines = text.lines().enumerate();
    let (_, first) = lines.next().ok_or(TraceError::Empty)?;
    let head: Head = serde_json::from_str(first).context(LineSnafu { line: 1_usize })?;
    if head.version != Head::VERSION {
        return Err(TraceError::Version {
            found: head.version,
        });
    }
    let mut machine = Generation::new(head.plan, head.limits);
    let mut replayed = Outcome::default();
    let mut next = None;
    for (index, text) in lines.filter(|(_, text)| !text.is_empty()) {
        let line = index + 1;
        let entry: Entry = serde_json::from_str(text).context(LineSnafu { line })?;
        let steps = machine.on_event(entry.at, entry.event.clone());
        if steps != entry.steps {
            return Ok(Err(Difference::Steps {
                line,
                recorded: Box::new(entry),
                replayed: steps,
            }));
        }
        for step in &steps {
            replayed.observe(&mut next, step);
        }
    }
    Ok(check(head.outcome, replayed))
}

fn check(stated: Option<Outcome>, replayed: Outcome) -> Result<Outcome, Difference> {
    match stated {
        Some(stated) if stated != replayed => Err(Difference::Outcome { stated, replayed }),
        _ => Ok(replayed),
    }
}
