//! Settings that the roles share, and the errors of reading settings.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use cw_macro::data;
use cw_types::ByteSize;
use log::LevelFilter;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// The settings could not be read or are invalid.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The path of the settings file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file could not be parsed; the source names the key and the expected value.
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        /// The path of the settings file.
        file: PathBuf,
        /// The TOML error.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[snafu(display("{}: {key}: {expected}", file.display()))]
    Value {
        /// The path of the settings file.
        file: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// The expected value.
        expected: &'static str,
    },
}

/// The roles of the daemon.
#[data(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs attempts on a single target.
    Agent,
}

/// The addresses of the platform's services.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The JSON gateways of the key-value service, which are tried in order.
    pub key_value: Vec<SocketAddr>,
    /// The address of the host list.
    pub host_list: SocketAddr,
    /// The address of the weight store.
    pub weight_store: SocketAddr,
}

/// The secrets shared by the processes.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// The valid secrets. The first is sent to peers; any of them is accepted from peers.
    pub peers: Vec<String>,
}

/// The log level.
#[data(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors that need an operator.
    Error,
    /// Also conditions that may need an operator.
    Warn,
    /// Also events of processes and targets.
    #[default]
    Info,
    /// Also events of each request.
    Debug,
    /// All messages.
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

/// The log settings.
#[data(Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The log level.
    pub level: LogLevel,
}

/// The recording of decisions, for replay.
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// The highest total size of the traces in memory; `"0B"` disables recording.
    pub kept: ByteSize,
    /// Whether callers' text is also recorded.
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
/// The error names the file, the key and the expected value.
pub fn read_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    toml::from_str(&text).context(ParseSnafu { file })
}
