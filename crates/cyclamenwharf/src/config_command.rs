//! The command `cyclamenwharf config check`, which checks a configuration before it is sent.

use std::path::Path;
use std::path::PathBuf;

use cw_policy::forward::ConfigCheck;
use cw_policy::forward::Finding;
use cw_policy::forward::ForwardConfig;
use cw_store::Dialect;
use cw_store::KeyValueStore;
use snafu::ResultExt;
use snafu::Snafu;

/// Where the version in force is read from.
pub enum InForce {
    /// It is not compared.
    Unknown,
    /// From a file.
    File(PathBuf),
    /// From the key-value service.
    Store(Box<dyn KeyValueStore>),
}

/// Why a configuration could not be checked.
#[derive(Debug, Snafu)]
pub enum ConfigCommandError {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The key-value service did not give the version in force.
    #[snafu(display("cannot read the configuration in force: {reason}"))]
    Store {
        /// The reason.
        reason: String,
    },
    /// A document is no configuration.
    #[snafu(display("{origin}: not a configuration: {reason}"))]
    Parse {
        /// Where the document comes from.
        origin: String,
        /// The part that is invalid.
        reason: String,
    },
}

/// Checks the configuration in a file, and compares it with the version in force.
///
/// # Errors
///
/// Fails if a document cannot be read or is no configuration.
pub async fn check_config(
    file: &Path,
    in_force: InForce,
    dialect: &dyn Dialect,
) -> Result<ConfigCheck, ConfigCommandError> {
    let config = read(file, dialect)?;
    let check = ConfigCheck::of(&config);
    let before = match in_force {
        InForce::Unknown => return Ok(check),
        InForce::File(file) => read(&file, dialect)?,
        InForce::Store(store) => fetch(store.as_ref(), dialect).await?,
    };
    Ok(check.against(&config, &before))
}

/// Returns findings as lines for a reader, or as one line of JSON for scripts.
pub fn render_findings(findings: &[Finding], as_json: bool) -> String {
    match as_json {
        // Findings hold texts only, which can always be encoded.
        true => serde_json::to_string(findings).unwrap_or_default() + "\n",
        false => findings
            .iter()
            .map(|finding| format!("{finding}\n"))
            .collect(),
    }
}

fn read(path: &Path, dialect: &dyn Dialect) -> Result<ForwardConfig, ConfigCommandError> {
    let document = std::fs::read(path).context(ReadSnafu { path })?;
    parse(&document, path.display().to_string(), dialect)
}

async fn fetch(
    store: &dyn KeyValueStore,
    dialect: &dyn Dialect,
) -> Result<ForwardConfig, ConfigCommandError> {
    let failed = |reason: String| ConfigCommandError::Store { reason };
    let found = store.get(dialect.config_key()).await;
    let found = found.map_err(|error| failed(error.to_string()))?;
    let item = found.ok_or_else(|| failed("there is none".to_owned()))?;
    parse(&item.value, "the key-value service".to_owned(), dialect)
}

fn parse(
    document: &[u8],
    origin: String,
    dialect: &dyn Dialect,
) -> Result<ForwardConfig, ConfigCommandError> {
    let parsed = dialect.parse_config(document);
    parsed.map_err(|reason| ConfigCommandError::Parse { origin, reason })
}
