//! Ids, units, records and error kinds that all other crates share.
//!
//! Start with these:
//!
//! - [`TargetId`], [`WorkspaceId`], [`GenerationId`] and similar newtypes for names and numbers.
//! - [`Time`]: the current time, which every decision function takes as an argument.
//! - [`ByteSize`], [`Rate`] and the adapter [`DurationText`]: quantities that are written with a
//!   unit.
//! - [`Record`] and [`Snapshot`]: the configuration that operators accept, and [`Config`], its
//!   typed view.
//! - [`convert`]: conversions of records between schema versions.
//! - [`ErrorKind`]: the closed set of errors in responses, each with [`Ran`], its execution status.

mod byte_size;
mod config;
mod duration_text;
mod error_kind;
mod id;
mod key_hash;
mod name;
mod number;
mod rate;
mod record;
mod schema;
mod snapshot;
mod store_revision;
mod time;

pub use byte_size::ByteSize;
pub use byte_size::ByteSizeError;
pub use config::Config;
pub use config::ConfigError;
pub use duration_text::DurationText;
pub use duration_text::parse_duration;
pub use error_kind::ErrorKind;
pub use error_kind::Ran;
pub use id::AttemptId;
pub use id::GenerationId;
pub use id::IdError;
pub use key_hash::KeyHash;
pub use name::Actor;
pub use name::AdapterName;
pub use name::ChangeId;
pub use name::HostId;
pub use name::ModelName;
pub use name::NameError;
pub use name::PriorityName;
pub use name::RegionId;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::SoftwareVersion;
pub use name::TargetId;
pub use name::VersionName;
pub use name::WorkspaceId;
pub use name::ZoneId;
pub use number::AttemptNo;
pub use number::FencingNumber;
pub use number::Incarnation;
pub use number::Revision;
pub use number::SchemaVersion;
pub use number::StoreEra;
pub use number::TokenCount;
pub use number::TokenId;
pub use number::TokenIndex;
pub use rate::Rate;
pub use record::Drain;
pub use record::ModelVersion;
pub use record::Operator;
pub use record::OperatorRole;
pub use record::Priority;
pub use record::Quota;
pub use record::Record;
pub use record::RecordKey;
pub use record::RecordKind;
pub use record::Recovery;
pub use record::Route;
pub use record::RouteTarget;
pub use record::Target;
pub use record::TargetKind;
pub use record::Workspace;
pub use schema::SchemaError;
pub use schema::convert;
pub use schema::current_schema;
pub use schema::readable_schemas;
pub use snapshot::Change;
pub use snapshot::Snapshot;
pub use store_revision::StoreRevision;
pub use time::Time;
