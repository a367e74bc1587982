//! Schema versions of records, and the conversions between them.
//!
//! Old and new records live side by side. A conversion carries fields that it does not know over
//! unchanged, and what the older version cannot express stays in the body as such a field, so a
//! record that goes back and forth loses nothing.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;
use snafu::Snafu;

use crate::Rate;
use crate::Record;
use crate::RecordKey;
use crate::RecordKind;
use crate::SchemaVersion;

/// The first version of every schema.
const FIRST: SchemaVersion = SchemaVersion(1);

/// Workspaces since version 2 have a `quota` in place of `tokens_per_minute`.
const WORKSPACE_QUOTA: SchemaVersion = SchemaVersion(2);

/// The field of workspaces of version 1 that limits their tokens.
const TOKENS_PER_MINUTE: &str = "tokens_per_minute";

/// The field of workspaces since version 2 that limits them.
const QUOTA: &str = "quota";

/// The field of [`QUOTA`] that limits tokens.
const TOKENS: &str = "tokens";

/// Seconds in a minute.
const MINUTE: f64 = 60.0;

/// A record that cannot be converted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SchemaError {
    /// The version is newer than this process knows.
    #[snafu(display("record {key} has schema version {found}, known are 1 to {known}"))]
    Unknown {
        /// The record.
        key: RecordKey,
        /// Its version.
        found: SchemaVersion,
        /// The newest version known.
        known: SchemaVersion,
    },
    /// A field has the wrong form.
    #[snafu(display("record {key}: field {field} has the wrong form"))]
    Field {
        /// The record.
        key: RecordKey,
        /// The field.
        field: &'static str,
    },
}

/// Returns the newest schema version of a kind.
pub fn current_schema(kind: RecordKind) -> SchemaVersion {
    match kind {
        RecordKind::Workspace => WORKSPACE_QUOTA,
        RecordKind::Route
        | RecordKind::Priority
        | RecordKind::ModelVersion
        | RecordKind::Target
        | RecordKind::Drain
        | RecordKind::Operator => FIRST,
    }
}

/// Returns the newest schema version that this process reads of each kind.
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

/// Converts a record to another version of its schema.
///
/// # Errors
///
/// Fails when either version is unknown or a field has the wrong form.
pub fn convert(record: &Record, to: SchemaVersion) -> Result<Record, SchemaError> {
    check(record, record.schema)?;
    check(record, to)?;
    if record.schema == to {
        return Ok(record.clone());
    }
    let mut converted = record.clone();
    converted.schema = to;
    if record.kind == RecordKind::Workspace {
        let outcome = match to < WORKSPACE_QUOTA {
            true => quota_to_minute(&mut converted.body),
            false => minute_to_quota(&mut converted.body),
        };
        outcome.map_err(|field| SchemaError::Field {
            key: record.key(),
            field,
        })?;
    }
    Ok(converted)
}

fn check(record: &Record, version: SchemaVersion) -> Result<(), SchemaError> {
    let known = current_schema(record.kind);
    if version >= FIRST && version <= known {
        return Ok(());
    }
    Err(SchemaError::Unknown {
        key: record.key(),
        found: version,
        known,
    })
}

fn minute_to_quota(body: &mut Map<String, Value>) -> Result<(), &'static str> {
    let Some(minute) = body.remove(TOKENS_PER_MINUTE) else {
        return Ok(());
    };
    let minute = minute.as_f64().ok_or(TOKENS_PER_MINUTE)?;
    let quota = body.entry(QUOTA).or_insert_with(|| Map::new().into());
    let quota = quota.as_object_mut().ok_or(QUOTA)?;
    let rate = Rate(minute / MINUTE).to_string();
    quota.insert(TOKENS.to_owned(), rate.into());
    Ok(())
}

fn quota_to_minute(body: &mut Map<String, Value>) -> Result<(), &'static str> {
    let Some(quota) = body.get_mut(QUOTA) else {
        return Ok(());
    };
    let quota = quota.as_object_mut().ok_or(QUOTA)?;
    let Some(tokens) = quota.remove(TOKENS) else {
        return Ok(());
    };
    let rate: Rate = serde_json::from_value(tokens).map_err(|_| TOKENS)?;
    if quota.is_empty() {
        body.remove(QUOTA);
    }
    body.insert(TOKENS_PER_MINUTE.to_owned(), (rate.0 * MINUTE).into());
    Ok(())
}
