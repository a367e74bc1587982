//! The settings files of a deployment.

use std::io;
use std::path::Path;

use super::TestDeployment;

/// Writes a TOML settings file for each entry and agent of a deployment to `directory`.
///
/// # Errors
///
/// Returns an error if the directory or a file cannot be written.
pub fn write_settings(deployment: &TestDeployment, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    for entry in &deployment.entries {
        write(directory, entry.settings.host.as_str(), &entry.settings)?;
    }
    for node in deployment.agents.iter().chain(&deployment.service_agents) {
        write(directory, node.settings.target.id.as_str(), &node.settings)?;
    }
    Ok(())
}

fn write<T: serde::Serialize>(directory: &Path, name: &str, settings: &T) -> io::Result<()> {
    let text = toml::to_string_pretty(settings).map_err(io::Error::other)?;
    std::fs::write(directory.join(format!("{name}.toml")), text)
}
