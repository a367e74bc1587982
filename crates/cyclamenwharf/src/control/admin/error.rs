//! Errors of the operators' interface: one closed list, with a table from kind to answer.

use std::fmt;

use cw_macro::data;
use cw_policy::configuration::Refusal;
use cw_store::StoreError;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;

/// Every way in which an operator's call fails.
#[data(Copy, Eq, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorKind {
    /// The call is malformed.
    BadRequest,
    /// The operator's key is missing or matches nobody.
    Unauthorized,
    /// The operator lacks the role, or another person has to do it.
    Forbidden,
    /// There is no such change or record.
    NotFound,
    /// Another change came first; the message names it.
    Conflict,
    /// The change would break something; the message says what.
    Breaks,
    /// Live processes cannot read a record; the message names them.
    Unreadable,
    /// The key-value service went back to an older state.
    Reverted,
    /// The key-value service cannot be reached; nothing was changed.
    Unavailable,
    /// Nobody can tell whether the change took effect; the same call may be repeated.
    OutcomeUnknown,
    /// A defect of this system.
    Internal,
}

impl AdminErrorKind {
    /// Returns the HTTP status of the answer.
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

/// The body of an answer that is an error.
#[data(Eq, JsonSchema)]
pub struct ErrorMessage {
    /// What kind of error it is.
    pub kind: AdminErrorKind,
    /// What happened, for people.
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
        status.expect("the table has error statuses only")
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
