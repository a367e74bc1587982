//! Newtypes for names that people assign.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The maximum length of a label, in bytes. Messages between processes have a few labels each.
const MAX_LABEL_BYTES: usize = 4096;

/// The error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The name is empty or longer than 128 bytes.
    #[snafu(display("a name has 1 to {MAX_NAME_BYTES} bytes, this one has {length}"))]
    Length {
        /// The length of the text, in bytes.
        length: usize,
    },
    /// The label is longer than 4096 bytes.
    #[snafu(display("a label has at most {MAX_LABEL_BYTES} bytes, this one has {length}"))]
    LabelLength {
        /// The length of the text, in bytes.
        length: usize,
    },
    /// The name has a character other than `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`, `:` and `@`.
    #[snafu(display("the character {found:?} is not allowed in a name"))]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(NameError::Length { length: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-:@".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

/// Checks a label that other programs assign, which may have any characters, or none.
fn check_label(text: &str) -> Result<(), NameError> {
    match text.len() {
        0..=MAX_LABEL_BYTES => Ok(()),
        length => Err(NameError::LabelLength { length }),
    }
}

macro_rules! names {
    ($check:ident: $($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                $check(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                $check(&text)?;
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

names! { check_label:
    /// The version of a target's own software, not of a model that it serves. It is compared and never
    /// interpreted, so each release tool may write it in its own way, such as `1.4.2+cu121`.
    SoftwareVersion;
}

names! { check_name:
    /// The id of a target: a model engine or a plain service, together with its agent.
    TargetId;
    /// The id of a host: a machine, or a process slot on it.
    HostId;
    /// The id of an availability zone.
    ZoneId;
    /// The id of a region, which consists of availability zones.
    RegionId;
    /// The id of a workspace, a customer of the operators; a caller's API key determines it.
    WorkspaceId;
    /// The name of a route, which assigns targets to callers.
    RouteName;
    /// The name of a service, whose targets are interchangeable.
    ServiceName;
    /// The name of a model, as callers know it.
    ModelName;
    /// The name of a model version.
    VersionName;
    /// The name of an adapter (LoRA) of a model version.
    AdapterName;
    /// The name of a priority class.
    PriorityName;
    /// The name of an operator.
    Actor;
    /// The globally unique id of a proposed change of records.
    ChangeId;
}
