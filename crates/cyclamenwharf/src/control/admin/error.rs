//! The errors of the admin API: a closed list of kinds, each with its HTTP status.

use std::fmt;

use cw_macro::data;
use cw_policy::configuration::Refusal;
use cw_store::StoreError;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;

/// The kind of an error of the admin API.
#[data(Copy, Eq, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or belongs to no operator.
    Unauthorized,
    /// The operator's role is too low, or another operator has to accept the change.
    Forbidden,
    /// The change, record or trace does not exist.
    NotFound,
    /// The call conflicts with another change or decision, which the message names.
    Conflict,
    /// The change would break what depends on it, which the message lists.
    Breaks,
    /// Some live processes, which the message lists, cannot read a record.
    Unreadable,
    /// The key-value service holds an older snapshot than the one in force, or another history.
    Reverted,
    /// The key-value service or this process is unavailable; nothing was changed.
    Unavailable,
    /// It is unknown whether the change took effect; the same call may be repeated.
    OutcomeUnknown,
    /// An internal error.
    Internal,
}

impl AdminErrorKind {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            AdminErrorKind::BadRequest => 400,
            AdminErrorKind::Unauthorized => 401,
            AdminErrorKind::Forbidden => 403,
            AdminErrorKind::NotFound => 404,
            AdminErrorKind::Conflict => 409,
            AdminErrorKind::Breaks | AdminErrorKind::Unreadable => 422,
            AdminErrorKind::Reverted | AdminErrorKind::Unavailable => 503,
            AdminErrorKind::OutcomeUnknown => 504,
            AdminErrorKind::Internal => 500,
        }
    }
}

/// The body of an error response.
#[data(Eq, JsonSchema)]
pub struct ErrorMessage {
    /// The kind of the error.
    pub kind: AdminErrorKind,
    /// A description of the error for people.
    pub message: String,
}

impl ErrorMessage {
    pub(super) fn new(kind: AdminErrorKind, message: impl fmt::Display) -> Self {
        Self {
            kind,
            message: message.to_string(),
        }
    }
}

impl fmt::Display for ErrorMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl HttpResponseError for ErrorMessage {
    fn status_code(&self) -> ErrorStatusCode {
        let status = ErrorStatusCode::from_u16(self.kind.status());
        status.expect("every kind has an error status")
    }
}

impl From<HttpError> for ErrorMessage {
    fn from(error: HttpError) -> Self {
        let kind = match error.status_code.as_u16() {
            401 => AdminErrorKind::Unauthorized,
            404 => AdminErrorKind::NotFound,
            400..=499 => AdminErrorKind::BadRequest,
            _ => AdminErrorKind::Internal,
        };
        Self::new(kind, error.external_message)
    }
}

impl From<StoreError> for ErrorMessage {
    fn from(error: StoreError) -> Self {
        let kind = match &error {
            StoreError::Unavailable { .. } => AdminErrorKind::Unavailable,
            StoreError::OutcomeUnknown { .. } => AdminErrorKind::OutcomeUnknown,
            StoreError::LeaseExpired | StoreError::Compacted | StoreError::Protocol { .. } => {
                AdminErrorKind::Internal
            }
        };
        Self::new(kind, error)
    }
}

impl From<Refusal> for ErrorMessage {
    fn from(refusal: Refusal) -> Self {
        let kind = match &refusal {
            Refusal::Conflict { .. } | Refusal::Rejected { .. } => AdminErrorKind::Conflict,
            Refusal::SamePerson { .. } | Refusal::Role { .. } => AdminErrorKind::Forbidden,
            Refusal::Breaks { .. } => AdminErrorKind::Breaks,
            Refusal::Unreadable { .. } => AdminErrorKind::Unreadable,
        };
        Self::new(kind, refusal)
    }
}
