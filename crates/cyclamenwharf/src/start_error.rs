//! The error of a role that cannot start.

use snafu::Snafu;

/// A role could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start: {message}"))]
pub struct StartError {
    /// The text of the underlying error.
    pub message: String,
}

impl StartError {
    /// Returns an error with the text of `cause`.
    pub(crate) fn new(cause: impl std::fmt::Display) -> Self {
        Self {
            message: cause.to_string(),
        }
    }
}
