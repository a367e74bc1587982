//! Newtypes for names that people choose.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The longest name, in bytes.
const NAME_MAX: usize = 128;

/// A name that breaks the rules for names.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The name is empty or longer than 128 bytes.
    #[snafu(display("a name has 1 to {NAME_MAX} bytes, this one has {length}"))]
    Length {
        /// The length found, in bytes.
        length: usize,
    },
    /// The name has a character other than `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`, `:` and `@`.
    #[snafu(display("the character {found:?} is not allowed in a name"))]
    Character {
        /// The first offending character.
        found: char,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > NAME_MAX {
        return Err(NameError::Length { length: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-:@".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    )*};
}

names! {
    /// One back end: a model engine or a plain service, with its agent.
    TargetId;
    /// One machine, or one process slot on it.
    HostId;
    /// An availability zone.
    ZoneId;
    /// A region, which holds availability zones.
    RegionId;
    /// A customer of the operators, named by its API key.
    WorkspaceId;
    /// A route: which targets answer which callers, and how.
    RouteName;
    /// A service: the targets that answer alike.
    ServiceName;
    /// A model, as callers name it.
    ModelName;
    /// One version of a model.
    VersionName;
    /// An adapter (LoRA) of a model version.
    AdapterName;
    /// A priority class.
    PriorityName;
    /// An operator.
    Actor;
    /// One proposed change of records, unique for all time.
    ChangeId;
}
