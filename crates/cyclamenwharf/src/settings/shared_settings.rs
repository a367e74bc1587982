//! Settings that both roles have, and the errors of reading them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use cw_macro::data;
use cw_types::ByteSize;
use log::LevelFilter;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not what the role expects; the message names the key and what is expected.
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[snafu(display("{}: {key}: {expected}", file.display()))]
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// What is expected.
        expected: &'static str,
    },
}

/// The roles of the daemon.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Runs attempts on one target.
    Agent,
}

/// Where the platform's services are.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value service's JSON gateways, tried in turn.
    pub key_value: Vec<SocketAddr>,
    /// The host list.
    pub host_list: SocketAddr,
    /// The weight store.
    pub weight_store: SocketAddr,
}

/// Secrets that the processes share.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// The valid secrets: the first is shown to peers, any is taken from them.
    pub peers: Vec<String>,
}

/// How much is logged.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// What may need one.
    Warn,
    /// What happens to processes and targets.
    #[default]
    Info,
    /// What happens to each request.
    Debug,
    /// Everything.
    Trace,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> LevelFilter {
        match level {
            LogLevel::Error => LevelFilter::Error,
            LogLevel::Warn => LevelFilter::Warn,
            LogLevel::Info => LevelFilter::Info,
            LogLevel::Debug => LevelFilter::Debug,
            LogLevel::Trace => LevelFilter::Trace,
        }
    }
}

/// Logging.
#[data(Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// How much is logged.
    pub level: LogLevel,
}

/// Recording of decisions, for replay.
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// The most bytes of traces kept in memory; `"0B"` records nothing.
    pub kept: ByteSize,
    /// Whether callers' text is recorded too.
    pub bodies: bool,
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self {
            kept: ByteSize(0),
            bodies: false,
        }
    }
}

/// Reads settings from a TOML file.
///
/// # Errors
///
/// Names the file, the key and what is expected.
pub fn read_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    toml::from_str(&text).context(ParseSnafu { file })
}
