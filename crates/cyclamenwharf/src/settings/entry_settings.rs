//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cw_macro::data;
use cw_policy::routing::Policy;
use cw_policy::slo::Objectives;
use cw_types::ByteSize;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::ZoneId;
use cw_types::units::DurationText;
use serde_with::serde_as;

use super::LogSettings;
use super::PlatformSettings;
use super::SecretSettings;
use super::SettingsError;
use super::TraceSettings;

/// Settings of an entry.
#[data]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The region of that zone.
    pub region: RegionId,
    /// Where it listens.
    pub listen: EntryListen,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Secrets shared with other processes.
    pub secrets: SecretSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How lost attempts are noticed.
    #[serde(default)]
    pub recovery: RecoverySettings,
    /// How targets are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// What is promised to callers, for the report on service-level burn.
    #[serde(default)]
    pub slo: Objectives,
    /// Recording of decisions.
    #[serde(default)]
    pub trace: TraceSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where an entry listens.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other processes of the system.
    pub peers: SocketAddr,
    /// For operators, metrics and health checks.
    pub admin: SocketAddr,
}

/// Limits on callers.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The largest body.
    pub body: ByteSize,
    /// The most connections of callers at once; others wait to be accepted.
    pub connections: u32,
    /// How long the head of a request may take, how long its body may take, and how long a
    /// connection may be idle.
    #[serde_as(as = "DurationText")]
    pub request: Duration,
    /// The most requests that wait for a target.
    pub queue: u32,
    /// The most bytes of requests that wait for a target.
    pub queue_bytes: ByteSize,
    /// How long a caller may be gone before its generation is cancelled.
    #[serde_as(as = "DurationText")]
    pub absence: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: ByteSize::mib(4),
            connections: 16_384,
            request: Duration::from_secs(60),
            queue: 1024,
            queue_bytes: ByteSize::mib(64),
            absence: Duration::from_secs(30),
        }
    }
}

/// How targets are chosen.
#[data(Copy, Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// The policy; all but the default are baselines to measure it against.
    pub policy: Policy,
}

/// How lost attempts are noticed and replaced.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RecoverySettings {
    /// Silence after which a route with `recovery = "latency"` acts.
    #[serde_as(as = "DurationText")]
    pub latency_silence: Duration,
    /// Silence after which a route with `recovery = "thrift"` acts.
    #[serde_as(as = "DurationText")]
    pub thrift_silence: Duration,
    /// How long an engine may produce nothing for an attempt that has begun its output, on a route
    /// with `recovery = "latency"`.
    #[serde_as(as = "DurationText")]
    pub latency_stall: Duration,
    /// How long an engine may produce nothing for an attempt that has begun its output, on other
    /// routes.
    #[serde_as(as = "DurationText")]
    pub stall: Duration,
    /// How long the head of an agent's answer may take.
    #[serde_as(as = "DurationText")]
    pub head: Duration,
    /// How long the first frame after a re-attachment over a new connection may take.
    #[serde_as(as = "DurationText")]
    pub reattach: Duration,
    /// The most attempts of one generation.
    pub attempts: u32,
}

impl Default for RecoverySettings {
    fn default() -> Self {
        Self {
            latency_silence: Duration::from_millis(600),
            thrift_silence: Duration::from_millis(1200),
            latency_stall: Duration::from_millis(1200),
            stall: Duration::from_millis(2000),
            head: Duration::from_millis(600),
            reattach: Duration::from_millis(300),
            attempts: 8,
        }
    }
}

impl EntrySettings {
    /// Reads and checks an entry's settings.
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
        if settings.platform.key_value.is_empty() {
            return Err(error("platform.key_value", "expected at least one address"));
        }
        let fractions = [settings.slo.timely, settings.slo.kept];
        if !fractions.iter().all(|part| (0.0..1.0).contains(part)) {
            return Err(error("slo", "expected fractions from 0 to below 1"));
        }
        if settings.recovery.attempts == 0 {
            return Err(error("recovery.attempts", "expected at least 1"));
        }
        Ok(settings)
    }
}
