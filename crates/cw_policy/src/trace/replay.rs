//! The replay of a trace.

use std::fmt;

use snafu::ResultExt;
use snafu::Snafu;

use super::Outcome;
use super::TraceHeader;
use super::TraceRecord;
use crate::Generation;
use crate::Step;

/// The first difference between a replay and its trace.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// An event leads to different steps.
    Steps {
        /// The line number, starting at 1.
        line: usize,
        /// The recorded steps, with their event and time.
        recorded: Box<TraceRecord>,
        /// The steps of the replay.
        replayed: Vec<Step>,
    },
    /// The outcome differs from the expected one.
    Outcome {
        /// The expected outcome.
        expected: Outcome,
        /// The outcome of the replay.
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
            Difference::Outcome { expected, replayed } => {
                write!(
                    f,
                    "outcome\n  expected: {expected:?}\n  replayed: {replayed:?}"
                )
            }
        }
    }
}

/// An error that prevents the replay of a trace.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The trace has no lines.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// A line cannot be parsed.
    #[snafu(display("line {line}: {source}"))]
    Line {
        /// The line number, starting at 1.
        line: usize,
        /// The JSON error in the line.
        source: serde_json::Error,
    },
    /// The format version is not supported.
    #[snafu(display(
        "the trace has format version {found}, but this program reads version {}",
        TraceHeader::VERSION
    ))]
    Version {
        /// The version found.
        found: u32,
    },
}

/// Replays a trace and returns its outcome, or the first difference.
///
/// # Errors
///
/// Fails when the trace is empty, a line cannot be parsed or the format version is not supported.
pub fn replay(text: &str) -> Result<Result<Outcome, Difference>, TraceError> {
    let mut lines = text.lines().enumerate();
    let (_, first) = lines.next().ok_or(TraceError::Empty)?;
    let header: TraceHeader = serde_json::from_str(first).context(LineSnafu { line: 1_usize })?;
    if header.version != TraceHeader::VERSION {
        return Err(TraceError::Version {
            found: header.version,
        });
    }
    let mut machine = Generation::new(header.plan, header.limits);
    let mut replayed = Outcome::default();
    let mut next = None;
    for (index, text) in lines.filter(|(_, text)| !text.is_empty()) {
        let line = index + 1;
        let record: TraceRecord = serde_json::from_str(text).context(LineSnafu { line })?;
        let steps = machine.on_event(record.at, record.event.clone());
        if steps != record.steps {
            return Ok(Err(Difference::Steps {
                line,
                recorded: Box::new(record),
                replayed: steps,
            }));
        }
        for step in &steps {
            replayed.observe(&mut next, step);
        }
    }
    Ok(check(header.outcome, replayed))
}

fn check(expected: Option<Outcome>, replayed: Outcome) -> Result<Outcome, Difference> {
    match expected {
        Some(expected) if expected != replayed => Err(Difference::Outcome { expected, replayed }),
        _ => Ok(replayed),
    }
}
