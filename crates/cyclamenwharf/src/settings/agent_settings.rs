//! Settings of an agent.

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

/// The shortest time between heartbeats.
const HEARTBEAT_MIN: Duration = Duration::from_millis(10);
/// The longest time between heartbeats: entries take a longer silence for a loss.
const HEARTBEAT_MAX: Duration = Duration::from_millis(300);
/// The shortest time between readings of the target.
const REPORT_MIN: Duration = Duration::from_millis(10);
/// The shortest memory of ended attempts: whole reports, which date the stamps of entries, come
/// every two minutes and may be lost once.
const TOMBSTONE_MIN: Duration = Duration::from_secs(300);
/// The least output that one running attempt must be able to keep, in bytes.
const SHARE_MIN: u64 = 4 << 10;

/// Settings of an agent.
#[data]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// Where it listens.
    pub listen: AgentListen,
    /// Its target.
    pub target: TargetSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Secrets shared with other processes.
    pub secrets: SecretSettings,
    /// Limits on attempts.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where an agent listens.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct AgentListen {
    /// For other processes of the system. One process can hold it, so one agent runs per target.
    pub peers: SocketAddr,
    /// For operators, metrics and health checks.
    pub admin: SocketAddr,
}

/// The target beside an agent.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Its id, as in its record.
    pub id: TargetId,
    /// What it is.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Limits on attempts at one target.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// The most attempts that run at once, whatever the engine says.
    pub running: u32,
    /// The most attempts that wait at the agent.
    pub waiting: u32,
    /// Slots that only resumed attempts may take.
    pub reserve: u32,
    /// The time between tokens to keep within.
    #[serde_as(as = "DurationText")]
    pub step: Duration,
    /// How often a stream without tokens carries a heartbeat.
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    /// The most output kept for all attempts together.
    pub kept: ByteSize,
    /// How long a finished attempt's output is kept for its caller to come back.
    #[serde_as(as = "DurationText")]
    pub retention: Duration,
    /// How long the id of an ended attempt is remembered.
    #[serde_as(as = "DurationText")]
    pub tombstone: Duration,
    /// How often the target's load is read and reported.
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
    /// Reads and checks an agent's settings.
    ///
    /// # Errors
    ///
    /// Names the file, the key and what is expected.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let settings: Self = super::read_settings(file)?;
        let error = |key, expected| SettingsError::Value {
            file: file.to_owned(),
            key,
            expected,
        };
        if settings.secrets.peers.is_empty() {
            return Err(error("secrets.peers", "expected one secret or two"));
        }
        if settings.engine.running <= settings.engine.reserve {
            return Err(error("engine.running", "expected more than engine.reserve"));
        }
        if let Some((key, expected)) = settings.engine.fault() {
            return Err(error(key, expected));
        }
        Ok(settings)
    }
}

impl EngineSettings {
    /// Returns the first key whose value cannot be used, and what is expected.
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        if self.heartbeat < HEARTBEAT_MIN || self.heartbeat > HEARTBEAT_MAX {
            return Some(("engine.heartbeat", "expected from 10ms to 300ms"));
        }
        if self.report < REPORT_MIN {
            return Some(("engine.report", "expected at least 10ms"));
        }
        if self.tombstone < TOMBSTONE_MIN {
            return Some(("engine.tombstone", "expected at least 5m"));
        }
        if self.kept.0 / u64::from(self.running.max(1)) < SHARE_MIN {
            return Some((
                "engine.kept",
                "expected at least 4KiB for each of engine.running",
            ));
        }
        None
    }
}
