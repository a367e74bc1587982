//! Settings, which are read from TOML and validated before anything starts.

mod agent_settings;
mod entry_settings;
mod shared_settings;

pub use agent_settings::AgentListen;
pub use agent_settings::AgentSettings;
pub use agent_settings::EngineSettings;
pub use agent_settings::TargetSettings;
pub use entry_settings::EntryListen;
pub use entry_settings::EntrySettings;
pub use entry_settings::LimitSettings;
pub use entry_settings::RecoverySettings;
pub use entry_settings::RoutingSettings;
pub use shared_settings::LogLevel;
pub use shared_settings::LogSettings;
pub use shared_settings::PlatformSettings;
pub use shared_settings::Role;
pub use shared_settings::SecretSettings;
pub use shared_settings::SettingsError;
pub use shared_settings::TraceSettings;
pub use shared_settings::read_settings;
