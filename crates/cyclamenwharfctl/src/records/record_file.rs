//! Records as TOML files.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use cyclamenwharf::admin::RecordMessage;
use serde::Deserialize;
use serde_json::Value;

use crate::failure::Failure;

/// One record as a TOML file: `kind`, `name`, `schema` and the table `body`.
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
    /// Reads one file.
    pub(crate) fn read(file: &Path) -> Result<RecordMessage, Failure> {
        let text = std::fs::read_to_string(file).map_err(|source| Failure::Read {
            file: file.to_owned(),
            source,
        })?;
        let record: Self = toml::from_str(&text)
            .map_err(|error| Failure::input(format!("{}: {error}", file.display())))?;
        Ok(RecordMessage {
            kind: record.kind,
            name: record.name,
            schema: record.schema,
            body: record.body,
            revision: None,
        })
    }

    /// Reads every `.toml` file of a directory, in the order of their names.
    pub(crate) fn read_all(directory: &Path) -> Result<Vec<RecordMessage>, Failure> {
        let failed = |source| Failure::Read {
            file: directory.to_owned(),
            source,
        };
        let mut files = Vec::<PathBuf>::new();
        for item in std::fs::read_dir(directory).map_err(failed)? {
            let path = item.map_err(failed)?.path();
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
