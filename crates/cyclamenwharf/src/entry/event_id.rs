//! Ids of streamed events, with which a caller reconnects to its generation.

use std::fmt;
use std::str::FromStr;

use cw_types::AdapterName;
use cw_types::AttemptId;
use cw_types::TargetId;
use cw_types::TokenIndex;
use cw_types::VersionName;
use snafu::OptionExt;
use snafu::Snafu;

/// The error for a text that is not an event id.
#[derive(Debug, Snafu)]
#[snafu(display("Last-Event-ID: expected the id of an event of this service"))]
pub(crate) struct EventIdError;

/// A position in a generation's output, with all that is needed to continue from there.
///
/// Its text form is `GENERATION/ATTEMPT/INDEX/TARGET/VERSION[/ADAPTER]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// The attempt that produced the event.
    pub(crate) attempt: AttemptId,
    /// The index of the first token that the caller does not have.
    pub(crate) next: TokenIndex,
    /// The target that runs the attempt.
    pub(crate) target: TargetId,
    /// The version that the generation is pinned to.
    pub(crate) version: VersionName,
    /// The adapter that the generation is pinned to.
    pub(crate) adapter: Option<AdapterName>,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            attempt,
            next,
            target,
            version,
            adapter,
        } = self;
        write!(f, "{attempt}/{next}/{target}/{version}")?;
        match adapter {
            Some(adapter) => write!(f, "/{adapter}"),
            None => Ok(()),
        }
    }
}

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, EventIdError> {
        let parts: Vec<&str> = text.split('/').collect();
        let (generation, attempt, next, target, version, adapter) = match parts[..] {
            [g, a, n, t, v] => (g, a, n, t, v, None),
            [g, a, n, t, v, adapter] => (g, a, n, t, v, Some(adapter)),
            _ => return EventIdSnafu.fail(),
        };
        Ok(Self {
            attempt: AttemptId {
                generation: generation.parse().ok().context(EventIdSnafu)?,
                attempt: attempt.parse().ok().context(EventIdSnafu)?,
            },
            next: next.parse().ok().context(EventIdSnafu)?,
            target: target.parse().ok().context(EventIdSnafu)?,
            version: version.parse().ok().context(EventIdSnafu)?,
            adapter: adapter
                .map(|adapter| adapter.parse().ok().context(EventIdSnafu))
                .transpose()?,
        })
    }
}
