//! Schema versions of records, and conversions between them.
//!
//! Records of old and new versions coexist. A conversion copies unknown fields unchanged, and
//! fields that the older version cannot express stay in the body as unknown fields, so converting
//! a record back and forth is lossless.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;
use snafu::Snafu;

use crate::Rate;
use crate::Record;
use crate::RecordKey;
use crate::RecordKind;
use crate::SchemaVersion;

/// The first schema version of every record kind.
const FIRST_VERSION: SchemaVersion = SchemaVersion(1);

/// The workspace version that replaces `tokens_per_minute` by `quota`: version 2.
const WORKSPACE_QUOTA_VERSION: SchemaVersion = SchemaVersion(2);

/// The token limit of a workspace in version 1.
const TOKENS_PER_MINUTE: &str = "tokens_per_minute";

/// The limits of a workspace since version 2.
const QUOTA: &str = "quota";

/// The token limit within [`QUOTA`].
const QUOTA_TOKENS: &str = "tokens";

const SECONDS_PER_MINUTE: f64 = 60.0;

/// The error for a record that cannot be converted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SchemaError {
    /// This process does not know the schema version.
    #[snafu(display("record {key} has schema version {found}, known versions are 1 to {known}"))]
    Unknown {
        /// The key of the record with the unknown version.
        key: RecordKey,
        /// The schema version that was found or requested.
        found: SchemaVersion,
        /// The newest known version.
        known: SchemaVersion,
    },
    /// A field has the wrong type or an invalid value.
    #[snafu(display("record {key}: field {field} has an invalid value"))]
    Field {
        /// The key of the record with the invalid field.
        key: RecordKey,
        /// The name of the invalid field in the body of the record.
        field: &'static str,
    },
}

/// Returns the newest schema version of a record kind.
pub fn current_schema(kind: RecordKind) -> SchemaVersion {
    match kind {
        RecordKind::Workspace => WORKSPACE_QUOTA_VERSION,
        RecordKind::Route
        | RecordKind::Priority
        | RecordKind::ModelVersion
        | RecordKind::Target
        | RecordKind::Drain
        | RecordKind::Operator => FIRST_VERSION,
    }
}

/// Returns the newest schema version that this process can read, for each record kind.
pub fn readable_schemas() -> BTreeMap<RecordKind, SchemaVersion> {
    const KINDS: [RecordKind; 7] = [
        RecordKind::Route,
        RecordKind::Workspace,
        RecordKind::Priority,
        RecordKind::ModelVersion,
        RecordKind::Target,
        RecordKind::Drain,
        RecordKind::Operator,
    ];
    KINDS.into_iter().map(|k| (k, current_schema(k))).collect()
}

/// Converts a record to the schema version `to`.
///
/// # Errors
///
/// Returns an error if either version is unknown or a field has an invalid value.
pub fn convert(record: &Record, to: SchemaVersion) -> Result<Record, SchemaError> {
    check_version(record, record.schema)?;
    check_version(record, to)?;
    if record.schema == to {
        return Ok(record.clone());
    }
    let mut converted = record.clone();
    converted.schema = to;
    if record.kind == RecordKind::Workspace {
        let outcome = match to < WORKSPACE_QUOTA_VERSION {
            true => downgrade_workspace(&mut converted.body),
            false => upgrade_workspace(&mut converted.body),
        };
        outcome.map_err(|field| SchemaError::Field {
            key: record.key(),
            field,
        })?;
    }
    Ok(converted)
}

fn check_version(record: &Record, version: SchemaVersion) -> Result<(), SchemaError> {
    let known = current_schema(record.kind);
    if version >= FIRST_VERSION && version <= known {
        return Ok(());
    }
    Err(SchemaError::Unknown {
        key: record.key(),
        found: version,
        known,
    })
}

fn upgrade_workspace(body: &mut Map<String, Value>) -> Result<(), &'static str> {
    let Some(per_minute) = body.remove(TOKENS_PER_MINUTE) else {
        return Ok(());
    };
    let per_minute = per_minute.as_f64().ok_or(TOKENS_PER_MINUTE)?;
    let quota = body.entry(QUOTA).or_insert_with(|| Map::new().into());
    let quota = quota.as_object_mut().ok_or(QUOTA)?;
    let rate = Rate(per_minute / SECONDS_PER_MINUTE).to_string();
    quota.insert(QUOTA_TOKENS.to_owned(), rate.into());
    Ok(())
}

fn downgrade_workspace(body: &mut Map<String, Value>) -> Result<(), &'static str> {
    let Some(quota) = body.get_mut(QUOTA) else {
        return Ok(());
    };
    let quota = quota.as_object_mut().ok_or(QUOTA)?;
    let Some(tokens) = quota.remove(QUOTA_TOKENS) else {
        return Ok(());
    };
    let rate: Rate = serde_json::from_value(tokens).map_err(|_| QUOTA_TOKENS)?;
    if quota.is_empty() {
        body.remove(QUOTA);
    }
    body.insert(
        TOKENS_PER_MINUTE.to_owned(),
        (rate.0 * SECONDS_PER_MINUTE).into(),
    );
    Ok(())
}
