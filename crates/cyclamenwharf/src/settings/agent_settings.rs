//! The settings of an agent.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cw_macro::data;
use cw_types::ByteSize;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::ZoneId;
use cw_types::units::DurationText;
use serde_with::serde_as;

use super::LogSettings;
use super::PlatformSettings;
use super::SecretSettings;
use super::SettingsError;

/// The shortest period of heartbeats.
const MIN_HEARTBEAT: Duration = Duration::from_millis(10);
/// The longest period of heartbeats; entries treat a longer silence as a failure.
const MAX_HEARTBEAT: Duration = Duration::from_millis(300);
/// The shortest period of reading and reporting the load of the target.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(10);
/// The shortest retention of the ids of ended attempts.
///
/// An entry takes the age in its stamps from the last full report of the target. Full reports
/// arrive every two minutes, and one of them may be lost.
const MIN_TOMBSTONE: Duration = Duration::from_secs(300);
/// The smallest output buffer for each running attempt, in bytes.
const MIN_OUTPUT_BYTES_PER_ATTEMPT: u64 = 4 << 10;

/// The settings of an agent.
#[data]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The id of this host.
    pub host: HostId,
    /// The availability zone of this host.
    pub zone: ZoneId,
    /// The region of the availability zone.
    pub region: RegionId,
    /// The addresses to listen on.
    pub listen: AgentListen,
    /// The target of the agent.
    pub target: TargetSettings,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The secrets shared with other processes.
    pub secrets: SecretSettings,
    /// The limits on attempts.
    #[serde(default)]
    pub engine: EngineSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses on which an agent listens.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct AgentListen {
    /// The address for other processes of the system. Only one process can bind it, which ensures
    /// that one agent runs per target.
    pub peers: SocketAddr,
    /// The address for operators, metrics and health checks.
    pub admin: SocketAddr,
}

/// The target of an agent.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// The id of the target, as in its configuration record.
    pub id: TargetId,
    /// The kind of the target.
    pub kind: TargetKind,
    /// The address on which the target listens.
    pub address: SocketAddr,
}

/// The limits on the attempts of one target.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// The highest number of running attempts, even if the engine would accept more.
    pub running: u32,
    /// The highest number of attempts that wait at the agent.
    pub waiting: u32,
    /// The number of slots reserved for resumed attempts.
    pub reserve: u32,
    /// The highest allowed time between tokens.
    #[serde_as(as = "DurationText")]
    pub step: Duration,
    /// The period of heartbeats on a stream without tokens.
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    /// The highest total size of the buffered output of all attempts.
    pub kept: ByteSize,
    /// The time for which the output of a finished attempt is kept for a returning caller.
    #[serde_as(as = "DurationText")]
    pub retention: Duration,
    /// The time for which the id of an ended attempt is kept.
    #[serde_as(as = "DurationText")]
    pub tombstone: Duration,
    /// The period of reading and reporting the target's load.
    #[serde_as(as = "DurationText")]
    pub report: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            running: 64,
            waiting: 32,
            reserve: 4,
            step: Duration::from_millis(78),
            heartbeat: Duration::from_millis(150),
            kept: ByteSize::mib(16),
            retention: Duration::from_secs(60),
            tombstone: Duration::from_secs(600),
            report: Duration::from_millis(500),
        }
    }
}

impl AgentSettings {
    /// Reads and validates the settings of an agent.
    ///
    /// # Errors
    ///
    /// The error names the file, the key and the expected value.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let settings: Self = super::read_settings(file)?;
        let invalid_value = |key, expected| SettingsError::Value {
            file: file.to_owned(),
            key,
            expected,
        };
        if settings.secrets.peers.is_empty() {
            return Err(invalid_value("secrets.peers", "expected one secret or two"));
        }
        if settings.engine.running <= settings.engine.reserve {
            return Err(invalid_value(
                "engine.running",
                "expected more than engine.reserve",
            ));
        }
        if let Some((key, expected)) = settings.engine.first_invalid() {
            return Err(invalid_value(key, expected));
        }
        Ok(settings)
    }
}

impl EngineSettings {
    /// Returns the first key with an invalid value, and the expected value.
    fn first_invalid(&self) -> Option<(&'static str, &'static str)> {
        if self.heartbeat < MIN_HEARTBEAT || self.heartbeat > MAX_HEARTBEAT {
            return Some(("engine.heartbeat", "expected from 10ms to 300ms"));
        }
        if self.report < MIN_REPORT_PERIOD {
            return Some(("engine.report", "expected at least 10ms"));
        }
        if self.tombstone < MIN_TOMBSTONE {
            return Some(("engine.tombstone", "expected at least 5m"));
        }
        if self.kept.0 / u64::from(self.running.max(1)) < MIN_OUTPUT_BYTES_PER_ATTEMPT {
            return Some((
                "engine.kept",
                "expected at least 4KiB for each of engine.running",
            ));
        }
        None
    }
}
