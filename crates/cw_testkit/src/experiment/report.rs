//! The JSON report of an experiment.

use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use crate::CallError;

/// The error of an experiment that cannot be run, or of a report that cannot be read or written.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct ExperimentError {
    /// What went wrong.
    pub message: String,
}

impl ExperimentError {
    /// Returns an error with the message of another error.
    pub(super) fn new(error: impl std::fmt::Display) -> Self {
        let message = error.to_string();
        Self { message }
    }
}

impl From<CallError> for ExperimentError {
    fn from(error: CallError) -> Self {
        Self::new(error)
    }
}

/// The results of an experiment.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// The command that made the report.
    pub command: String,
    /// The parameters of the deployment and the load.
    pub setup: Value,
    /// The results, one JSON object per case.
    pub rows: Vec<Value>,
}

impl Report {
    /// Returns a report without rows.
    pub fn new(experiment: &str, setup: Value) -> Self {
        Self {
            experiment: experiment.to_owned(),
            command: command(experiment, &setup),
            setup,
            rows: Vec::new(),
        }
    }

    /// Adds a row and prints it.
    pub(super) fn push<T: Serialize>(&mut self, row: &T) {
        let value = serde_json::to_value(row).expect("a row serializes to JSON");
        println!("{value}");
        self.rows.push(value);
    }

    /// Writes the report to a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, file: &Path) -> Result<(), ExperimentError> {
        let text = serde_json::to_string_pretty(self).map_err(ExperimentError::new)?;
        std::fs::write(file, text + "\n").map_err(ExperimentError::new)
    }

    /// Reads a report from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or does not contain a report.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        let bytes = std::fs::read(file).map_err(ExperimentError::new)?;
        serde_json::from_slice(&bytes).map_err(ExperimentError::new)
    }
}

/// Returns the command that makes a report.
fn command(experiment: &str, setup: &Value) -> String {
    let rounds = setup["rounds"].as_u64();
    let rounds = rounds.map_or(String::new(), |count| format!(" --rounds {count}"));
    format!(
        "cargo run --release --bin cyclamenwharf-dev -- experiment {experiment}{rounds} \
         --json {experiment}.json"
    )
}
