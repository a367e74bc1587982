//! The settings of a forwarding entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cw_macro::data;
use cw_policy::forward::DrainLimits;
use cw_types::ByteSize;
use cw_types::DurationText;
use cw_types::HostId;
use cw_types::ZoneId;
use serde_with::serde_as;

use crate::LogSettings;
use crate::SettingsError;
use crate::settings::read_settings;

/// The settings of a forwarding entry.
#[serde_as]
#[data]
#[serde(deny_unknown_fields)]
pub struct ForwardSettings {
    /// The host that the entry runs on.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The addresses that the entry listens on.
    pub listen: ForwardListen,
    /// The address of the key-value service.
    pub store: SocketAddr,
    /// How long the directory still lists a target that has stopped.
    #[serde_as(as = "DurationText")]
    pub lapse: Duration,
    /// The time within which a change of the configuration that the key-value service has acknowledged is in force.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_in_force")]
    pub in_force: Duration,
    /// The time for which a target still takes requests after the key-value service has acknowledged that it is leaving.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_drain")]
    pub drain: Duration,
    /// The maximum duration of a graceful shutdown.
    #[serde_as(as = "DurationText")]
    pub grace: Duration,
    /// The memory that the process may use. Bodies of requests and answers take parts of it.
    #[serde(default = "default_memory")]
    pub memory: ByteSize,
    /// The budget for repeated sends.
    pub budget: BudgetSettings,
    /// Whether requests go to a target that has just started or was lost at the pace that its answers show, and to all
    /// targets by their speed.
    #[serde(default)]
    pub find_pace: bool,
    /// How much a service's new version may take before it has proved itself.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses that a forwarding entry listens on.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct ForwardListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness checks of the load balancer, and for metrics.
    pub health: SocketAddr,
    /// The address for the other entries: UDP for updates, TCP for queries.
    pub peers: SocketAddr,
    /// An additional address for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The sends to a service that are allowed beyond the first send of each request, in total over all
/// entries.
#[serde_as]
#[data(Copy)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// The additional sends as a fraction of the requests.
    pub ratio: f64,
    /// The number of additional sends in any window that are allowed besides the fraction.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
}

/// How much of a service a version that turns out to be bad may have taken, in total over all entries.
#[serde_as]
#[data(Copy)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// The requests at the new version as a fraction of all requests of the service during the roll-out.
    pub share: f64,
    /// The number of requests at the new version that are allowed besides the fraction.
    pub slack: u64,
    /// The time after the evidence against a version within which it gets no more requests.
    #[serde_as(as = "DurationText")]
    pub rollback: Duration,
}

impl Default for RolloutSettings {
    /// Operators accept a tenth of the requests at a bad version, a few more for short roll-outs, and some seconds to
    /// go back.
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50,
            rollback: Duration::from_secs(5),
        }
    }
}

/// Operators expect a change of the configuration to be in force within seconds.
fn default_in_force() -> Duration {
    Duration::from_secs(2)
}

/// The time for which targets usually go on after they have said that they are leaving.
fn default_drain() -> Duration {
    Duration::from_secs(2)
}

/// The memory of small hosts.
fn default_memory() -> ByteSize {
    ByteSize::mib(96)
}

impl ForwardSettings {
    /// The smallest memory of a process, twice what an idle one uses.
    pub const MIN_MEMORY: ByteSize = ByteSize::mib(32);

    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a value is invalid. The error names the file, the key
    /// and the expected value.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_settings(file)?;
        let value = |key, expected| SettingsError::Value {
            file: file.to_owned(),
            key,
            expected,
        };
        let is_amount = |number: f64| number.is_finite() && number >= 0.0;
        if !is_amount(settings.budget.ratio) {
            return Err(value("budget.ratio", "a number that is not negative"));
        }
        if !is_amount(settings.budget.slack) {
            return Err(value("budget.slack", "a number that is not negative"));
        }
        if settings.budget.window.is_zero() {
            return Err(value("budget.window", "a duration above zero"));
        }
        if !is_amount(settings.rollout.share) || settings.rollout.share > 1.0 {
            return Err(value("rollout.share", "a number from 0 to 1"));
        }
        if settings.rollout.rollback.is_zero() {
            return Err(value("rollout.rollback", "a duration above zero"));
        }
        if settings.memory < Self::MIN_MEMORY {
            return Err(value("memory", "a size of 32MiB or more"));
        }
        if settings.in_force.is_zero() {
            return Err(value("in_force", "a duration above zero"));
        }
        if settings.lapse.is_zero() {
            return Err(value("lapse", "a duration above zero"));
        }
        if settings.drain.is_zero() {
            return Err(value("drain", "a duration above zero"));
        }
        if settings.grace.is_zero() {
            return Err(value("grace", "a duration above zero"));
        }
        Ok(settings)
    }

    /// Returns the steps until the last request reaches a target that is leaving.
    pub fn drain_limits(&self) -> DrainLimits {
        DrainLimits::within(self.drain, self.lapse)
    }
}
