//! Reads records from TOML files.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use cyclamenwharf::admin::RecordMessage;
use serde::Deserialize;
use serde_json::Value;

use crate::command_error::CommandError;

/// The contents of a TOML file with one record: `kind`, `name`, `schema` and the table `body`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RecordFile {
    kind: String,
    name: String,
    #[serde(default)]
    schema: Option<u32>,
    #[serde(default)]
    body: BTreeMap<String, Value>,
}

impl RecordFile {
    /// Reads the record in `file`.
    pub(crate) fn read(file: &Path) -> Result<RecordMessage, CommandError> {
        let text = std::fs::read_to_string(file).map_err(|source| CommandError::Read {
            file: file.to_owned(),
            source,
        })?;
        let record: Self = toml::from_str(&text)
            .map_err(|error| CommandError::invalid_input(format!("{}: {error}", file.display())))?;
        Ok(RecordMessage {
            kind: record.kind,
            name: record.name,
            schema: record.schema,
            body: record.body,
            revision: None,
        })
    }

    /// Reads every `.toml` file of a directory, ordered by path.
    pub(crate) fn read_all(directory: &Path) -> Result<Vec<RecordMessage>, CommandError> {
        let read_error = |source| CommandError::Read {
            file: directory.to_owned(),
            source,
        };
        let mut files = Vec::<PathBuf>::new();
        for entry in std::fs::read_dir(directory).map_err(read_error)? {
            let path = entry.map_err(read_error)?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "toml")
            {
                files.push(path);
            }
        }
        files.sort();
        files.iter().map(|file| Self::read(file)).collect()
    }
}
