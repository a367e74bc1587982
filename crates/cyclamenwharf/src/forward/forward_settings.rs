//! Settings of a forwarding entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cw_macro::data;
use cw_types::HostId;
use cw_types::ZoneId;
use cw_types::units::DurationText;
use serde_with::serde_as;

use crate::LogSettings;
use crate::SettingsError;
use crate::settings::read_settings;

/// Settings of a forwarding entry.
#[serde_as]
#[data]
#[serde(deny_unknown_fields)]
pub struct ForwardSettings {
    /// The host it runs on.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: ForwardListen,
    /// The key-value service.
    pub store: SocketAddr,
    /// How long the directory names a target that has stopped.
    #[serde_as(as = "DurationText")]
    pub lapse: Duration,
    /// How long a graceful shutdown may take.
    #[serde_as(as = "DurationText")]
    pub grace: Duration,
    /// What may be sent more than once.
    pub budget: BudgetSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where a forwarding entry listens.
#[data(Eq)]
#[serde(deny_unknown_fields)]
pub struct ForwardListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready, and for metrics.
    pub health: SocketAddr,
    /// For the other entries: over UDP what changes, over TCP what they ask for.
    pub peers: SocketAddr,
    /// For metrics, where they are asked for elsewhere too.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// What may be sent to a service beyond the first send of each request, over all entries.
#[serde_as]
#[data(Copy)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// Further sends as a part of the requests.
    pub ratio: f64,
    /// Further sends beside those, in any window.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
}

impl ForwardSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Names the file, the key and what is expected.
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
        if settings.grace.is_zero() {
            return Err(value("grace", "a duration above zero"));
        }
        Ok(settings)
    }
}
