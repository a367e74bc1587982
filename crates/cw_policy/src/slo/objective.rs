//! The objectives and their limits.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use cw_macro::data;
use cw_types::DurationText;
use serde_with::serde_as;
use snafu::Snafu;

/// The kinds of service-level objectives.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token is sent within its limit.
    FirstToken,
    /// Each later token is sent within the limit after the previous one.
    TokenGap,
    /// A stream resumes within its limit after the loss of its target.
    Resume,
    /// An accepted request gets its complete response.
    Whole,
    /// A refused request is proven not to have run.
    Refusal,
}

/// The error for a text that is not the name of an objective.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown objective {text:?}"))]
pub struct ObjectiveError {
    /// The rejected text.
    pub text: String,
}

impl Objective {
    /// Every objective, in the order used in reports.
    pub const ALL: [Objective; 5] = [
        Objective::FirstToken,
        Objective::TokenGap,
        Objective::Resume,
        Objective::Whole,
        Objective::Refusal,
    ];

    /// Returns the name used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Objective::FirstToken => "first_token",
            Objective::TokenGap => "token_gap",
            Objective::Resume => "resume",
            Objective::Whole => "whole",
            Objective::Refusal => "refusal",
        }
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Objective {
    type Err = ObjectiveError;

    fn from_str(text: &str) -> Result<Self, ObjectiveError> {
        Objective::ALL
            .into_iter()
            .find(|objective| objective.as_str() == text)
            .ok_or_else(|| ObjectiveError {
                text: text.to_owned(),
            })
    }
}

/// The latency limits, and the fractions of events that must be good.
#[serde_as]
#[data]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// The limit for the time to the first token.
    #[serde_as(as = "DurationText")]
    pub first_token: Duration,
    /// The limit for the time between two tokens.
    #[serde_as(as = "DurationText")]
    pub token_gap: Duration,
    /// The limit for the time from the loss of a target until output resumes.
    #[serde_as(as = "DurationText")]
    pub resume: Duration,
    /// The required fraction of tokens, first and later ones, within their limit.
    pub timely: f64,
    /// The required fraction of complete responses, of resumes within their limit and of proven
    /// refusals.
    pub kept: f64,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(1500),
            token_gap: Duration::from_millis(78),
            resume: Duration::from_secs(4),
            timely: 0.95,
            kept: 0.999,
        }
    }
}

impl Objectives {
    /// Returns the fraction of an objective's events that must be good.
    pub fn fraction(&self, objective: Objective) -> f64 {
        match objective {
            Objective::FirstToken | Objective::TokenGap => self.timely,
            Objective::Resume | Objective::Whole | Objective::Refusal => self.kept,
        }
    }
}
