//! Durations, written with a unit.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// A `serde_with` adapter between a `Duration` and text such as `"250ms"`, `"4s"` or `"1h 30m"`.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*duration))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).map_err(D::Error::custom)
    }
}

/// Parses a duration that is written with a unit.
///
/// # Errors
///
/// Returns a message with examples of valid durations if `text` has no unit or is not a number.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|_| format!("expected a duration such as \"250ms\" or \"4s\", found {text:?}"))
}
