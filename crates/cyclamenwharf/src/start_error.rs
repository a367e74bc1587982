//! Why a role cannot start.

use snafu::Snafu;

/// A role that cannot start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start: {message}"))]
pub struct StartError {
    /// What happened.
    pub message: String,
}

impl StartError {
    /// Returns an error with the text of its cause.
    pub(crate) fn new(cause: impl std::fmt::Display) -> Self {
        Self {
            message: cause.to_string(),
        }
    }
}
