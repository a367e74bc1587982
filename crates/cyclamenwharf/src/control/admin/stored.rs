//! Access to JSON values in the key-value service.

use bytes::Bytes;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::AdminErrorKind;
use super::ChangeService;
use super::ErrorMessage;

/// A value and the revision at which it was last written; `None` if the key does not exist.
pub(super) struct Stored<T> {
    pub(super) value: T,
    pub(super) modified: Option<ModRevision>,
}

impl ChangeService {
    /// Reads a key, or returns `None` if it does not exist.
    pub(super) async fn read_key<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Stored<T>>, ErrorMessage> {
        let found = self.key_value.get(key).await.map_err(|error| {
            // A read has no effect, so a lost response is the same as an unavailable service.
            ErrorMessage::new(AdminErrorKind::Unavailable, error)
        })?;
        let Some(found) = found else { return Ok(None) };
        Ok(Some(Stored {
            value: decode(&found.value)?,
            modified: Some(found.modified),
        }))
    }

    /// Writes a key if it was last changed at `expected`, or if it does not exist and `expected` is
    /// `None`.
    pub(super) async fn write_key<T: Serialize>(
        &self,
        key: &str,
        expected: Option<ModRevision>,
        value: &T,
    ) -> Result<Swap, StoreError> {
        let value = serde_json::to_vec(value).map_err(|error| StoreError::Protocol {
            message: error.to_string(),
        })?;
        self.key_value
            .swap(key, expected, Bytes::from(value), None)
            .await
    }
}

/// Parses a stored JSON value.
pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, ErrorMessage> {
    serde_json::from_slice(value)
        .map_err(|error| ErrorMessage::new(AdminErrorKind::Internal, error))
}
