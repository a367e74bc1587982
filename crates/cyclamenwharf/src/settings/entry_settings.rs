//! The settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cw_macro::data;
use cw_policy::routing::Policy;
use cw_policy::slo::Objectives;
use cw_types::ByteSize;
use cw_types::DurationText;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::ZoneId;
use serde_with::serde_as;

use super::LogSettings;
use super::PlatformSettings;
use super::SecretSettings;
use super::SettingsError;
use super::TraceSettings;

/// The settings of an entry.
#[data]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The id of this host.
    pub host: HostId,
    /// The availability zone of this host.
    pub zone: ZoneId,
    /// The region of the availability zone.
    pub region: RegionId,
    /// The addresses to listen on.
    pub listen: EntryListen,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The secrets shared with other processes.
    pub secrets: SecretSettings,
    /// The limits on callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The detection and replacement of lost attempts.
    #[serde(default)]
    pub recovery: RecoverySettings,
    /// The choice of targets.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// The service-level objectives, from which burn rates are reported.
    #[serde(default)]
    pub slo: Objectives,
    /// The recording of decisions.
    #[serde(default)]
    pub trace: TraceSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses on which an entry listens.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other processes of the system.
    pub peers: SocketAddr,
    /// The address for operators, metrics and health checks.
    pub admin: SocketAddr,
}

/// The limits on callers' requests.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// The largest body of a request.
    pub body: ByteSize,
    /// The highest number of concurrent connections; further ones wait to be accepted.
    pub connections: u32,
    /// The time limit for reading the head of a request, for reading its body, and for an idle
    /// connection.
    #[serde_as(as = "DurationText")]
    pub request: Duration,
    /// The highest number of requests that wait for a target.
    pub queue: u32,
    /// The highest total size of the requests that wait for a target.
    pub queue_bytes: ByteSize,
    /// The time after which the generation of a disconnected caller is cancelled.
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

/// The choice of targets.
#[data(Copy, Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// The routing policy; all except the default are baselines for comparison.
    pub policy: Policy,
}

/// The detection and replacement of lost attempts.
#[serde_as]
#[data(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RecoverySettings {
    /// The time without frames after which recovery starts on a route with `recovery = "latency"`.
    #[serde_as(as = "DurationText")]
    pub latency_silence: Duration,
    /// The time without frames after which recovery starts on a route with `recovery = "thrift"`.
    #[serde_as(as = "DurationText")]
    pub thrift_silence: Duration,
    /// The longest pause in an attempt's output, once it has started, on a route with
    /// `recovery = "latency"`.
    #[serde_as(as = "DurationText")]
    pub latency_stall: Duration,
    /// The longest pause in an attempt's output, once it has started, on other routes.
    #[serde_as(as = "DurationText")]
    pub stall: Duration,
    /// The time limit for the head of an agent's response.
    #[serde_as(as = "DurationText")]
    pub head: Duration,
    /// The time limit for the first frame after re-attaching over a new connection.
    #[serde_as(as = "DurationText")]
    pub reattach: Duration,
    /// The highest number of attempts of one generation.
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
    /// Reads and validates the settings of an entry.
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
        if settings.platform.key_value.is_empty() {
            return Err(invalid_value(
                "platform.key_value",
                "expected at least one address",
            ));
        }
        let fractions = [settings.slo.timely, settings.slo.kept];
        if !fractions
            .iter()
            .all(|fraction| (0.0..1.0).contains(fraction))
        {
            return Err(invalid_value("slo", "expected fractions from 0 to below 1"));
        }
        if settings.recovery.attempts == 0 {
            return Err(invalid_value("recovery.attempts", "expected at least 1"));
        }
        Ok(settings)
    }
}
