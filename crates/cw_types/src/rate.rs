//! Rates, written with a unit.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The error for text that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected a rate such as \"20/s\" or \"2.5/s\", found {text:?}"))]
pub struct RateError {
    /// The rejected text.
    pub text: String,
}

/// A rate in events per second: finite and not negative when parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        text.strip_suffix("/s")
            .and_then(|number| number.trim().parse::<f64>().ok())
            .filter(|number| number.is_finite() && *number >= 0.0)
            .map(Self)
            .ok_or_else(|| RateError {
                text: text.to_owned(),
            })
    }
}

impl TryFrom<String> for Rate {
    type Error = RateError;

    fn try_from(text: String) -> Result<Self, RateError> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> String {
        rate.to_string()
    }
}
