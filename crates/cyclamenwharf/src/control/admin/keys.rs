//! Values of the key-value service as JSON.

use bytes::Bytes;
use cw_store::ModRevision;
use cw_store::StoreError;
use cw_store::Swap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::AdminErrorKind;
use super::Desk;
use super::ErrorMessage;

/// A value with the revision that wrote it.
pub(super) struct Stored<T> {
    pub(super) value: T,
    pub(super) modified: Option<ModRevision>,
}

impl Desk {
    /// Reads a key.
    pub(super) async fn read_key<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Stored<T>>, ErrorMessage> {
        let found = self.key_value.get(key).await.map_err(|error| {
            // A read changes nothing, whether or not its answer came.
            ErrorMessage::new(AdminErrorKind::Unavailable, error)
        })?;
        let Some(found) = found else { return Ok(None) };
        Ok(Some(Stored {
            value: decode(&found.value)?,
            modified: Some(found.modified),
        }))
    }

    /// Writes a key that was last changed at `expected`.
    pub(super) async fn put<T: Serialize>(
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

/// Reads a value.
pub(super) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, ErrorMessage> {
    serde_json::from_slice(value)
        .map_err(|error| ErrorMessage::new(AdminErrorKind::Internal, error))
}
