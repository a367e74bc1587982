//! The closed set of error kinds and the HTTP response of each.

use std::fmt;

use cw_macro::data;

/// Whether a failed request was executed.
#[data(Copy, Eq, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request provably was not executed and never will be.
    No,
    /// It can no longer be determined whether the request was executed.
    Unknown,
    /// Execution started, and part of the answer may have been delivered.
    Partly,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Partly => "partly",
        })
    }
}

/// Every way in which a caller's request can end without its complete answer.
#[data(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed: invalid JSON, an unknown field or a value out of range.
    BadRequest,
    /// The body exceeds the size limit of the entry.
    TooLarge,
    /// The API key is missing or matches no workspace.
    Unauthorized,
    /// The workspace is not allowed to use this route.
    Forbidden,
    /// No route serves this model or service.
    UnknownModel,
    /// The workspace has no generation with the requested id.
    UnknownGeneration,
    /// The workspace exceeds its quota.
    OverQuota,
    /// Every target is busy, and the request would miss its deadline while queued.
    Overloaded,
    /// No live target has the model version loaded.
    NoTarget,
    /// The process is starting or draining.
    NotReady,
    /// The request needs the key-value service, which is unavailable.
    StoreUnavailable,
    /// The deadline passed before the request was executed.
    Expired,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// Another call with this idempotency key is still in progress elsewhere.
    InProgress,
    /// The request crashed the targets that ran it.
    CrashesTargets,
    /// The request crashed the targets that ran it before, and was not sent again.
    Quarantined,
    /// A request that may be executed only once was dispatched, and its outcome is unknown.
    OutcomeUnknown,
    /// It is not known which software version began the stream that the request takes up.
    OriginUnknown,
    /// No target has the software version that began the stream that the request takes up.
    VersionGone,
    /// The generation cannot be continued; its output so far is final.
    GenerationLost,
    /// The target itself answered with an error.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// A bug in this system.
    Internal,
}

/// A row of [`TABLE`]: kind, HTTP status, error code, execution status, whether the caller may
/// retry, and message.
type Row = (ErrorKind, u16, &'static str, Ran, bool, &'static str);

/// The response to each kind.
const TABLE: [Row; 23] = [
    (
        ErrorKind::BadRequest,
        422,
        "bad_request",
        Ran::No,
        false,
        "the request is malformed",
    ),
    (
        ErrorKind::TooLarge,
        413,
        "too_large",
        Ran::No,
        false,
        "the request body is too large",
    ),
    (
        ErrorKind::Unauthorized,
        401,
        "unauthorized",
        Ran::No,
        false,
        "a valid API key is needed",
    ),
    (
        ErrorKind::Forbidden,
        403,
        "forbidden",
        Ran::No,
        false,
        "the workspace may not use this route",
    ),
    (
        ErrorKind::UnknownModel,
        404,
        "unknown_model",
        Ran::No,
        false,
        "no route has this name",
    ),
    (
        ErrorKind::UnknownGeneration,
        404,
        "unknown_generation",
        Ran::Unknown,
        false,
        "no such generation",
    ),
    (
        ErrorKind::OverQuota,
        429,
        "over_quota",
        Ran::No,
        true,
        "the workspace is over its quota",
    ),
    (
        ErrorKind::Overloaded,
        503,
        "overloaded",
        Ran::No,
        true,
        "every target is busy",
    ),
    (
        ErrorKind::NoTarget,
        503,
        "no_target",
        Ran::No,
        true,
        "no live target serves this route",
    ),
    (
        ErrorKind::NotReady,
        503,
        "not_ready",
        Ran::No,
        true,
        "this process is not ready",
    ),
    (
        ErrorKind::StoreUnavailable,
        503,
        "store_unavailable",
        Ran::No,
        true,
        "the key-value service is unavailable",
    ),
    (
        ErrorKind::Expired,
        504,
        "expired",
        Ran::No,
        true,
        "the deadline passed before the request was run",
    ),
    (
        ErrorKind::KeyReused,
        422,
        "key_reused",
        Ran::No,
        false,
        "the idempotency key belongs to another request",
    ),
    (
        ErrorKind::InProgress,
        409,
        "in_progress",
        Ran::Partly,
        true,
        "a call with this idempotency key is in progress",
    ),
    (
        ErrorKind::CrashesTargets,
        422,
        "crashes_targets",
        Ran::Partly,
        false,
        "the request crashed the targets that ran it",
    ),
    (
        ErrorKind::Quarantined,
        503,
        "quarantined",
        Ran::No,
        true,
        "the request crashed the targets that ran it before",
    ),
    (
        ErrorKind::OutcomeUnknown,
        409,
        "outcome_unknown",
        Ran::Unknown,
        false,
        "the request was dispatched and its outcome is unknown",
    ),
    (
        ErrorKind::OriginUnknown,
        503,
        "origin_unknown",
        Ran::No,
        true,
        "it is not known which version began the stream",
    ),
    (
        ErrorKind::VersionGone,
        503,
        "version_gone",
        Ran::No,
        false,
        "no target has the version that began the stream",
    ),
    (
        ErrorKind::GenerationLost,
        502,
        "generation_lost",
        Ran::Partly,
        false,
        "the generation cannot be continued",
    ),
    (
        ErrorKind::TargetFailed,
        502,
        "target_failed",
        Ran::Partly,
        false,
        "the target answered with an error",
    ),
    (
        ErrorKind::Cancelled,
        409,
        "cancelled",
        Ran::Partly,
        false,
        "the request was cancelled",
    ),
    (
        ErrorKind::Internal,
        500,
        "internal",
        Ran::Unknown,
        false,
        "internal error",
    ),
];

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub fn all() -> impl Iterator<Item = ErrorKind> {
        TABLE.iter().map(|row| row.0)
    }

    fn row(self) -> &'static Row {
        TABLE
            .iter()
            .find(|row| row.0 == self)
            .expect("every error kind has a row in the table")
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        self.row().1
    }

    /// Returns the machine-readable error code.
    pub fn code(self) -> &'static str {
        self.row().2
    }

    /// Returns whether a request that fails this way was executed, for use when no more exact
    /// status is known.
    pub fn ran(self) -> Ran {
        self.row().3
    }

    /// Returns whether the caller may retry: the response then carries `Retry-After`.
    pub fn is_retryable(self) -> bool {
        self.row().4
    }

    /// Returns the human-readable message.
    pub fn message(self) -> &'static str {
        self.row().5
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
