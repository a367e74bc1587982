//! Ids that the processes generate.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::AttemptNo;

/// The error for text that is not an id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an id is 32 hexadecimal digits, found {text:?}"))]
pub struct IdError {
    /// The rejected text.
    pub text: String,
}

/// The globally unique id of an accepted request: 128 random bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct GenerationId(pub u128);

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for GenerationId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError {
            text: text.to_owned(),
        };
        if text.len() != 32 {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| error())
    }
}

impl TryFrom<String> for GenerationId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<GenerationId> for String {
    fn from(id: GenerationId) -> String {
        id.to_string()
    }
}

/// The id of an attempt, which is one dispatch of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The generation that the attempt belongs to.
    pub generation: GenerationId,
    /// The number of the attempt within the generation.
    pub attempt: AttemptNo,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.generation, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError {
            text: text.to_owned(),
        };
        let (generation, attempt) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            generation: generation.parse()?,
            attempt: attempt.parse().map_err(|_| error())?,
        })
    }
}
